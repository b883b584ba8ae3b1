package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestLateWithdrawalEndsNoRun guards against a withdrawal of a former incarnation that arrives
// late: the runs of the present one were reported as lost while they went on.
func TestLateWithdrawalEndsNoRun(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "j")
	b.now += 10 * time.Millisecond
	b.polls = nil
	b.step(Withdrawn{ID: "u"})
	if len(b.completions) != 0 || len(b.polls) != 1 || b.polls[0].LeaseUntil == 0 {
		t.Fatalf("right after the withdrawal: got completions %+v, want none; polls %+v, want one that extends the lease", b.completions, b.polls)
	}
	if b.offer(d1, "k"); b.lastCompletion().Reason != message.RefusedNotReady {
		t.Errorf("an offer before a poll has refuted the withdrawal: got %+v, want it refused", b.lastCompletion())
	}
	completions := len(b.completions)
	n := b.drive(withdrawalSettle+2*maxPollPause, func(_ Poll, at time.Duration) (PollCompleted, time.Duration) {
		return PollCompleted{Incarnation: 1, Clock: at, Running: []ActiveRun{{Name: message.TaskName{Job: "j"}, RunNumber: 1}}}, time.Millisecond
	})
	if len(b.completions) != completions || n > 200 {
		t.Errorf("got completions %+v and %d polls, want no completion of the run", b.completions, n)
	}
	if !b.core.Ready() {
		t.Error("not ready after the polls of the same incarnation were answered")
	}
}

// TestWithdrawalIsDecidedByPolls guards against an upstream that gets runs after it has left,
// and against runs that are reported as lost before the next incarnation is known to run none.
func TestWithdrawalIsDecidedByPolls(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "j")
	b.announce(1, 2, true)
	b.step(Withdrawn{ID: "u"})
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: message.TaskName{Job: "j"}, RunNumber: 1}}})
	b.announce(1, 1, false) // A late announcement refutes nothing.
	if b.core.Ready() || len(b.completions) != 0 {
		t.Fatalf("right after the withdrawal: ready %t, want false; completions %+v, want none", b.core.Ready(), b.completions)
	}
	b.now += 20 * time.Millisecond
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second, Running: []ActiveRun{{Name: message.TaskName{Job: "j"}, RunNumber: 1}}})
	if len(b.completions) != 0 {
		t.Fatalf("while the next incarnation runs it: got completions %+v, want none", b.completions)
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second})
	if e := b.lastCompletion(); e.Result != message.RunLost {
		t.Errorf("after a poll of the next incarnation: got %+v, want result lost", e)
	}
}

// TestIdleUpstreamThatWithdrawsIsPolled guards against work for an idle upstream that has left:
// without runs it gets no other polls.
func TestIdleUpstreamThatWithdrawsIsPolled(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.announce(1, 2, true)
	b.polls = nil
	b.now += time.Millisecond
	b.step(Withdrawn{ID: "u"})
	if len(b.polls) != 1 {
		t.Fatalf("got polls %+v, want one", b.polls)
	}
	left := b.now + 5*time.Millisecond
	b.drive(200*time.Millisecond, func(_ Poll, at time.Duration) (PollCompleted, time.Duration) {
		if at > left {
			return PollCompleted{Result: CallNoListener}, 0
		}
		return PollCompleted{Incarnation: 1, Clock: at}, 0
	})
	b.announce(1, 3, false)
	if b.core.Ready() {
		t.Error("ready after the withdrawal and a refused connection")
	}
}
