package lessee

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// runFor offers a task that is expected to take expected and completes it after took.
func (b *testBed) runFor(job string, took, expected time.Duration, completion Completion, change func(*message.Offer)) {
	b.seq++
	o := message.Offer{
		Seq: b.seq, Task: message.TaskName{Job: job}, RunNumber: 1, Service: "s", ExpectedDuration: expected,
		Demand: message.Resources{MilliCPU: 1000}, EchoedTimestamp: b.now,
	}
	if change != nil {
		change(&o)
	}
	b.step(received(d0, message.Message{Offer: &o}))
	s := b.starts[len(b.starts)-1]
	b.step(StartCallCompleted{Handle: s.Handle, Result: CallOK, Clock: b.now})
	b.now += took
	b.step(PollCompleted{SentAt: b.now - took/2, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{
		{Number: int64(b.seq), Name: s.Name, RunNumber: s.RunNumber, Completion: completion},
	}})
	b.heartbeat(d0)
}

// TestSlowdownIsReported checks that the slowdown comes from the runs that succeeded and had
// an expected duration, that the next report carries it, and that it causes no message.
func TestSlowdownIsReported(t *testing.T) {
	b := newTestBed(t)
	b.open()
	for i := range 20 {
		b.runFor(fmt.Sprintf("failed%d", i), 10*time.Millisecond, 100*time.Millisecond, CompletionFailed, nil)
		b.runFor(fmt.Sprintf("unexpected%d", i), 10*time.Millisecond, 0, CompletionDone, nil)
	}
	if got := b.lastCompletion().Capacity.Slowdown; got != 0 {
		t.Errorf("got slowdown %d from runs that failed or have no expectation, want none", got)
	}
	for i := range 40 {
		b.runFor(fmt.Sprintf("done%d", i), 120*time.Millisecond, 100*time.Millisecond, CompletionDone, nil)
	}
	if got := b.lastCompletion().Capacity.Slowdown; got != 120 {
		t.Errorf("got slowdown %d, want 120", got)
	}
	heartbeat := func() {
		b.step(received(d0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, KnownInfoVersion: b.core.infoVersion, WantReply: true}}))
	}
	heartbeat()
	for range 60 {
		b.core.speed.Record(b.now, time.Second, 100*time.Millisecond)
	}
	b.now += 300 * time.Millisecond
	heartbeat()
	if hb := b.heartbeats[d0.ID]; hb.Timestamp != b.now || hb.Capacity != nil || b.core.Stats().Slowdown < 200 {
		t.Errorf("got %+v after a change of the slowdown alone, want no capacity report", hb)
	}
}

// TestProgressOnASlowUpstream guards against runs that are stopped because their upstream is
// known to be slow: the offer's Slowdown extends the limit.
func TestProgressOnASlowUpstream(t *testing.T) {
	for slowdown, want := range map[int]int{0: 1, 200: 0} {
		b := newTestBed(t)
		b.open()
		o := message.Offer{
			Seq: 1, Task: message.TaskName{Job: "j"}, RunNumber: 1, Service: "s", ExpectedDuration: 200 * time.Millisecond, Slowdown: slowdown,
			Demand: message.Resources{MilliCPU: 1000}, EchoedTimestamp: b.now,
		}
		b.step(received(d0, message.Message{Offer: &o}))
		b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallOK, Clock: b.now})
		b.now += 200 * time.Millisecond
		b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{
			{Name: o.Task, RunNumber: 1, Percent: 20}, // 800 ms are left.
		}})
		if got := len(b.stops); got != want {
			t.Errorf("slowdown %d: got %d stopped runs, want %d", slowdown, got, want)
		}
	}
}
