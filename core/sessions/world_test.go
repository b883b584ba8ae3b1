package sessions

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/core/timerqueue"
)

const (
	wallStart   = int64(1_790_000_000_000)
	pollEvery   = 200 * time.Millisecond
	announceTTL = 3 * time.Second
)

// conditions describe the network, the log and the upstreams, with their faults.
// The fields of type float64 are probabilities.
type conditions struct {
	delay, jitter time.Duration
	drop, dup     float64
	lostAnswer    float64
	taskFails     float64
	service       time.Duration
	serviceJitter time.Duration
	logDown       bool
	outageLimit   time.Duration // setting of the agents that addAgent starts
}

// process is one incarnation of an agent or an entry.
type process struct {
	ref     node.Ref
	domain  string
	core    step.Core
	agent   *agent.Core // nil for an entry
	entry   *entry.Core // nil for an agent
	alive   bool
	paused  bool
	held    []func() // events that wait for resume
	group   int      // processes of different groups cannot reach each other
	noLog   bool
	skew    time.Duration // offset of the wall clock
	drift   float64       // relative error of the rate of the monotonic clock
	timer   uint64
	drained bool
	// withdrawn is true while the agent's local upstream does not announce itself.
	withdrawn bool
	slots     int
}

// world runs processes in virtual time, connected by a simulated network and a
// simulated log.
type world struct {
	cond    conditions
	rng     *rand.Rand
	now     time.Duration
	queue   timerqueue.Queue[func()]
	byRef   map[node.Ref]*process
	current map[node.ID]*process // the latest incarnation of each
	log     [][]byte
	logAt   []time.Duration
	ledger  *ledger
	trace   func(format string, args ...any)
	// onSend is called with every message that a process sends.
	onSend          func(m message.Message)
	steps           int
	calls           uint64
	waiting         map[uint64]func(step.Action) // handlers of the answers, by call
	lastIncarnation node.Incarnation
	// evictions counts the evict records that processes tried to append, including
	// those that the log did not receive.
	evictions int
}

func newWorld(seed uint64, cond conditions) *world {
	return &world{
		cond:    cond,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		byRef:   make(map[node.Ref]*process),
		current: make(map[node.ID]*process),
		ledger:  newLedger(),
		waiting: make(map[uint64]func(step.Action)),
		trace:   func(string, ...any) {},
		onSend:  func(message.Message) {},
	}
}

// after schedules f to run when the virtual time d has passed.
func (w *world) after(d time.Duration, f func()) { w.queue.Add(w.now+d, f) }

// run advances virtual time by d and runs everything scheduled for that time.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for {
		at, ok := w.queue.Next()
		if !ok || at > end {
			break
		}
		w.now = max(w.now, at)
		f, _ := w.queue.Pop(at)
		f()
	}
	w.now = end
}

// clock returns what the process p reads from its clocks.
func (w *world) clock(p *process) clock.Now {
	mono := time.Duration(float64(w.now) * (1 + p.drift))
	return clock.Now{Mono: mono, Wall: wallStart + (w.now + p.skew).Milliseconds()}
}

// addAgent starts an agent with a local upstream of the given number of slots.
func (w *world) addAgent(id node.ID, domain string, slots int) *process {
	w.lastIncarnation++
	p := &process{ref: node.Ref{ID: id, Incarnation: w.lastIncarnation}, domain: domain, alive: true, slots: slots}
	p.agent = agent.New(agent.Config{
		Self: p.ref, Addr: string(id) + ":1", Domain: domain, Worker: "w-" + string(id),
		Seed: uint64(w.lastIncarnation), PanicOnViolation: true, Retention: 30 * time.Second,
		OutageLimit: w.cond.outageLimit,
	})
	p.core = p.agent
	w.add(p)
	w.announce(p)
	return p
}

func (w *world) addEntry(id node.ID) *process {
	w.lastIncarnation++
	p := &process{ref: node.Ref{ID: id, Incarnation: w.lastIncarnation}, alive: true}
	p.entry = entry.New(entry.Config{Self: p.ref, Seed: uint64(w.lastIncarnation), PanicOnViolation: true})
	p.core = p.entry
	w.add(p)
	return p
}

func (w *world) add(p *process) {
	w.byRef[p.ref] = p
	w.current[p.ref.ID] = p
	w.poll(p)
	w.deliver(p, func() { w.step(p, step.Tick{}) })
}

// announce announces the local upstream of p now and then periodically, except
// while it is withdrawn.
func (w *world) announce(p *process) {
	if !p.alive || p.drained {
		return
	}
	w.after(announceTTL/3, func() { w.announce(p) })
	if p.withdrawn {
		return
	}
	w.deliver(p, func() { w.announceOnce(p) })
}

func (w *world) announceOnce(p *process) {
	w.step(p, agent.UpstreamAnnounced{
		Name: "up-" + string(p.ref.ID), Slots: p.slots, Connections: 64,
		Labels: map[string]string{"kind": "records"}, TTL: announceTTL,
	})
}

// withdraw withdraws the local upstream of p. To announce it again, set withdrawn
// to false.
func (w *world) withdraw(p *process) {
	p.withdrawn = true
	w.step(p, agent.UpstreamWithdrawn{Name: "up-" + string(p.ref.ID)})
	w.trace("the upstream of %s leaves", p.ref.ID)
}

// setSlots changes the number of slots of the local upstream of p.
func (w *world) setSlots(p *process, slots int) {
	w.trace("%s has an upstream with %d slots", p.ref.ID, slots)
	p.slots = slots
	w.announceOnce(p)
}

// deliver runs f, which passes an event to p. While p is paused, f waits; if p has
// ended, f is dropped.
func (w *world) deliver(p *process, f func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.held = append(p.held, f)
	default:
		f()
	}
}

// step passes an event to the core of p and carries out the resulting actions.
func (w *world) step(p *process, e step.Event) {
	w.steps++
	for _, x := range slices.Clone(p.core.Step(w.clock(p), e)) {
		w.perform(p, x)
	}
}

// perform carries out one action of p.
func (w *world) perform(p *process, x step.Action) {
	switch x := x.(type) {
	case step.Send:
		w.send(p, x.To, x.Message)
	case step.SetTimer:
		w.setTimer(p, x.At)
	case step.AppendControl:
		w.appendLog(p, x.Record)
	case step.Drained:
		p.drained = true
		p.alive = false
		w.trace("%s drained", p.ref.ID)
	case agent.StartTask:
		w.startTask(p, x)
	case entry.Reply:
		w.handleAnswer(x.Call, x)
	case entry.MintReply:
		w.handleAnswer(x.Call, x)
	case entry.Inspected:
		w.handleAnswer(x.Call, x)
	}
}

// handleAnswer passes the answer of a call to the handler that waits for it.
func (w *world) handleAnswer(call uint64, x step.Action) {
	f, ok := w.waiting[call]
	if !ok {
		panic(fmt.Sprintf("call %d was answered twice or never made", call))
	}
	delete(w.waiting, call)
	f(x)
}

// setTimer replaces the timer of p. The time at is on p's monotonic clock.
func (w *world) setTimer(p *process, at time.Duration) {
	p.timer++
	n := p.timer
	virtual := time.Duration(float64(at) / (1 + p.drift))
	w.after(max(virtual-w.now, 0)+time.Microsecond, func() {
		if p.timer == n {
			w.deliver(p, func() { w.step(p, step.Tick{}) })
		}
	})
}

func (w *world) latency() time.Duration {
	d := w.cond.delay
	if w.cond.jitter > 0 {
		d += time.Duration(w.rng.Int64N(int64(w.cond.jitter)))
	}
	return d
}

// chance returns true with the probability p.
func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// send sends a message over the network, which may drop or duplicate it.
func (w *world) send(p *process, to node.Ref, m message.Message) {
	env := message.Envelope{From: p.ref, To: to, Offset: p.core.Offset(), Messages: []message.Message{m}}
	if p.agent != nil {
		load := p.agent.Load()
		env.Load = &load
	}
	copies := 1
	if w.chance(w.cond.drop) {
		copies = 0
	}
	if w.chance(w.cond.dup) {
		copies++
	}
	w.traceMessage(p, to, m)
	w.onSend(m)
	for range copies {
		w.after(w.latency(), func() { w.deliverEnvelope(p, env) })
	}
}

// deliverEnvelope delivers an envelope to the process that it is addressed to. If
// that incarnation has ended, it notifies the sender. It drops the envelope when a
// network partition separates the two processes.
func (w *world) deliverEnvelope(from *process, env message.Envelope) {
	to := w.current[env.To.ID]
	if to == nil || to.group != from.group {
		return
	}
	if !to.alive || to.ref != env.To {
		dead := env.To
		w.after(w.latency(), func() {
			w.deliver(from, func() { w.step(from, step.PeerDead{Ref: dead}) })
		})
		return
	}
	w.deliver(to, func() {
		w.step(to, step.Received{Envelope: env})
	})
}

// appendLog appends a record to the log, unless the log is down or p cannot reach
// it.
func (w *world) appendLog(p *process, record []byte) {
	if r, err := control.DecodeRecord(record); err == nil && r.Evict != nil {
		w.evictions++
	}
	if w.cond.logDown || p.noLog {
		return
	}
	w.after(w.latency(), func() {
		if !w.cond.logDown {
			w.publish(record)
		}
	})
}

// publish appends a record to the log and returns its offset.
func (w *world) publish(record []byte) int64 {
	w.log = append(w.log, record)
	w.logAt = append(w.logAt, w.now)
	return int64(len(w.log) - 1)
}

// poll makes p read the log every pollEvery.
func (w *world) poll(p *process) {
	if !p.alive {
		return
	}
	w.after(pollEvery, func() { w.poll(p) })
	if w.cond.logDown || p.noLog || p.paused {
		return
	}
	askedAt := w.clock(p).Mono
	from := p.core.Offset()
	w.after(w.latency(), func() {
		if w.cond.logDown {
			return
		}
		end := int64(len(w.log))
		records := slices.Clone(w.log[min(from, end):])
		w.after(w.latency(), func() {
			w.deliver(p, func() {
				w.step(p, step.LogRead{From: from, Records: records, End: end, SentAt: askedAt})
			})
		})
	})
}

// startTask runs a task on the local upstream of p.
func (w *world) startTask(p *process, x agent.StartTask) {
	if w.clock(p).Mono > x.NotAfter {
		panic("a task was passed to the upstream after its NotAfter time")
	}
	w.ledger.start(w, p, x)
	w.trace("%s starts %s/%d", p.ref.ID, x.ID, x.Index)
	d := w.cond.service
	if w.cond.serviceJitter > 0 {
		d += time.Duration(w.rng.Int64N(int64(w.cond.serviceJitter)))
	}
	state := job.Done
	if w.chance(w.cond.taskFails) {
		state = job.Failed
	}
	if w.chance(w.cond.lostAnswer) {
		state = job.Unknown
	}
	body := resultBody(x.ID, x.Index, x.Payload)
	w.after(d, func() {
		w.deliver(p, func() {
			w.step(p, agent.TaskEnded{Handle: x.Handle, State: state, Body: body})
		})
	})
}

// resultBody returns the result of a task, which is different for every task.
func resultBody(id job.ID, index int, payload []byte) []byte {
	return fmt.Appendf(nil, "%s/%d/%s", id, index, payload)
}
