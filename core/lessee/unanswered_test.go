package lessee

import (
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestUnansweredStartIsReportedAtOnce guards against a dispatcher that does not learn in time that
// a start call may still be executed: that of the run, or one that has taken the run over.
func TestUnansweredStartIsReportedAtOnce(t *testing.T) {
	b := newTestBed(t)
	b.open()
	first := b.offer(d0, "j")
	b.now += 30 * time.Millisecond
	b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallUnknown})
	if got := b.heartbeats[d0.ID].Unanswered; !slices.Equal(got, []uint64{first.Seq}) {
		t.Errorf("got %v reported to the dispatcher of the run, want its offer %d", got, first.Seq)
	}
	again := b.offer(d1, "j")
	if got := b.heartbeats[d1.ID].Unanswered; !slices.Equal(got, []uint64{again.Seq}) {
		t.Errorf("got %v reported to the dispatcher that took the run over, want its offer %d", got, again.Seq)
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{
		{Number: 1, Name: message.TaskName{Job: "j"}, RunNumber: 1, Completion: CompletionDone},
	}})
	b.now += time.Second
	b.heartbeat(d1)
	if got := b.heartbeats[d1.ID].Unanswered; len(got) != 0 {
		t.Errorf("got %v reported after the run has ended, want none", got)
	}
}

// TestAnsweredStartIsReported guards against a task that is held although its start call was
// answered, and against one that is not held since its calls are said to be answered too soon.
func TestAnsweredStartIsReported(t *testing.T) {
	b := newTestBed(t)
	b.open()
	first, second := b.offer(d0, "answered").Seq, b.offer(d0, "repeated").Seq
	complete := func(i int, result CallResult) {
		b.step(StartCallCompleted{Handle: b.starts[i].Handle, Result: result, Clock: b.now})
	}
	expect := func(when string, unanswered ...uint64) {
		t.Helper()
		b.now += lease.HeartbeatInterval
		b.heartbeat(d0)
		hb := b.heartbeats[d0.ID]
		if !slices.Equal(hb.Started, []uint64{first}) || !slices.Equal(hb.Unanswered, unanswered) {
			t.Errorf("%s: got started %v and unanswered %v, want %d and %v", when, hb.Started, hb.Unanswered, first, unanswered)
		}
	}
	complete(0, CallOK)
	expect("while the second call is in flight")
	complete(1, CallUnknown)
	expect("while it is repeated", second)
	complete(1, CallOK)
	expect("when the repeated call was answered", second)
}
