package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// withdrawalSettle is how long after its withdrawal an upstream may still answer polls: it
// ends soon after the withdrawal, not before it.
const withdrawalSettle = 100 * time.Millisecond

// suspected reports whether a hint says that the upstream has ended.
func (u *upstreamState) suspected() bool { return u.life.Suspect() != "" }

// suspectUpstream records a hint that the upstream has ended. It gets no new runs until a
// poll has refuted the hint.
func (c *Core) suspectUpstream(sign liveness.Sign) {
	u := &c.upstream
	first := !u.suspected()
	u.life.Observe(c.now.Mono, sign)
	u.suspectedAt = c.now.Mono
	if first {
		c.capacityChanged()
		c.logEvent("upstream_suspected", "", "upstream", u.id, "born", u.incarnation, "sign", sign, "runs", len(c.runs))
		c.reportReadiness()
	}
}

// refuteSuspicion clears the hints if the answered poll that was sent at sentAt refutes them.
func (c *Core) refuteSuspicion(sentAt time.Duration) {
	u := &c.upstream
	after := u.suspectedAt
	if u.life.Suspect() == liveness.Withdrawn {
		after += withdrawalSettle
	}
	if !u.suspected() || sentAt < after {
		return
	}
	c.logEvent("upstream_alive", "", "upstream", u.id, "born", u.incarnation, "sign", u.life.Suspect())
	u.life.Heard()
	u.withdrawn = false
	c.capacityChanged()
	c.reportReadiness()
}

// nextSuspectPollAt returns when the next poll of a suspected upstream is due: at once after
// a hint, and then spaced.
func (u *upstreamState) nextSuspectPollAt() time.Duration {
	if u.lastRenewalSentAt < u.suspectedAt {
		return u.polls.DueAt()
	}
	return max(u.polls.DueAt(), u.lastRenewalSentAt+maxPollPause)
}

// refuses reports whether the upstream's port has refused a connection and no poll was
// answered since then. The lessee then does not extend the lease.
func (u *upstreamState) refuses() bool { return u.life.Suspect() == liveness.Refused }

// handleRefusedConnection handles a connection that the upstream's port has refused.
func (c *Core) handleRefusedConnection() {
	u := &c.upstream
	if u.phase != open || u.refuses() {
		return
	}
	u.aliveAt = c.now.Mono
	if c.upstreamSilent() {
		u.aliveAt = u.lastAnsweredSentAt
	}
	// The first poll of the next incarnation makes it refuse the calls of before.
	c.token++
	c.suspectUpstream(liveness.Refused)
}

// takeBackExtension records that the poll was not received, so that it has not extended the
// lease.
func (u *upstreamState) takeBackExtension(e PollCompleted) {
	if e.LeaseFrom > 0 {
		u.extensions.notReceived(e.LeaseFrom)
	}
}

// runsExpired reports whether no run of the upstream can be alive, and whether there may have
// been any: the lessee no longer extends the lease, and it has run out.
func (c *Core) runsExpired() bool {
	u := &c.upstream
	if len(c.runs) == 0 {
		return u.refuses()
	}
	return (u.refuses() || c.upstreamSilent()) && c.now.Mono > u.runsExpireAt()
}

// runsExpireAt returns the time after which no run of the upstream can be alive, unless the lease is
// extended. Right after its start, the upstream may have executed a call that was sent before, which
// is refused from the first answered poll on, and may have granted it the longest lease.
func (u *upstreamState) runsExpireAt() time.Duration {
	return max(u.extensions.last()+lease.UpstreamExpiry, u.openedAt+lease.MaxUpstreamExpiry)
}

// handleExpiredRuns reports the runs as lost; see runsExpired. The next incarnation, if there is
// one, may execute a start call that got no answer: such runs are kept until a poll with the newest
// token shows that it runs none, or the call is too old.
func (c *Core) handleExpiredRuns() {
	u := &c.upstream
	refuses := u.refuses()
	c.logEvent("upstream_lease_expired", "", "upstream", u.id, "born", u.incarnation, "sign", u.life.Suspect(), "runs", len(c.runs),
		"held_ms_ago", (c.now.Mono - u.lastAnsweredSentAt).Milliseconds())
	var reason message.RefuseReason
	switch {
	case refuses:
		reason = c.recordCrash(liveness.Refused, u.suspectedAt, u.aliveAt)
	case c.resumedAt <= u.lastAnsweredSentAt:
		reason = c.recordCrash(liveness.Silent, c.now.Mono, u.lastAnsweredSentAt)
	}
	u.life.Observe(c.now.Mono, liveness.Expired)
	u.phase = probing
	u.nextProbeAt = c.now.Mono
	u.longPollInFlight, u.renewalInFlight = false, false
	c.capacityChanged()
	c.orphanUnansweredStarts()
	c.reportLost(reason)
}

// orphanUnansweredStarts marks the runs as orphaned of which a start call may be executed late.
func (c *Core) orphanUnansweredStarts() {
	for _, h := range c.holderOrder {
		for _, r := range c.unfinishedRuns(h) {
			if r.mayStartLate() {
				c.orphan(r, 0)
			}
		}
	}
}
