package agent

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/catchup"
	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/executor"
	"github.com/dogwoodgauge/dogwoodgauge/core/freshness"
	"github.com/dogwoodgauge/dogwoodgauge/core/home"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/ownership"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/quarantine"
)

// Config sets the identity and the bounds of an agent. Zero bounds take the
// defaults.
type Config struct {
	Self node.Ref
	// Addr is the address at which other processes reach this one.
	Addr   string
	Domain string
	Worker string
	// Seed makes the random choices of the policies repeatable.
	Seed uint64
	// Policy names the placement policy.
	Policy string
	// Lease is the duration of the freshness lease: how long evidence stays
	// valid that this agent's offset in the control stream is current.
	Lease time.Duration
	// OutageLimit is how long after the last evidence from the log the
	// statements of a majority of agents still permit task starts. Zero means
	// no limit.
	OutageLimit time.Duration
	// ClockBound is the largest difference between two wall clocks.
	ClockBound time.Duration
	// Retention is the admission window of jobs and how long records are kept.
	Retention time.Duration
	// MaxRecords bounds the job records held, MaxRecordBytes the results in them, and
	// MaxOpenBytes the payloads and labels of open jobs.
	MaxRecords     int
	MaxRecordBytes int
	MaxOpenBytes   int
	// QueueLimit bounds the tasks that wait for a slot of an upstream.
	QueueLimit int
	// ReservedSlots is the number of upstream slots that only urgent tasks may
	// use.
	ReservedSlots int
	// PanicOnViolation makes the core panic when an invariant is violated.
	PanicOnViolation bool
}

// The defaults of Config, and maxWaitingTasks, the number of tasks that may wait
// at the home for an executor.
const (
	DefaultLease          = freshness.DefaultDuration
	DefaultClockBound     = 500 * time.Millisecond
	DefaultRetention      = 5 * time.Minute
	DefaultMaxRecords     = 50_000
	DefaultMaxRecordBytes = 8 << 20
	DefaultMaxOpenBytes   = 32 << 20
	DefaultQueueLimit     = 16
	maxWaitingTasks       = 20_000
)

func (cfg *Config) setDefaults() {
	setDefault(&cfg.Lease, DefaultLease)
	setDefault(&cfg.ClockBound, DefaultClockBound)
	setDefault(&cfg.Retention, DefaultRetention)
	setDefault(&cfg.MaxRecords, DefaultMaxRecords)
	setDefault(&cfg.MaxRecordBytes, DefaultMaxRecordBytes)
	setDefault(&cfg.MaxOpenBytes, DefaultMaxOpenBytes)
	setDefault(&cfg.QueueLimit, DefaultQueueLimit)
	setDefault(&cfg.Policy, placement.Default)
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Core is the state of an agent: its view of the membership, the home of its
// jobs and the executor of its tasks.
type Core struct {
	cfg            Config
	invariants     invariant.Recorder
	state          *control.State
	tail           catchup.Tail
	lease          *freshness.Lease
	tracker        *ownership.Tracker
	home           *home.Core
	exec           *executor.Core
	faults         *quarantine.Detector
	peers          map[node.Ref]*peer
	watched        []*peer
	former         []formerPeer
	watchedEntries []*watchedEntry
	gossip         gossip
	members        memberState
	drain          drainState
	handedOver     handedOver
	departed       departed
	// version counts the changes that may alter where tasks may run: a new
	// configuration or membership, a peer's new list of upstreams, and the end
	// of a peer.
	version uint64
	// highestReported is the highest offset that another process has reported.
	highestReported int64

	now     clock.Now
	actions []Action
	homeOut home.Output
	execOut executor.Output
}

// New returns the core of an agent that knows no other process. It panics when
// the policy name is unknown; the caller validates settings before.
func New(cfg Config) *Core {
	cfg.setDefaults()
	picker, err := placement.New(cfg.Policy, cfg.Seed)
	if err != nil {
		panic(err)
	}
	c := &Core{
		cfg:        cfg,
		invariants: invariant.Recorder{Panic: cfg.PanicOnViolation},
		state:      control.NewState(),
		lease: freshness.NewLease(freshness.Config{
			Self: cfg.Self, Duration: cfg.Lease, DriftPerMille: freshness.DefaultDriftPerMille,
			OutageLimit: cfg.OutageLimit,
		}),
		tracker: ownership.NewTracker(ownership.Config{
			Self: cfg.Self, Lease: cfg.Lease, ClockBound: cfg.ClockBound, Window: cfg.Retention,
		}),
		peers: make(map[node.Ref]*peer),
	}
	c.tail.State = c.state
	c.faults = quarantine.New()
	c.exec = executor.New(executor.Config{
		QueueLimit: cfg.QueueLimit, ReservedSlots: cfg.ReservedSlots, ResultRetention: cfg.Retention,
		ClockBound: cfg.ClockBound, Self: cfg.Self.ID, Faults: c.faults, OtherExecutors: gate{c}, Gate: gate{c}, Invariants: &c.invariants,
	})
	c.home = home.New(home.Config{
		Self: cfg.Self, Seed: cfg.Seed, AdmissionWindow: cfg.Retention, ClockBound: cfg.ClockBound,
		MaxRecords: cfg.MaxRecords, MaxResultBytes: cfg.MaxRecordBytes, MaxOpenBytes: cfg.MaxOpenBytes,
		MaxWaiting: maxWaitingTasks, Faults: c.faults,
		Picker: picker, Ownership: gate{c}, Eligibility: gate{c}, Invariants: &c.invariants,
	})
	return c
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
		c.home.Resend(now, e.Ref, &c.homeOut)
	case PeerSuspect:
		c.peerSuspect(e.Ref)
	case PeerDead:
		c.peerDead(e.Ref)
	case UpstreamAnnounced:
		c.announceUpstream(e)
	case UpstreamWithdrawn:
		c.exec.Withdraw(now, e.Name, &c.execOut)
	case TaskEnded:
		c.exec.TaskCompleted(now, e.Handle, e.State, e.Body, e.Detail, &c.execOut)
	case LogRead:
		c.applyLogRead(e)
	case Drain:
		c.beginDrain()
	}
	c.recordDepartures()
	c.tick()
	c.deliverLocally()
	c.setTimer()
	return c.actions
}

// tick runs everything that is due at the time of the event.
func (c *Core) tick() {
	if orNever(c.home.NextTick()) <= c.now.Mono {
		c.home.Tick(c.now, &c.homeOut)
	}
	if min(orNever(c.exec.NextDeadline()), orNever(c.exec.NextExpiry())) <= c.now.Mono {
		c.exec.Tick(c.now, &c.execOut)
	}
	if c.gossip.nextRoundAt <= c.now.Mono {
		c.startRound()
	}
}

// never is the time of a timer that is not set.
const never = time.Duration(1<<63 - 1)

// orNever returns the time at, or never when ok is false.
func orNever(at time.Duration, ok bool) time.Duration {
	if !ok {
		return never
	}
	return at
}

// deliverLocally passes messages between the home and the executor of this
// process until none is left, and turns the rest of their output into actions.
func (c *Core) deliverLocally() {
	for len(c.homeOut.Replies) > 0 || len(c.execOut.Replies) > 0 {
		c.deliverHomeReplies()
		c.deliverExecutorReplies()
	}
	for _, x := range c.execOut.Commands {
		c.startTask(x)
	}
	c.execOut.Commands = c.execOut.Commands[:0]
	c.checkDrained()
}

func (c *Core) deliverHomeReplies() {
	replies := c.homeOut.Replies
	c.homeOut.Replies = nil
	for _, r := range replies {
		if r.To != c.cfg.Self {
			c.send(r.To, r.Message)
			continue
		}
		switch m := r.Message; {
		case m.Start != nil:
			c.exec.Start(c.now, c.cfg.Self, m.Start, &c.execOut)
		case m.Abort != nil:
			c.exec.Abort(c.now, c.cfg.Self, m.Abort, &c.execOut)
		}
	}
}

func (c *Core) deliverExecutorReplies() {
	replies := c.execOut.Replies
	c.execOut.Replies = nil
	local := false
	for _, r := range replies {
		if r.To != c.cfg.Self {
			c.send(r.To, r.Message)
			continue
		}
		if !local {
			local = true
			c.home.ObserveLoad(c.now, c.cfg.Self, c.exec.Load(c.now))
		}
		c.deliverToHome(c.cfg.Self, &r.Message)
	}
}

// deliverToHome delivers an executor's message to the home of this process.
func (c *Core) deliverToHome(from node.Ref, m *message.Message) {
	switch {
	case m.Result != nil:
		c.home.Result(c.now, from, m.Result, &c.homeOut)
	case m.Refused != nil:
		c.home.Refused(c.now, from, m.Refused, &c.homeOut)
	case m.Started != nil:
		c.home.Started(c.now, from, m.Started, &c.homeOut)
	}
}

func (c *Core) startTask(x executor.Command) {
	s := x.Start
	c.actions = append(c.actions, StartTask{
		Handle: x.Handle, Upstream: x.Upstream, ID: s.ID, Attempt: s.Attempt, Index: s.Index,
		Team: s.Team, Payload: s.Task.Payload, Labels: s.Task.Labels,
		Timeout: x.Timeout, NotAfter: x.NotAfter, Trace: s.Trace,
	})
}

func (c *Core) send(to node.Ref, m message.Message) {
	if p, ok := c.peers[to]; ok && m.Start != nil {
		p.silence.MessageSent(c.now.Mono)
	}
	c.actions = append(c.actions, Send{To: to, Message: m})
}

func (c *Core) setTimer() {
	at := min(orNever(c.home.NextTick()), orNever(c.exec.NextDeadline()), orNever(c.exec.NextExpiry()), c.gossip.nextRoundAt)
	c.actions = append(c.actions, SetTimer{At: at})
}

// announceUpstream passes the announcement of a local upstream to the executor.
func (c *Core) announceUpstream(e UpstreamAnnounced) {
	c.exec.Announce(c.now, executor.Announcement{
		Name: e.Name, Slots: e.Slots, Connections: e.Connections, Labels: e.Labels, TTL: e.TTL,
	}, &c.execOut)
	c.home.ObserveLoad(c.now, c.cfg.Self, c.exec.Load(c.now))
	c.home.PlaceWaiting(c.now, &c.homeOut)
}

// received processes the messages of an envelope. It drops an envelope that is
// addressed to another incarnation of this process.
func (c *Core) received(e *message.Envelope) {
	if e.To != c.cfg.Self {
		return
	}
	p := c.observeEnvelope(e)
	for i := range e.Messages {
		m := &e.Messages[i]
		if c.answerHandedOver(e.From, m) {
			continue
		}
		switch {
		case m.Submit != nil:
			c.home.Submit(c.now, e.From, m.Submit, &c.homeOut)
		case m.Fetch != nil:
			c.home.Fetch(c.now, e.From, m.Fetch, &c.homeOut)
		case m.Cancel != nil:
			c.home.Cancel(c.now, e.From, m.Cancel, &c.homeOut)
		case m.Start != nil:
			c.exec.Start(c.now, e.From, m.Start, &c.execOut)
		case m.Abort != nil:
			c.exec.Abort(c.now, e.From, m.Abort, &c.execOut)
		case m.Status != nil:
			c.handleStatus(e, p, m.Status)
		case m.Records != nil:
			c.applyCatchUp(m.Records)
		case m.Handoff != nil:
			c.acceptHandoff(e.From, m.Handoff)
		case m.HandoffAck != nil:
			c.handoffAcked(m.HandoffAck)
		default:
			c.deliverToHome(e.From, m)
		}
	}
}

// Offset returns the offset of the next record of the control stream to read.
func (c *Core) Offset() int64 { return c.state.Next() }

// Synced reports whether the core holds every record before Offset.
func (c *Core) Synced() bool { return c.state.Synced() }

// Load returns the agent's report of its load, which every envelope carries.
func (c *Core) Load() message.Load {
	l := c.exec.Load(c.now)
	l.Failing = c.exec.Quarantined(c.now)
	l.Draining = l.Draining || c.drain.started
	return l
}
