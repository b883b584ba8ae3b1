package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// Config holds what a Core is made of.
type Config struct {
	// Token is the first fencing token. It must exceed those of earlier runs of
	// the agent; the wall clock in milliseconds does unless the clock has stepped.
	Token int64
}

const (
	// tokenStep is added to a fencing token that the upstream refuses: a minute, so
	// that a few steps pass any step of the wall clock.
	tokenStep = 60_000
	// watchTime is how long a look waits for an end. One whose answer is lost is given up
	// soon after it, and until then ends are seen only by renewals.
	watchTime = lease.RenewalInterval
	// probeRetry is the pause between two looks at what an earlier run left.
	probeRetry = 60 * time.Millisecond
	// announcementLife is how long an announcement counts; upstreams announce
	// themselves every 1.5 s.
	announcementLife = 6 * time.Second
)

// Core is the state machine of the role. It implements step.Core but for the
// control stream, which it does not follow.
type Core struct {
	cfg  Config
	now  clock.Now
	out  []step.Action
	site *site.State
	// asking and relay pass the site state on between processes.
	asking site.StateRequester
	relay  site.RelayLimiter
	life   life
	// noted is what a later run of the agent has been left.
	noted  note
	owners map[node.Ref]*owner
	// order lists the owners in the order in which they came.
	order []*owner

	runs   map[uint64]*run
	byName map[message.TaskName]*run
	// endedAt is when the last run of a task has ended here, for a while.
	endedAt map[message.TaskName]time.Duration
	// strayUntil is when nothing of a former life of the upstream runs any more, whatever
	// became of the calls that were meant for it.
	strayUntil time.Duration
	handles    uint64
	used       message.Resources
	token      int64
	// roomVersion counts the changes of the room, kindVersion those of what the upstream
	// is.
	roomVersion, kindVersion uint64
	// turn says for whom room that is short is kept.
	turn     turn
	draining bool
	nextBeat time.Duration
}

// New returns a lessee without an upstream.
func New(cfg Config) *Core {
	return &Core{
		cfg:    cfg,
		site:   &site.State{},
		owners: make(map[node.Ref]*owner),
		runs:   make(map[uint64]*run),
		byName: make(map[message.TaskName]*run),

		endedAt: make(map[message.TaskName]time.Duration),
		token:   cfg.Token,
	}
}

// Step takes in one event. The returned slice is valid until the next call.
func (c *Core) Step(now clock.Now, event step.Event) []step.Action {
	c.now = now
	c.out = c.out[:0]
	// After a pause leases have lapsed before anything else is done for their owners.
	c.endLeases()
	switch e := event.(type) {
	case step.Received:
		c.receive(e.Envelope)
	case Announced:
		c.announced(e.Announcement)
	case AnnouncementRestored:
		c.remembered(e.Announcement)
	case Withdrawn:
		c.withdrawn(e.ID)
	case SiteChanged:
		c.learnSite(e.State)
	case StartCallCompleted:
		c.startEnded(e)
	case StopCallCompleted:
		c.stopEnded(e)
	case PollCompleted:
		c.looked(e)
	case step.Drain:
		c.draining = true
		c.changed()
		c.logEvent("leaving", "", "runs", len(c.runs))
	}
	c.endLeases()
	c.drive()
	c.beat()
	if c.passTurn() {
		c.beatTo(c.turn.holder)
	}
	if c.draining && len(c.runs) == 0 && !c.life.unacknowledged() {
		c.out = append(c.out, step.Drained{})
	}
	c.out = append(c.out, step.SetTimer{At: c.next()})
	return c.out
}

// Ready reports whether the upstream takes work.
func (c *Core) Ready() bool { return c.refusal() == "" }

// Revision returns the revision of the published state.
func (c *Core) Revision() int64 { return c.site.Revision }

// Stats describes the core for metrics.
type Stats struct {
	Runs, Dispatchers int
	Used, Capacity    message.Resources
	Ready             bool
	Revision          int64
}

// Stats returns the state for metrics.
func (c *Core) Stats() Stats {
	return Stats{
		Runs: len(c.runs), Dispatchers: len(c.owners), Used: c.used, Capacity: c.life.capacity,
		Ready: c.Ready(), Revision: c.site.Revision,
	}
}

// refusal returns why no task may start now, or nothing.
func (c *Core) refusal() message.RefuseReason {
	switch {
	case c.draining:
		return message.RefusedDraining
	case c.life.phase != open || !c.life.announced || c.life.draining:
		return message.RefusedNotReady
	case c.site.IsDomainOut(c.life.domain):
		return message.RefusedDomainOut
	default:
		return ""
	}
}

func (c *Core) learnSite(s *site.State) {
	if s == nil || s.Revision <= c.site.Revision {
		return
	}
	c.site = s
	c.asking.StateReceived()
	c.changed()
	c.logEvent("site_state_taken", "", "revision", s.Revision, "version", s.Version, "domains_out", len(s.DomainsOut))
}

// changed notes a change of the room that dispatchers are to hear of.
func (c *Core) changed() { c.roomVersion++ }

func (c *Core) room(o *owner) *message.CapacityReport {
	r := &message.CapacityReport{
		Version: c.roomVersion, Ready: c.Ready(), Used: c.usedFor(o), MaxIncludedSeq: o.seen, InfoVersion: c.kindVersion,
	}
	if o.knownKind != c.kindVersion {
		r.Info = &message.UpstreamInfo{
			Service: c.life.service, Domain: c.life.domain, Labels: c.life.labels, Capacity: c.life.capacity,
		}
	}
	return r
}

func (c *Core) send(to node.Ref, m message.Message) {
	c.out = append(c.out, step.Send{To: to, Message: m})
}

func (c *Core) logEvent(event, job string, fields ...any) {
	c.out = append(c.out, step.LogEvent{Event: event, Job: job, Fields: fields})
}

// next returns when Step is due again without an event.
func (c *Core) next() time.Duration {
	at := c.nextBeat
	// While a look is under way its end is the next event.
	if c.life.phase == probing && !c.life.renewing {
		at = min(at, c.life.lookAt)
	}
	if len(c.runs) > 0 && c.life.phase == probing {
		at = min(at, c.strayUntil+time.Millisecond)
	}
	if len(c.runs) > 0 && !c.life.renewing {
		at = min(at, c.life.renewedAt+lease.RenewalInterval)
	}
	if len(c.runs) > 0 && c.life.phase == open && c.suspect() {
		at = min(at, c.life.extendedAt+lease.UpstreamExpiry)
	}
	for _, o := range c.order {
		if o.runs > 0 && !o.lapsed {
			at = min(at, o.leaseUntil)
		}
	}
	if c.turn.holder != nil {
		at = min(at, c.turn.until)
	}
	return max(at, c.now.Mono+time.Millisecond)
}
