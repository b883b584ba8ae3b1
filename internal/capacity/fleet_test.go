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
	// wallStart is the wall-clock time at the start of virtual time, in Unix
	// milliseconds.
	wallStart = int64(1_790_000_000_000)
	linkDelay = 1500 * time.Microsecond
	// logWait is how long a read waits if the stream has no new record.
	logWait = time.Second
	// frameBytes is the number of bytes that a frame adds to the encoded envelope:
	// length, method, braces.
	frameBytes = 55
	slots      = 8
)

// member is one process of a fleet.
type member struct {
	ref   node.Ref
	core  step.Core
	agent *agent.Core // nil for an entry
	entry *entry.Core // nil for an agent
	// timersSet counts the timers set. Only the newest one fires.
	timersSet int
	sent      traffic
	received  traffic
	logReads  int
}

// traffic counts frames and the bytes in them.
type traffic struct{ frames, bytes int }

func (t *traffic) add(bytes int) {
	t.frames++
	t.bytes += bytes
}

// fleet connects the cores of agents and entries in virtual time over a simulated
// network that loses no message.
type fleet struct {
	now     time.Duration
	queue   timerqueue.Queue[func()]
	members []*member
	byRef   map[node.Ref]*member
	// log holds the records of the control stream from offset oldest on.
	log     [][]byte
	oldest  int64
	replies map[uint64]func(entry.Reply)
	starts  int
	// onSend, if set, is called for every message.
	onSend  func(from, to node.Ref)
	logDown bool
	// taskTime is the time that a task takes.
	taskTime time.Duration
}

// newFleet returns a fleet whose log holds one snapshot record with every member.
func newFleet(agents, entries int) *fleet {
	f := &fleet{byRef: map[node.Ref]*member{}, replies: map[uint64]func(entry.Reply){}, taskTime: 100 * time.Millisecond}
	for i := range agents {
		f.addAgent(i)
	}
	for i := range entries {
		f.addEntry(i)
	}
	f.compactLog()
	for i, m := range f.members {
		// The starts are spread over a second, and with them the periodic work of
		// the processes.
		f.schedule(time.Duration(i)*time.Second/time.Duration(len(f.members)), func() { f.start(m) })
	}
	return f
}

// compactLog replaces the records of the log by one snapshot record.
func (f *fleet) compactLog() {
	state := control.NewState()
	for i, record := range f.log {
		state.Apply(int64(i), record)
	}
	f.oldest = state.Next()
	f.log = [][]byte{state.SnapshotRecord()}
}

// endOffset returns the offset after the last record of the log.
func (f *fleet) endOffset() int64 { return f.oldest + int64(len(f.log)) }

func (f *fleet) addAgent(i int) {
	ref := node.Ref{ID: node.ID(fmt.Sprintf("agent-%04d", i)), Incarnation: node.Incarnation(0x5a5a5a5a5a5a0000 + i)}
	domain, worker := fmt.Sprintf("domain-%d", i%4), fmt.Sprintf("worker-%04d", i)
	addr := fmt.Sprintf("10.0.%d.%d:7201", i/250, i%250+1)
	core := agent.New(agent.Config{
		Self: ref, Addr: addr, Domain: domain, Worker: worker, Seed: uint64(i), PanicOnViolation: true,
	})
	m := &member{ref: ref, core: core, agent: core}
	f.addMember(m, control.Member{Ref: ref, Addr: addr, Role: control.RoleAgent, Domain: domain, Worker: worker})
}

func (f *fleet) addEntry(i int) {
	ref := node.Ref{ID: node.ID(fmt.Sprintf("entry-%04d", i)), Incarnation: node.Incarnation(0x6b6b6b6b6b6b0000 + i)}
	addr := fmt.Sprintf("10.1.0.%d:7100", i+1)
	core := entry.New(entry.Config{Self: ref, Addr: addr, Seed: uint64(i), PanicOnViolation: true})
	m := &member{ref: ref, core: core, entry: core}
	f.addMember(m, control.Member{Ref: ref, Addr: addr, Role: control.RoleEntry, Domain: fmt.Sprintf("domain-%d", i%4)})
}

func (f *fleet) addMember(m *member, record control.Member) {
	f.members = append(f.members, m)
	f.byRef[m.ref] = m
	f.log = append(f.log, control.EncodeJoin(record))
}

// start starts the log reads of a process and the announcements of its local
// upstream.
func (f *fleet) start(m *member) {
	f.readLog(m)
	f.announceUpstream(m)
}

// schedule calls action after a virtual time.
func (f *fleet) schedule(after time.Duration, action func()) { f.queue.Add(f.now+after, action) }

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for {
		at, ok := f.queue.Next()
		if !ok || at > end {
			break
		}
		f.now = at
		action, _ := f.queue.Pop(at)
		action()
	}
	f.now = end
}

func (f *fleet) clockNow() clock.Now {
	return clock.Now{Mono: f.now, Wall: wallStart + f.now.Milliseconds()}
}

// step passes an event to the core of a process and performs the resulting actions.
func (f *fleet) step(m *member, e step.Event) {
	for _, x := range slices.Clone(m.core.Step(f.clockNow(), e)) {
		f.perform(m, x)
	}
}

// perform performs an action of a core.
func (f *fleet) perform(m *member, x step.Action) {
	switch x := x.(type) {
	case step.Send:
		f.send(m, x.To, x.Message)
	case step.SetTimer:
		f.setTimer(m, x.At)
	case step.AppendControl:
		f.appendLog(x.Record)
	case agent.StartTask:
		f.starts++
		f.schedule(f.taskTime, func() {
			f.step(m, agent.TaskEnded{Handle: x.Handle, State: "done", Body: x.Payload})
		})
	case entry.Reply:
		f.replies[x.Call](x)
		delete(f.replies, x.Call)
	}
}

// appendLog appends a record to the log, or loses it while the log service is down.
func (f *fleet) appendLog(record []byte) {
	if !f.logDown {
		f.log = append(f.log, record)
	}
}

// setTimer replaces the timer of a process. A replaced timer stays in the queue, but
// does nothing.
func (f *fleet) setTimer(m *member, at time.Duration) {
	m.timersSet++
	n := m.timersSet
	f.schedule(max(at-f.now, 0), func() {
		if m.timersSet == n {
			f.step(m, step.Tick{})
		}
	})
}

// send encodes a message as the transport does, counts its bytes, and delivers the
// decoded message after linkDelay.
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
	if f.onSend != nil {
		f.onSend(m.ref, to)
	}
	receiver := f.byRef[to]
	f.schedule(linkDelay, func() {
		receiver.received.add(len(data) + frameBytes)
		var got message.Envelope
		if err := json.Unmarshal(data, &got); err != nil {
			panic(err)
		}
		f.step(receiver, step.Received{Envelope: got})
	})
}

// readLog keeps one read of the log in progress, as a real process does.
func (f *fleet) readLog(m *member) {
	m.logReads++
	readSentAt, from := f.now, max(m.core.Offset(), f.oldest)
	wait := logWait
	if from < f.endOffset() {
		wait = linkDelay
	}
	f.schedule(wait, func() {
		if f.logDown {
			f.readLog(m)
			return
		}
		f.deliverRecords(m, from, f.log[from-f.oldest:], readSentAt)
		f.readLog(m)
	})
}

// announceUpstream repeats the announcement of an agent's local upstream every
// second.
func (f *fleet) announceUpstream(m *member) {
	if m.agent == nil {
		return
	}
	f.step(m, agent.UpstreamAnnounced{
		Name: "upstream-" + string(m.ref.ID), Slots: slots, Connections: 64,
		Labels: map[string]string{"service": "orders", "version": "7"}, TTL: 3 * time.Second,
	})
	f.schedule(time.Second, func() { f.announceUpstream(m) })
}

// deliverRecords passes the result of a log read to the core of a process. The process
// sent the read at readSentAt.
func (f *fleet) deliverRecords(m *member, from int64, records [][]byte, readSentAt time.Duration) {
	end := from + int64(len(records))
	f.step(m, step.LogRead{From: from, Records: records, End: end, Oldest: f.oldest, SentAt: readSentAt})
}
