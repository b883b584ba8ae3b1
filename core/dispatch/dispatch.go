package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pressure"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/quarantine"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/core/timerqueue"
)

const (
	// tickTime is the longest pause between two looks at silent agents, and agentsPause
	// the shortest: a tenth of a beat is exact enough for what follows from silence.
	tickTime    = 100 * time.Millisecond
	agentsPause = lease.HeartbeatInterval / 10
	// maxPause is the longest time that the process may not have run without having
	// to give up its open jobs: their leases are about to lapse.
	maxPause = lease.RunLease - 200*time.Millisecond
	// resumeGrace is how long after such a pause the submissions that arrive may have
	// waited in a socket all the while: what was buffered is read within it.
	resumeGrace = 100 * time.Millisecond
	// maxOpenJobs bounds the jobs held, against the memory of the host.
	maxOpenJobs = 4096
)

// Config holds what a Core is made of.
type Config struct {
	// Domain is the failure domain of this process.
	Domain string
}

// Core is the state machine of the role.
type Core struct {
	cfg  Config
	now  clock.Now
	out  []step.Action
	site *site.State
	// asking and relay pass the site state on between processes.
	asking site.StateRequester
	relay  site.RelayLimiter

	agents map[node.Ref]*agent
	// order lists the agents in order of their names.
	order []*agent
	jobs  map[uint64]*job
	// byID holds the same jobs by their own IDs.
	byID map[string]*job
	// waiting lists the jobs with tasks to place, in order of placement.
	waiting []*job
	sent    map[uint64]*task
	seq     uint64
	// deadlines and hopeless hold the calls of jobs by when their callers stop waiting,
	// and by when they can't end before that any more.
	deadlines, hopeless timerqueue.Queue[uint64]
	// candidates and ordered are reused by placements.
	candidates []candidate
	ordered    []*job
	// agentsCheckedAt is when the agents were last looked at.
	agentsCheckedAt time.Duration
	faults          *quarantine.Detector
	// dirty is set when a placement may succeed that did not before.
	dirty    bool
	draining bool
	// startedAt is when the first event came.
	startedAt time.Duration
	// askAt is when the agents may be asked for room again.
	askAt time.Duration
	// askedPriority is that of the task that agents were told of last, urgentAt when some
	// may be told of a more urgent one, and askNext the place of the last one told.
	askedPriority int
	urgentAt      time.Duration
	askNext       int
	// resumedAt is when the last long pause of the process ended, or zero.
	resumedAt time.Duration
	// pressure watches how long submissions wait for this process.
	pressure pressure.Gauge
	// pressed is what was told of it last.
	pressed bool
	stats   Stats
}

// Stats counts what the dispatcher has done.
type Stats struct {
	OpenJobs, WaitingJobs, Agents, ReadyAgents int
	Revision                                   int64
	Offers, Refusals, LostRuns                 uint64
	// Overloaded is set while the process falls behind its work, and shortly after.
	Overloaded bool
	// AgentsExamined counts the agents that placements have examined.
	AgentsExamined uint64
}

// New returns a dispatcher that knows no agent.
func New(cfg Config) *Core {
	return &Core{
		cfg:    cfg,
		site:   &site.State{},
		agents: make(map[node.Ref]*agent),
		jobs:   make(map[uint64]*job),
		byID:   make(map[string]*job),
		sent:   make(map[uint64]*task),
		faults: quarantine.New(),
	}
}

// Step takes in one event and does what follows from it: Handle and Settle at once.
func (c *Core) Step(now clock.Now, event step.Event) []step.Action {
	return append(slices.Clone(c.Handle(now, event)), c.Settle(now)...)
}

// Handle takes in one event. Settle must follow after one event or several. The
// returned slice is valid until the next call of either.
func (c *Core) Handle(now clock.Now, event step.Event) []step.Action {
	c.begin(now)
	c.handle(event)
	return c.out
}

// Settle does what depends on the state and not on single events: it ends what is due
// and places the tasks that wait. Doing so once after a number of events keeps a
// process that is behind from falling back further.
func (c *Core) Settle(now clock.Now) []step.Action {
	c.begin(now)
	c.checkAgents()
	c.checkDeadlines()
	c.place()
	c.refuseHopeless()
	c.askForRoom()
	c.tellPressure()
	if c.draining && len(c.jobs) == 0 {
		c.out = append(c.out, step.Drained{})
	}
	c.out = append(c.out, step.SetTimer{At: c.next()})
	return c.out
}

// tellPressure says when the process begins to fall behind, and when it has caught up.
func (c *Core) tellPressure() {
	now := c.pressure.Recovering(c.now.Mono)
	if now == c.pressed {
		return
	}
	c.pressed = now
	c.logEvent("overload", "", "now", now, "open_jobs", len(c.jobs), "waiting", len(c.waiting))
	c.out = append(c.out, Overloaded{Active: now})
}

// begin notes the time, and gives up the open jobs when the process has not run for
// too long.
func (c *Core) begin(now clock.Now) {
	pause := now.Mono - c.now.Mono
	resumed := c.now.Mono > 0 && pause > maxPause
	if c.now.Mono == 0 {
		c.startedAt = now.Mono
	}
	c.now = now
	c.out = c.out[:0]
	if resumed {
		c.resume(pause)
	}
}

func (c *Core) handle(event step.Event) {
	switch e := event.(type) {
	case Submit:
		c.submit(e)
	case CallerGone:
		c.abandon(e)
	case Cancel:
		c.cancel(e)
	case SiteChanged:
		c.learnSite(e.State)
	case AgentConnected:
		c.connected(e)
	case step.Received:
		c.receive(e.Envelope)
	case step.PeerReset:
		c.peerReset(e.Ref)
	case step.PeerDead:
		c.peerDead(e.Ref)
	case step.Drain:
		c.draining = true
	}
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Overloaded = c.pressed
	s.OpenJobs, s.WaitingJobs, s.Agents, s.Revision = len(c.jobs), len(c.waiting), len(c.agents), c.site.Revision
	for _, a := range c.order {
		if c.usable(a) {
			s.ReadyAgents++
		}
	}
	return s
}

// Site returns the published state that is in force here. It must not be changed.
func (c *Core) Site() *site.State { return c.site }

// WaitingJobs returns the number of jobs of a route of which nothing has started.
func (c *Core) WaitingJobs(route string) int {
	n := 0
	for _, j := range c.waiting {
		if j.spec.Route.Name == route && !j.touched {
			n++
		}
	}
	return n
}

// resume gives up the open jobs after a pause of the process: their runs are being
// stopped, and their callers may have submitted them again elsewhere.
func (c *Core) resume(pause time.Duration) {
	c.resumedAt = c.now.Mono
	c.logEvent("process_was_paused", "", "pause_ms", pause.Milliseconds(), "open_jobs", len(c.jobs))
	for _, j := range c.openJobs() {
		c.giveUp(j, reasonPaused)
	}
}

func (c *Core) learnSite(s *site.State) {
	if s == nil || s.Revision <= c.site.Revision {
		return
	}
	c.site = s
	c.asking.StateReceived()
	c.dirty = true
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

// next returns when Step is due again without an event.
func (c *Core) next() time.Duration {
	at := c.now.Mono + tickTime
	if due, ok := c.deadlines.Next(); ok {
		at = min(at, due)
	}
	return max(at, c.now.Mono+time.Millisecond)
}
