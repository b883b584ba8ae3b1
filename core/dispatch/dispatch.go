package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/containment"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/interference"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pressure"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/quarantine"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/recent"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/core/timerqueue"
)

const (
	// maxTickInterval and minCheckInterval are the longest and the shortest pause between
	// two checks for unresponsive agents. A tenth of a heartbeat interval is precise
	// enough for the timeouts that depend on these checks.
	maxTickInterval  = 100 * time.Millisecond
	minCheckInterval = lease.HeartbeatInterval / 10
	// maxProcessPause is the longest pause of the process after which it still continues
	// its open jobs. After a longer one, the leases of their runs are about to lapse.
	maxProcessPause = lease.RunLease - 200*time.Millisecond
	// resumeGrace is the time within which the process, after such a pause, has read
	// everything that was buffered in sockets. A submission that it receives within this
	// time may have waited in a socket during the pause.
	resumeGrace = 100 * time.Millisecond
	// maxOpenJobs limits the number of open jobs, and so the memory in use on the host.
	maxOpenJobs = 4096
	// uncountedTasks is the largest number of tasks of a job that Config.MaxOpenTasks does not
	// limit. maxOpenJobs bounds the memory of such jobs.
	uncountedTasks = 16
)

// Config holds the parameters of a Core.
type Config struct {
	// Self is this incarnation of the process.
	Self node.Ref
	// Domain is the failure domain of this process.
	Domain string
	// LearnSpeed makes placement take the measured speed of upstreams into account.
	LearnSpeed bool
	// SeparateInterfering makes placement prefer upstreams without tasks that were measured
	// to slow the new one down.
	SeparateInterfering bool
	// OrderAcross makes agents serve the waiting tasks of all dispatchers in one order, by
	// priority and objective.
	OrderAcross bool
	// UsefulFactor times its objective is the time after which a job's answer is of no use.
	// Zero means that it is of use until the deadline.
	UsefulFactor float64
	// Predict refuses jobs at once that are predicted to start too late.
	Predict bool
	// RefuseLateStarts refuses arriving jobs under lasting overload that would start too late
	// to meet their objectives; see refuseLateStarts. It needs Predict.
	RefuseLateStarts bool
	// MinShare is the least share of the placed capacity for each priority with waiting jobs,
	// from 0 to 1. Zero means strict order of priority.
	MinShare float64
	// MaxOpenTasks limits the tasks of the open jobs with more than uncountedTasks, and so the
	// memory in use on the host. A single such job is accepted all the same. Zero means no limit.
	MaxOpenTasks int
}

// Core is the state machine of the dispatcher role. It implements step.Core except for
// Offset and Synced, since it does not follow the control stream.
type Core struct {
	cfg  Config
	now  clock.Now
	out  []step.Action
	site *site.State
	// siteRequester and siteLimiter control when site state is requested from agents and
	// sent to them.
	siteRequester site.StateRequester
	siteLimiter   site.RelayLimiter

	agents map[node.Ref]*agent
	// sortedAgents lists the agents by ID and incarnation. workersChanged is set until the
	// fault detector has the list.
	sortedAgents   []*agent
	workersChanged bool
	jobs           map[uint64]*job
	// byID holds the same jobs by their IDs.
	byID map[string]*job
	// waiting lists the jobs with unplaced tasks, by priority, then by objective.
	waiting []*job
	// openOffers holds the tasks of offers that have not completed, by sequence number.
	openOffers map[uint64]*task
	lastSeq    uint64
	// deadlines holds the calls by the time at which their callers stop waiting.
	// latestStarts holds them by the time from which a job that has not started cannot meet
	// its deadline.
	deadlines, latestStarts timerqueue.Queue[uint64]
	backlogs                backlogState
	// candidates and placementList are buffers that placements reuse.
	candidates    []candidate
	placementList []*job
	shares        shareState
	// domainDoubtedAt is when the agents of a failure domain were last asked for heartbeats.
	// openTasks is the number of tasks that Config.MaxOpenTasks limits.
	openTasks       int
	domainDoubtedAt map[string]time.Duration
	// agentsCheckedAt is when the agents were last checked for unresponsive ones.
	agentsCheckedAt time.Duration
	faults          *quarantine.Detector
	// crashes holds the recent crashes of upstreams, and isolation which agents run the tasks
	// that may have caused them.
	crashes   *containment.Tracker
	isolation isolationState
	// cancelled holds the jobs that were cancelled, here or at another dispatcher.
	cancelled     recent.Memory
	holds         holdState
	announcements announcements
	ran           ranState
	speeds        speedState
	// interference holds the routes found to slow each other down, or is nil if tasks are not
	// placed by it. watch is the request for evidence in heartbeats.
	interference *interference.Detector
	watch        *message.InterferenceWatch
	// confinedRefusedAt is when a job of a confined route was last refused, or zero.
	confinedRefusedAt time.Duration
	// placementNeeded is set when a new placement may place tasks that the last one could
	// not place.
	placementNeeded bool
	draining        bool
	// startedAt is the time of the first event.
	startedAt time.Duration
	// notifyAt is the earliest time of the next round of notifications of waiting tasks.
	notifyAt time.Duration
	// notifiedPriority is the priority of the waiting task that agents were last notified
	// of. notifyUrgentAt is the earliest time at which some agents may be notified of a
	// more urgent task, and notifyIndex the index in sortedAgents at which the last such
	// round stopped.
	notifiedPriority int
	notifyUrgentAt   time.Duration
	notifyIndex      int
	// waitingSince is the time since which jobs have waited without a pause, or zero.
	waitingSince time.Duration
	// onTimeFirst is the result of firstOnTime at this time.
	onTimeFirst struct {
		at  time.Duration
		job *job
	}
	// resumedAt is when the last long pause of the process ended, or zero.
	resumedAt time.Duration
	// pressure measures how long submissions wait before this process handles them.
	pressure pressure.Gauge
	// reportedOverload is the state that the last Overloaded action reported.
	reportedOverload bool
	stats            Stats
}

// Stats holds the counters of the dispatcher and its current state.
type Stats struct {
	OpenJobs, WaitingJobs, Agents, ReadyAgents int
	// OpenTasks is the number of tasks of the open jobs with more than uncountedTasks.
	OpenTasks                  int
	Revision                   int64
	Offers, Refusals, LostRuns uint64
	// Crashes counts the crashes of upstreams that agents have reported, and CrashedRuns the
	// runs of this dispatcher that were lost to them.
	Crashes, CrashedRuns uint64
	// ConfinedRoutes is the number of routes whose tasks run on isolated upstreams only.
	ConfinedRoutes int
	// InterferingPairs is the number of ordered pairs of routes of which one was found to slow
	// the other down.
	InterferingPairs int
	// Overloaded is set while the process falls behind its work, and for a short time
	// after that.
	Overloaded bool
	// FastAgents and SlowAgents count the agents whose upstreams are much faster or slower than
	// the median of their service, as far as known.
	FastAgents, SlowAgents int
	// PredictedWait is the time until all waiting demand will have been placed, or zero if
	// that is not known.
	PredictedWait time.Duration
	// AgentsExamined counts the agents that placements have examined.
	AgentsExamined uint64
	// ShareTurns counts the jobs that were placed before jobs of higher priority for the
	// minimum share of their own. HeldJobs counts those that have waited for narrower ones.
	ShareTurns, HeldJobs uint64
	// CancelledResubmissions counts the submissions of jobs that had been cancelled before, and
	// CancelsForgotten the cancelled jobs that were forgotten or made known to no other
	// process, for lack of memory or bytes.
	CancelledResubmissions, CancelsForgotten uint64
	// JobsMayStartLate is the number of jobs that are held, or will be when they are submitted
	// again, since a start call of theirs may be executed late. HeldResubmissions counts the jobs
	// that were held, and HoldsForgotten the holds that were forgotten for lack of memory.
	JobsMayStartLate                  int
	HeldResubmissions, HoldsForgotten uint64
}

// New returns a dispatcher without agents.
func New(cfg Config) *Core {
	c := &Core{
		cfg:        cfg,
		site:       &site.State{},
		agents:     make(map[node.Ref]*agent),
		jobs:       make(map[uint64]*job),
		byID:       make(map[string]*job),
		openOffers: make(map[uint64]*task),
		faults:     quarantine.New(),
		crashes:    containment.New(),
		isolation:  newIsolationState(),
		backlogs:   newBacklogState(),
		shares:     newShareState(cfg.MinShare),
		ran:        newRanState(),

		domainDoubtedAt: make(map[string]time.Duration),
	}
	if cfg.SeparateInterfering {
		c.interference = interference.NewDetector()
	}
	return c
}

// Step processes one event: it calls Handle, then EndBatch.
func (c *Core) Step(now clock.Now, event step.Event) []step.Action {
	return append(slices.Clone(c.Handle(now, event)), c.EndBatch(now)...)
}

// Handle processes one event. The caller must call EndBatch after one or more events. The
// returned slice is valid until the next call of either method.
func (c *Core) Handle(now clock.Now, event step.Event) []step.Action {
	c.beginCall(now)
	c.handleEvent(event)
	return c.out
}

// EndBatch does the work that depends on the state instead of single events: it answers
// the jobs that are due and places waiting tasks. Doing so once for a batch of events
// keeps a process with a backlog of events from falling further behind.
func (c *Core) EndBatch(now clock.Now) []step.Action {
	c.beginCall(now)
	c.checkAgents()
	c.updateKnownWorkers()
	c.checkDeadlines()
	c.updateIsolation()
	c.updateInterference()
	c.releaseJobs()
	c.place()
	c.refuseInfeasible()
	c.refuseHopeless()
	c.giveUpConfined()
	c.updateBacklogged()
	c.updateShares()
	c.notifyWaiting()
	if c.draining && len(c.jobs) == 0 {
		c.announceAllHolds()
	}
	c.announce()
	c.reportOverload()
	if c.draining && len(c.jobs) == 0 && !c.announcements.pending(c.now.Mono) {
		c.out = append(c.out, step.Drained{})
	}
	c.out = append(c.out, step.SetTimer{At: c.nextTick()})
	return c.out
}

// reportOverload emits Overloaded when the process begins to fall behind its work, and
// when it has caught up.
func (c *Core) reportOverload() {
	overloaded := c.pressure.Recovering(c.now.Mono)
	if overloaded == c.reportedOverload {
		return
	}
	c.reportedOverload = overloaded
	c.logEvent("overload", "", "now", overloaded, "open_jobs", len(c.jobs), "waiting", len(c.waiting))
	c.out = append(c.out, Overloaded{Active: overloaded})
}

// beginCall sets the time and clears the output. It gives up the open jobs if the process
// was paused for too long.
func (c *Core) beginCall(now clock.Now) {
	pause := now.Mono - c.now.Mono
	resumed := c.now.Mono > 0 && pause > maxProcessPause
	if c.now.Mono == 0 {
		c.startedAt = now.Mono
	}
	c.now = now
	c.out = c.out[:0]
	if resumed {
		c.giveUpAfterPause(pause)
	}
}

func (c *Core) handleEvent(event step.Event) {
	switch e := event.(type) {
	case Submit:
		c.handleSubmit(e)
	case CallerGone:
		c.handleCallerGone(e)
	case Cancel:
		c.handleCancel(e)
	case SiteChanged:
		c.applySite(e.State)
	case AgentConnected:
		c.handleAgentConnected(e)
	case step.Received:
		c.handleEnvelope(e.Envelope)
	case step.PeerReset:
		c.handlePeerReset(e.Ref)
	case step.PeerSuspect:
		c.handlePeerSuspect(e)
	case step.PeerDead:
		c.handlePeerDead(e.Ref)
	case step.Drain:
		c.draining = true
	}
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Overloaded = c.reportedOverload
	s.PredictedWait = c.predictedWait()
	s.ConfinedRoutes = c.crashes.ConfinedRoutes()
	if c.interference != nil {
		s.InterferingPairs = len(c.interference.Findings())
	}
	s.JobsMayStartLate = c.holds.known.Len()
	s.OpenJobs, s.WaitingJobs, s.Agents, s.Revision = len(c.jobs), len(c.waiting), len(c.agents), c.site.Revision
	s.OpenTasks = c.openTasks
	for _, a := range c.sortedAgents {
		if c.usable(a) {
			s.ReadyAgents++
		}
	}
	return s
}

// Site returns the site state that this process applies. Callers must not change it.
func (c *Core) Site() *site.State { return c.site }

// WaitingJobs returns the number of waiting jobs of a route, without those of which a task
// may have run.
func (c *Core) WaitingJobs(route string) int {
	n := 0
	for _, j := range c.waiting {
		if j.spec.Route.Name == route && !j.mayHaveRun {
			n++
		}
	}
	return n
}

// resuming reports whether the process has just resumed after a long pause. During the pause,
// callers may have submitted jobs to other dispatchers.
func (c *Core) resuming() bool { return c.resumedAt > 0 && c.now.Mono-c.resumedAt < resumeGrace }

// giveUpAfterPause gives up the open jobs after a pause of the process. During the pause,
// agents may have stopped the runs, as they received no messages from this dispatcher, and
// callers may have submitted the jobs to other dispatchers.
func (c *Core) giveUpAfterPause(pause time.Duration) {
	c.resumedAt = c.now.Mono
	c.logEvent("process_was_paused", "", "pause_ms", pause.Milliseconds(), "open_jobs", len(c.jobs))
	for _, j := range c.openJobs() {
		c.giveUp(j, reasonPaused)
	}
}

// applySite applies s if it is newer than the current site state.
func (c *Core) applySite(s *site.State) {
	if s == nil || s.Revision <= c.site.Revision {
		return
	}
	c.site = s
	c.siteRequester.StateReceived()
	c.placementNeeded = true
	c.logEvent("site_state_taken", "", "revision", s.Revision, "version", s.Version, "routes", len(s.Routes),
		"domains_out", len(s.DomainsOut))
	c.out = append(c.out, SiteUpdated{State: s})
}

func (c *Core) send(to node.Ref, m message.Message) {
	c.out = append(c.out, step.Send{To: to, Message: m})
}

func (c *Core) logEvent(event, job string, fields ...any) {
	c.out = append(c.out, step.LogEvent{Event: event, Job: job, Fields: fields})
}

// nextTick returns when the next Tick is due if no other event arrives before.
func (c *Core) nextTick() time.Duration {
	at := c.now.Mono + maxTickInterval
	if due, ok := c.deadlines.Next(); ok {
		at = min(at, due)
	}
	if c.crashes.Active() && len(c.waiting) > 0 {
		at = min(at, c.isolation.refreshedAt+isolationRefresh)
	}
	return max(at, c.now.Mono+time.Millisecond)
}
