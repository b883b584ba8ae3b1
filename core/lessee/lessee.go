package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/interference"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/recent"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/speed"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// Config holds the parameters of a Core.
type Config struct {
	// Token is the first fencing token. It must exceed the tokens of earlier incarnations
	// of the agent. The wall clock in milliseconds does, unless it was set back.
	Token int64
	// IdleRate is the number of heartbeats sent in a second to all dispatchers without runs
	// here. Zero means pace.IdleRate.
	IdleRate float64
	// LearnCapacity lowers the usable capacity when the upstream refuses a start for lack of
	// capacity; see capacityEstimate.
	LearnCapacity bool
	// RefuseFailing refuses offers while polls of the upstream fail.
	RefuseFailing bool
}

const (
	// tokenStep is added to a fencing token that the upstream refuses. Tokens start from
	// the wall clock in milliseconds. With steps of a minute, a few calls exceed the tokens
	// of earlier incarnations even if the clock was set back.
	tokenStep = 60_000
	// longPollWait is how long a long poll waits for a completion. A long poll whose answer
	// is lost times out soon after that; until then only renewals show completions.
	longPollWait = lease.RenewalInterval
	// probeInterval is the pause between two polls in phase probing.
	probeInterval = maxPollPause
	// announcementTTL is how long an announcement is valid. Upstreams announce themselves
	// every 1.5 s.
	announcementTTL = 6 * time.Second
)

// Core is the state machine of the lessee role. It implements step.Core except for
// Offset and Synced, since it does not follow the control stream.
type Core struct {
	cfg  Config
	now  clock.Now
	out  []step.Action
	site *site.State
	// siteRequester and siteLimiter control when site state is requested from dispatchers
	// and sent to them.
	siteRequester site.StateRequester
	siteLimiter   site.RelayLimiter
	upstream      upstreamState
	// lastPersisted is the key of the announcement that was last persisted or restored.
	lastPersisted announcementKey
	holders       map[node.Ref]*leaseHolder
	// holderOrder lists the lease holders in the order of their first messages.
	holderOrder []*leaseHolder

	runs        map[uint64]*run
	runsByTask  map[message.TaskName]*run
	runsByOffer map[offerKey]*run
	// answers holds the answers to offers that have started no run, or whose runs have completed.
	answers answerMemory
	// answersForgotten counts the repeated offers whose answers were forgotten, or may have been.
	answersForgotten uint64
	// ran holds the jobs of which a run has completed here.
	ran recent.Memory
	// completedAt is when the last run of a task completed. Entries are dropped after
	// pollDelay.
	completedAt map[message.TaskName]time.Duration
	// crashes holds the recent crashes of the upstream, and lastCrash the number of the last
	// one in this incarnation of the agent.
	crashes   []crash
	lastCrash uint64
	// cancelled holds the jobs that dispatchers have cancelled, and cancelsForgotten counts
	// those that were forgotten for lack of memory.
	cancelled        recent.Memory
	cancelsForgotten uint64
	// holds are the jobs that dispatchers hold since a start call may be executed late, and
	// holdsForgotten counts those that were forgotten for lack of memory.
	holds          latestart.Memory
	holdsForgotten uint64
	// resumedAt is when the last long pause of the process ended, or zero.
	resumedAt  time.Duration
	lastHandle uint64
	// used is the sum of the demands of runs.
	used message.Resources
	// token is the fencing token of calls to the upstream.
	token int64
	// capacityVersion is the version of the capacity report, and infoVersion that of the
	// upstream info. Each rises with every change.
	capacityVersion, infoVersion uint64
	// startsRefused counts the start calls that the upstream refused for lack of capacity.
	startsRefused uint64
	// observer collects evidence of interference, or is nil while no dispatcher requests it.
	observer *interference.Observer
	// reservation holds scarce free capacity for one dispatcher.
	reservation reservation
	// speed estimates the speed of the upstream, across its incarnations.
	speed           speed.Estimator
	draining        bool
	nextHeartbeatAt time.Duration
	// idleIndex is the index in holderOrder of the last dispatcher without runs here that
	// got a periodic heartbeat, and idleCredit the number of such heartbeats that are due.
	idleIndex  int
	idleCredit float64
}

// New returns a lessee without an upstream.
func New(cfg Config) *Core {
	return &Core{
		cfg:        cfg,
		site:       &site.State{},
		holders:    make(map[node.Ref]*leaseHolder),
		runs:       make(map[uint64]*run),
		runsByTask: make(map[message.TaskName]*run),

		runsByOffer: make(map[offerKey]*run),
		ran:         recent.NewRuns(),
		completedAt: make(map[message.TaskName]time.Duration),
		token:       cfg.Token,
	}
}

// Step processes one event. The returned slice is valid until the next call.
func (c *Core) Step(now clock.Now, event step.Event) []step.Action {
	if c.now.Mono > 0 && now.Mono-c.now.Mono > suspectAfter {
		c.resumedAt = now.Mono
	}
	c.now = now
	c.out = c.out[:0]
	// After a pause of the process, leases may have lapsed. The core stops their runs before
	// it processes the event, since their tasks may run elsewhere by now.
	c.stopLapsedRuns()
	switch e := event.(type) {
	case step.Received:
		c.handleEnvelope(e.Envelope)
	case Announced:
		c.handleAnnouncement(e.Announcement)
	case AnnouncementRestored:
		c.restoreAnnouncement(e.Announcement)
	case Withdrawn:
		c.handleWithdrawal(e.ID)
	case SiteChanged:
		c.applySite(e.State)
	case StartCallCompleted:
		c.handleStartCallCompleted(e)
	case StopCallCompleted:
		c.handleStopCallCompleted(e)
	case PollCompleted:
		c.handlePollCompleted(e)
	case step.Drain:
		c.draining = true
		c.capacityChanged()
		c.logEvent("leaving", "", "runs", len(c.runs))
	}
	c.stopLapsedRuns()
	c.sendDueCalls()
	c.sendDueHeartbeats()
	c.reportLoweredCapacity()
	if c.updateReservation() {
		c.sendHeartbeat(c.reservation.holder)
	}
	if c.draining && len(c.runs) == 0 && !c.upstream.hasUnacknowledged() {
		c.out = append(c.out, step.Drained{})
	}
	c.out = append(c.out, step.SetTimer{At: c.nextTick()})
	return c.out
}

// Ready reports whether the upstream accepts new runs.
func (c *Core) Ready() bool { return c.refusal() == "" }

// Revision returns the revision of the site state in use.
func (c *Core) Revision() int64 { return c.site.Revision }

// Stats holds the values for metrics.
type Stats struct {
	Runs, Dispatchers int
	// Used is the capacity in use, Capacity the announced and Usable the estimated one.
	Used, Capacity, Usable message.Resources
	Ready                  bool
	Revision               int64
	// Crashes counts the crashes of the upstream.
	Crashes uint64
	// Slowdown is the measured CapacityReport.Slowdown.
	Slowdown int
	// StartsRefused counts the start calls that the upstream refused for lack of capacity.
	StartsRefused uint64
	// CancelsForgotten counts the cancelled jobs, and HoldsForgotten the held ones, that were
	// forgotten for lack of memory.
	CancelsForgotten, HoldsForgotten uint64
	// Answers is the number of answered offers that are remembered. AnswersForgotten counts the
	// offers that came again after their answers were forgotten, or may have been.
	Answers          int
	AnswersForgotten uint64
}

// Stats returns the current values for metrics.
func (c *Core) Stats() Stats {
	return Stats{
		Runs: len(c.runs), Dispatchers: len(c.holders), Used: c.used, Capacity: c.upstream.estimate.announced, Usable: c.upstream.capacity,
		Ready: c.Ready(), Revision: c.site.Revision, Crashes: c.lastCrash, Slowdown: c.speed.Slowdown(c.now.Mono), StartsRefused: c.startsRefused,
		CancelsForgotten: c.cancelsForgotten, HoldsForgotten: c.holdsForgotten,
		Answers: len(c.answers.order), AnswersForgotten: c.answersForgotten,
	}
}

// refusal returns why no task can start now, or an empty reason if tasks can start.
func (c *Core) refusal() message.RefuseReason {
	switch {
	case c.draining:
		return message.RefusedDraining
	case c.upstream.phase != open || !c.upstream.announced || c.upstream.draining || c.upstream.suspected() || c.leaseLeft() < lease.RenewalInterval:
		return message.RefusedNotReady
	case c.cfg.RefuseFailing && c.upstream.failing():
		return message.RefusedUnhealthy
	case c.site.IsDomainOut(c.upstream.domain):
		return message.RefusedDomainOut
	default:
		return ""
	}
}

func (c *Core) applySite(s *site.State) {
	if s == nil || s.Revision <= c.site.Revision {
		return
	}
	c.site = s
	c.siteRequester.StateReceived()
	c.capacityChanged()
	c.logEvent("site_state_taken", "", "revision", s.Revision, "version", s.Version, "domains_out", len(s.DomainsOut))
}

// capacityChanged makes the next heartbeat to each dispatcher carry a capacity report.
func (c *Core) capacityChanged() { c.capacityVersion++ }

// capacityReport returns a report for a dispatcher, and records what it states.
func (c *Core) capacityReport(h *leaseHolder) *message.CapacityReport {
	h.reportedVersion, h.reportedSeq, h.reportedReady = c.capacityVersion, h.maxOfferSeq, c.Ready()
	r := &message.CapacityReport{
		Version: c.capacityVersion, Ready: c.Ready(), Used: c.reportedUse(h), MaxIncludedSeq: h.maxOfferSeq, InfoVersion: c.infoVersion,
		Slowdown: c.speed.Slowdown(c.now.Mono),
		Running:  c.watchedRuns(h),
	}
	if h.knownInfoVersion != c.infoVersion {
		r.Info = &message.UpstreamInfo{
			Service: c.upstream.service, Domain: c.upstream.domain, Labels: c.upstream.labels, Capacity: c.upstream.estimate.announced,
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

// nextTick returns when the next Tick is due if no other event arrives before.
func (c *Core) nextTick() time.Duration {
	at := c.nextHeartbeatAt
	// While a probe is in flight, its result is the next event.
	if c.upstream.phase == probing && !c.upstream.renewalInFlight {
		at = min(at, c.upstream.nextProbeAt)
	}
	at = min(at, c.nextOrphanExpiry())
	if c.upstream.phase == open && !c.upstream.renewalInFlight {
		at = min(at, c.nextRenewalAt())
	}
	if c.wantsLongPoll() && c.upstream.polls.Failures() > 0 {
		at = min(at, c.upstream.polls.DueAt())
	}
	if len(c.runs) > 0 && c.upstream.phase == open && (c.upstreamSilent() || c.upstream.refuses()) {
		at = min(at, c.upstream.runsExpireAt())
	}
	for _, h := range c.holderOrder {
		if h.unfinished > 0 && !h.lapsed {
			at = min(at, h.leaseUntil)
		}
	}
	if c.reservation.holder != nil {
		at = min(at, c.reservation.until)
	}
	return max(at, c.now.Mono+time.Millisecond)
}
