package entry

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/catchup"
	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/quota"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
	"github.com/dogwoodgauge/dogwoodgauge/core/timerqueue"
)

// Config sets the identity of an entry.
type Config struct {
	Self node.Ref
	// Addr is the address of the entry's transport.
	Addr   string
	Domain string
	// Seed makes the random choices of the policies repeatable.
	Seed uint64
	// Policy names the placement policy by which homes are chosen.
	Policy string
	// ClockBound is the largest difference between two wall clocks.
	ClockBound time.Duration
	// PanicOnViolation makes the core panic when an invariant is violated.
	PanicOnViolation bool
}

// defaultClockBound applies when Config.ClockBound is zero.
const defaultClockBound = 500 * time.Millisecond

// Core is the state of an entry. It holds no job: when an entry fails, its
// callers can fetch the answers of their jobs from the jobs' homes through
// another entry.
type Core struct {
	cfg           Config
	invariants    invariant.Recorder
	state         *control.State
	tail          catchup.Tail
	picker        placement.Picker
	limiter       *quota.Limiter
	agents        map[node.Ref]*agent
	orderedAgents []*agent
	// homes maps job IDs that callers chose to agents.
	homes         *rendezvous.Timeline
	dead          map[node.Ref]bool
	calls         map[uint64]*call
	requests      map[uint64]*call
	timers        timerqueue.Queue[timer]
	lastRequest   uint64
	lastMinted    uint64
	lastHomeIndex int
	gossip        gossip
	// isolated is true while at least half of the usable agents have long been
	// unresponsive, so that this entry is probably cut off from them.
	isolated   bool
	inspection inspection
	// version counts the changes of the configuration and the membership.
	version uint64
	// shares holds the version at which each team's share of its quota was last
	// set.
	shares   map[string]uint64
	draining bool
	drained  bool

	now             clock.Now
	actions         []Action
	candidates      []placement.Candidate
	candidateAgents []*agent
}

// New returns the core of an entry that knows no agent. It panics when the
// policy name is unknown; the caller validates settings before.
func New(cfg Config) *Core {
	if cfg.ClockBound == 0 {
		cfg.ClockBound = defaultClockBound
	}
	if cfg.Policy == "" {
		cfg.Policy = placement.Default
	}
	picker, err := placement.New(cfg.Policy, cfg.Seed)
	if err != nil {
		panic(err)
	}
	state := control.NewState()
	return &Core{
		homes:      rendezvous.NewTimeline(state),
		cfg:        cfg,
		invariants: invariant.Recorder{Panic: cfg.PanicOnViolation},
		state:      state,
		tail:       catchup.Tail{State: state},
		picker:     picker,
		limiter:    quota.New(cfg.Seed),
		agents:     make(map[node.Ref]*agent),
		dead:       make(map[node.Ref]bool),
		calls:      make(map[uint64]*call),
		requests:   make(map[uint64]*call),
		shares:     make(map[string]uint64),
		version:    1,
	}
}

// Step processes one event and returns the actions to carry out, in order. The
// slice is valid until the next call.
func (c *Core) Step(now clock.Now, ev Event) []Action {
	c.now = now
	c.actions = c.actions[:0]
	switch e := ev.(type) {
	case Tick:
	case Received:
		c.received(&e.Envelope)
	case PeerReset:
		c.resendAll(e.Ref)
	case PeerSuspect:
		c.peerSuspect(e.Ref)
	case PeerDead:
		c.peerDead(e.Ref)
	case Published:
		c.applyPublished(e)
	case LogRead:
		c.applyLogRead(e)
	case SubmitCall:
		c.submit(e)
	case FetchCall:
		c.fetch(e)
	case CancelCall:
		c.cancel(e)
	case MintCall:
		c.mint(e)
	case InspectCall:
		c.inspect(e.Call)
	case CallerGone:
		c.dropCall(e.Call)
	case Drain:
		c.beginDrain()
	}
	c.tick()
	c.checkDrained()
	c.actions = append(c.actions, SetTimer{At: c.nextTimer()})
	return c.actions
}

func (c *Core) nextTimer() time.Duration {
	at := c.gossip.nextRoundAt
	if next, ok := c.timers.Next(); ok {
		at = min(at, next)
	}
	if len(c.inspection.calls) > 0 {
		at = min(at, c.inspection.startedAt+InspectTimeout)
	}
	return at
}

func (c *Core) tick() {
	for {
		t, ok := c.timers.Pop(c.now.Mono)
		if !ok {
			break
		}
		c.timerFired(t)
	}
	if c.gossip.nextRoundAt <= c.now.Mono {
		c.startRound()
	}
	c.checkInspection()
}

// received processes the messages of an envelope. It drops an envelope that is
// addressed to another incarnation of this process.
func (c *Core) received(e *message.Envelope) {
	if e.To != c.cfg.Self {
		return
	}
	c.observeEnvelope(e)
	for i := range e.Messages {
		m := &e.Messages[i]
		switch {
		case m.Answer != nil:
			c.handleAnswer(m.Answer)
		case m.Pending != nil:
			c.handlePending(m.Pending)
		case m.NoRecord != nil:
			c.handleNoRecord(m.NoRecord)
		case m.NotHome != nil:
			c.handleNotHome(m.NotHome)
		case m.Status != nil:
			c.handleStatus(e, m.Status)
		case m.Records != nil:
			c.stateChanged(c.tail.ApplyCatchUp(m.Records))
		}
	}
}

// mint answers a request for job IDs. The usable agents become homes in turn.
func (c *Core) mint(e MintCall) {
	if c.isolated {
		c.actions = append(c.actions, MintReply{Call: e.Call, Kind: errkind.Unavailable})
		return
	}
	ids := make([]job.ID, 0, e.Count)
	for range e.Count {
		a := c.nextHome()
		if a == nil {
			c.actions = append(c.actions, MintReply{Call: e.Call, Kind: errkind.Unavailable})
			return
		}
		ids = append(ids, c.mintFor(a.member.Ref))
	}
	c.actions = append(c.actions, MintReply{Call: e.Call, IDs: ids})
}

func (c *Core) mintFor(home node.Ref) job.ID {
	c.lastMinted++
	return job.Minted{
		Home: home, Created: c.now.Wall, Minter: c.cfg.Self.Incarnation, Seq: c.lastMinted,
	}.ID()
}

// nextHome returns the next usable agent in turn. It returns a suspect agent
// only when there is no other, and nil when there is none.
func (c *Core) nextHome() *agent {
	var suspect *agent
	for range c.orderedAgents {
		c.lastHomeIndex = (c.lastHomeIndex + 1) % len(c.orderedAgents)
		a := c.orderedAgents[c.lastHomeIndex]
		switch {
		case !a.usable():
		case !a.suspect:
			return a
		case suspect == nil:
			suspect = a
		}
	}
	return suspect
}

func (c *Core) beginDrain() {
	if c.draining {
		return
	}
	c.draining = true
	c.actions = append(c.actions, AppendControl{Record: control.EncodeLeave(c.cfg.Self, 0)})
}

func (c *Core) checkDrained() {
	if !c.draining || c.drained || len(c.calls) > 0 {
		return
	}
	c.drained = true
	c.actions = append(c.actions, Drained{})
}

func (c *Core) send(to node.Ref, m message.Message) {
	if a, ok := c.agents[to]; ok {
		a.silence.MessageSent(c.now.Mono)
	}
	c.actions = append(c.actions, Send{To: to, Message: m})
}

// Offset returns the offset of the next record of the control stream to read.
func (c *Core) Offset() int64 { return c.state.Next() }

// Synced reports whether the core holds every record before Offset.
func (c *Core) Synced() bool { return c.state.Synced() }
