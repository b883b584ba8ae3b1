package agent

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/executor"
	"github.com/dogwoodgauge/dogwoodgauge/core/home"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/ownership"
	"github.com/dogwoodgauge/dogwoodgauge/core/routing"
)

// gate decides for the home and the executor, from the state folded from the
// control stream, what this process may do.
type gate struct{ c *Core }

// Permit implements executor.Gate.
func (g gate) Permit(now clock.Now, s *message.Start, u executor.Target) (message.RefuseReason, time.Duration) {
	c := g.c
	if !c.state.Synced() || c.highestReported > c.state.Next() || !c.lease.Valid(now.Mono) {
		return message.RefusedStale, 0
	}
	cfg := c.state.Config()
	place := config.Place{Domain: c.cfg.Domain, Worker: c.cfg.Worker, Upstream: u.Upstream, Labels: u.Labels}
	if cfg.TakenOut(place) {
		return message.RefusedDomainOut, 0
	}
	rule, ok := cfg.Match(s.Team, s.Class, s.Task.Labels)
	if !ok || !rule.Allows(place) {
		return message.RefusedNoMatch, 0
	}
	return "", c.lease.Until()
}

// HaveFreeSlot implements executor.OtherExecutors.
func (g gate) HaveFreeSlot(now clock.Now, s *message.Start) bool {
	return g.c.home.OthersHaveFreeSlot(now, s)
}

// Admit implements home.Ownership.
func (g gate) Admit(now clock.Now, id job.ID, created int64) home.Admission {
	c := g.c
	v := c.tracker.Admit(now, id, created)
	switch v.Kind {
	case ownership.Own:
		if c.highestReported > c.state.Next() || !c.lease.Valid(now.Mono) {
			return home.Admission{RetryLater: true, Detail: "this process cannot tell whether it is still the home of the ID"}
		}
		return home.Admission{Granted: true}
	case ownership.Elsewhere:
		return home.Admission{Home: v.Home}
	case ownership.FromFuture:
		return home.Admission{Detail: "the creation time lies in the future"}
	case ownership.TooOld:
		return home.Admission{Detail: "the job is older than the admission window"}
	default:
		return home.Admission{FormerHome: true, Detail: "a former home of the ID may have started the job"}
	}
}

// Version implements home.Eligibility.
func (g gate) Version() uint64 { return g.c.version + g.c.exec.UpstreamsVersion() }

// Eligible implements home.Eligibility.
func (g gate) Eligible(ref node.Ref, j *job.Job, t *job.Task) bool {
	c := g.c
	cfg := c.state.Config()
	rule, ok := cfg.Match(j.Team, j.Class, t.Labels)
	if !ok {
		return false
	}
	if ref == c.cfg.Self {
		return routing.AllowsAny(cfg, rule, c.selfMember(), c.exec.Upstreams())
	}
	p, ok := c.peers[ref]
	if !ok || p.dead {
		return false
	}
	return routing.AllowsAny(cfg, rule, p.member, p.upstreams)
}

// LastEligible implements home.Eligibility.
func (g gate) LastEligible(j *job.Job, t *job.Task) (time.Duration, bool) {
	c := g.c
	rule, ok := c.state.Config().Match(j.Team, j.Class, t.Labels)
	if !ok {
		return 0, false
	}
	return c.departed.lastMatching(c.state.Config(), rule)
}

// InService implements home.Eligibility.
func (g gate) InService(ref node.Ref) bool {
	c := g.c
	m := c.selfMember()
	if ref != c.cfg.Self {
		p, ok := c.peers[ref]
		if !ok {
			return false
		}
		m = p.member
	}
	return !c.state.Config().TakenOut(config.Place{Domain: m.Domain, Worker: m.Worker})
}
