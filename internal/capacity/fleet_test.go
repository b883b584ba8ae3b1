package capacity

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/core/timerqueue"
)

const (
	// wallStart is the wall-clock time of the start in milliseconds.
	wallStart = int64(1_790_000_000_000)
	linkDelay = 1500 * time.Microsecond
	// logWait is how long a read waits at the end of the stream.
	logWait = time.Second
	// frameBytes is what a frame adds to the envelope: length, method, braces.
	frameBytes = 55
	slots      = 8
)

// member is one process of a fleet.
type member struct {
	ref   node.Ref
	core  step.Core
	agent *agent.Core // nil for an entry
	entry *entry.Core // nil for an agent
	timer int
	sent  traffic
	got   traffic
	reads int
}

// traffic counts frames and their bytes.
type traffic struct{ frames, bytes int }

func (t *traffic) add(bytes int) {
	t.frames++
	t.bytes += bytes
}

// fleet joins cores in virtual time over a network that loses nothing.
type fleet struct {
	now     time.Duration
	queue   timerqueue.Queue[func()]
	members []*member
	byRef   map[node.Ref]*member
	// log holds the records from offset oldest on.
	log     [][]byte
	oldest  int64
	replies map[uint64]func(entry.Reply)
	starts  int
	// sent, when set, sees every message.
	sent    func(from, to node.Ref)
	logDown bool
	// service is the time that a task takes.
	service time.Duration
}

// newFleet returns a fleet whose log holds a snapshot with every member.
func newFleet(agents, entries int) *fleet {
	f := &fleet{byRef: map[node.Ref]*member{}, replies: map[uint64]func(entry.Reply){}, service: 100 * time.Millisecond}
	for i := range agents {
		f.addAgent(i)
	}
	for i := range entries {
		f.addEntry(i)
	}
	f.compact()
	for i, m := range f.members {
		// Spreads the periodic work of the processes over a second.
		f.at(time.Duration(i)*time.Second/time.Duration(len(f.members)), func() { f.start(m) })
	}
	return f
}

// compact replaces the records of the log by a snapshot.
func (f *fleet) compact() {
	state := control.NewState()
	for i, record := range f.log {
		state.Apply(int64(i), record)
	}
	f.oldest = state.Next()
	f.log = [][]byte{state.SnapshotRecord()}
}

// end returns the offset past the last record.
func (f *fleet) end() int64 { return f.oldest + int64(len(f.log)) }

func (f *fleet) addAgent(i int) {
	ref := node.Ref{ID: node.ID(fmt.Sprintf("agent-%04d", i)), Incarnation: node.Incarnation(0x5a5a5a5a5a5a0000 + i)}
	domain, worker := fmt.Sprintf("domain-%d", i%4), fmt.Sprintf("worker-%04d", i)
	addr := fmt.Sprintf("10.0.%d.%d:7201", i/250, i%250+1)
	core := agent.New(agent.Config{
		Self: ref, Addr: addr, Domain: domain, Worker: worker, Seed: uint64(i), PanicOnViolation: true,
	})
	m := &member{ref: ref, core: core, agent: core}
	f.add(m, control.Member{Ref: ref, Addr: addr, Role: control.RoleAgent, Domain: domain, Worker: worker})
}

func (f *fleet) addEntry(i int) {
	ref := node.Ref{ID: node.ID(fmt.Sprintf("entry-%04d", i)), Incarnation: node.Incarnation(0x6b6b6b6b6b6b0000 + i)}
	addr := fmt.Sprintf("10.1.0.%d:7100", i+1)
	core := entry.New(entry.Config{Self: ref, Addr: addr, Seed: uint64(i), PanicOnViolation: true})
	m := &member{ref: ref, core: core, entry: core}
	f.add(m, control.Member{Ref: ref, Addr: addr, Role: control.RoleEntry, Domain: fmt.Sprintf("domain-%d", i%4)})
}

func (f *fleet) add(m *member, record control.Member) {
	f.members = append(f.members, m)
	f.byRef[m.ref] = m
	f.log = append(f.log, control.EncodeJoin(record))
}

// start begins the periodic work of a process.
func (f *fleet) start(m *member) {
	f.read(m)
	f.announce(m)
}

func (f *fleet) at(after time.Duration, do func()) { f.queue.Add(f.now+after, do) }

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for {
		at, ok := f.queue.Next()
		if !ok || at > end {
			break
		}
		f.now = at
		do, _ := f.queue.Pop(at)
		do()
	}
	f.now = end
}

func (f *fleet) clock() clock.Now {
	return clock.Now{Mono: f.now, Wall: wallStart + f.now.Milliseconds()}
}

func (f *fleet) step(m *member, e step.Event) {
	for _, x := range slices.Clone(m.core.Step(f.clock(), e)) {
		f.do(m, x)
	}
}

func (f *fleet) do(m *member, x step.Action) {
	switch x := x.(type) {
	case step.Send:
		f.send(m, x.To, x.Message)
	case step.SetTimer:
		f.setTimer(m, x.At)
	case step.AppendControl:
		f.appendLog(x.Record)
	case agent.StartTask:
		f.starts++
		f.at(f.service, func() {
			f.step(m, agent.TaskEnded{Handle: x.Handle, State: "done", Body: x.Payload})
		})
	case entry.Reply:
		f.replies[x.Call](x)
		delete(f.replies, x.Call)
	}
}

// appendLog appends a record, which is lost while the log service is down.
func (f *fleet) appendLog(record []byte) {
	if !f.logDown {
		f.log = append(f.log, record)
	}
}

func (f *fleet) setTimer(m *member, at time.Duration) {
	m.timer++
	n := m.timer
	f.at(max(at-f.now, 0), func() {
		if m.timer == n {
			f.step(m, step.Tick{})
		}
	})
}

// send encodes a message as the transport does and delivers it decoded.
func (f *fleet) send(m *member, to node.Ref, msg message.Message) {
	env := message.Envelope{From: m.ref, To: to, Offset: m.core.Offset(), Messages: []message.Message{msg}}
	if m.agent != nil {
		load := m.agent.Load()
		env.Load = &load
	}
	data, err := json.Marshal(&env)
	if err != nil {
		panic(err)
	}
	m.sent.add(len(data) + frameBytes)
	if f.sent != nil {
		f.sent(m.ref, to)
	}
	receiver := f.byRef[to]
	f.at(linkDelay, func() {
		receiver.got.add(len(data) + frameBytes)
		var got message.Envelope
		if err := json.Unmarshal(data, &got); err != nil {
			panic(err)
		}
		f.step(receiver, step.Received{Envelope: got})
	})
}

// read keeps one read of the log waiting, as the shells do.
func (f *fleet) read(m *member) {
	m.reads++
	asked, from := f.now, max(m.core.Offset(), f.oldest)
	wait := logWait
	if from < f.end() {
		wait = linkDelay
	}
	f.at(wait, func() {
		if f.logDown {
			f.read(m)
			return
		}
		f.deliver(m, from, f.log[from-f.oldest:], asked)
		f.read(m)
	})
}

// announce renews the upstream beside an agent.
func (f *fleet) announce(m *member) {
	if m.agent == nil {
		return
	}
	f.step(m, agent.UpstreamAnnounced{
		Name: "upstream-" + string(m.ref.ID), Slots: slots, Connections: 64,
		Labels: map[string]string{"service": "orders", "version": "7"}, TTL: 3 * time.Second,
	})
	f.at(time.Second, func() { f.announce(m) })
}

// deliver hands records of the log to a process.
func (f *fleet) deliver(m *member, from int64, records [][]byte, asked time.Duration) {
	end := from + int64(len(records))
	f.step(m, step.LogRead{From: from, Records: records, End: end, Oldest: f.oldest, AskedAt: asked})
}
