package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
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

// TestRefusedConnectionAwaitsTheLease guards against a run that is reported as lost while it
// goes on: a cut refuses connections too.
func TestRefusedConnectionAwaitsTheLease(t *testing.T) {
	await := func() *testBed {
		b := newTestBed(t)
		b.open()
		b.startRun(d0, "j")
		b.drive(10*time.Millisecond, refusePoll)
		return b
	}
	b := await()
	if b.offer(d1, "k"); b.lastCompletion().Reason != message.RefusedNotReady {
		t.Errorf("an offer after a refused connection: got %+v, want it refused", b.lastCompletion())
	}
	b.completions = nil
	b.drive(100*time.Millisecond, refusePoll)
	b.drive(maxPollPause+5*time.Millisecond, func(p Poll, at time.Duration) (PollCompleted, time.Duration) {
		return PollCompleted{Incarnation: 1, Clock: at, Running: []ActiveRun{{Name: message.TaskName{Job: "j"}, RunNumber: 1}}}, p.Wait
	})
	if !b.core.Ready() || len(b.completions) != 0 || len(b.crashedJobs(d0)) != 0 {
		t.Errorf("after an answered poll: ready %t, completions %+v, crash of %q, want ready and neither", b.core.Ready(), b.completions, b.crashedJobs(d0))
	}
	b = await()
	expiry := b.core.upstream.extensions.last() + lease.UpstreamExpiry
	b.drive(expiry-b.now, refusePoll)
	if len(b.completions) != 0 {
		t.Fatalf("before the lease has run out: got completions %+v, want none", b.completions)
	}
	b.drive(5*time.Millisecond, refusePoll)
	if e := b.lastCompletion(); e.Result != message.RunLost || e.Reason != message.LostUpstreamCrashed {
		t.Errorf("after the lease has run out: got %+v, want it lost to a crash", e)
	}
	if x := b.heartbeats[d0.ID].Crashes; len(x) != 1 || x[0].Sign != liveness.Refused || x[0].Runs[0].Age > 10*time.Millisecond {
		t.Errorf("got crashes %+v, want one of a refused connection with the age at that time", x)
	}
}

// TestUnansweredStartAwaitsTheNextIncarnation guards against a run that is reported as lost
// while the next incarnation of the upstream may still execute a start call of it.
func TestUnansweredStartAwaitsTheNextIncarnation(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.offer(d0, "late")
	handle := b.starts[0].Handle
	b.step(StartCallCompleted{Handle: handle, Result: CallUnknown})
	b.step(StartCallCompleted{Handle: handle, Result: CallOK, Clock: b.now})
	b.startRun(d0, "sure")
	b.drive(lease.MaxUpstreamExpiry+time.Second, func(Poll, time.Duration) (PollCompleted, time.Duration) {
		return PollCompleted{Result: CallNoListener}, 0
	})
	if len(b.completions) != 1 || b.lastCompletion().Seq != 2 {
		t.Fatalf("before the next incarnation: got completions %+v, want that of the run whose start was answered", b.completions)
	}
	b.now += 50 * time.Millisecond
	running := []ActiveRun{{Name: b.starts[0].Name, RunNumber: 1}}
	b.step(step.Tick{})
	for _, listed := range [][]ActiveRun{running, running, nil} {
		if len(b.completions) != 1 {
			t.Fatalf("while the next incarnation runs it: got completions %+v", b.completions)
		}
		b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second, Running: listed})
		b.now += 50 * time.Millisecond
		b.step(step.Tick{})
	}
	if len(b.stops) == 0 || b.lastCompletion().Seq != 1 || b.lastCompletion().Result != message.RunLost {
		t.Errorf("got stops %+v and completion %+v, want the late run stopped and then lost", b.stops, b.lastCompletion())
	}
}

// TestRefusedStartHasNotRun guards against a crash that is blamed on a run whose start call was
// never received, and against a wait before its task starts elsewhere.
func TestRefusedStartHasNotRun(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.offer(d0, "j")
	b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallNoListener})
	if e := b.lastCompletion(); e.Result != message.RunRefused || len(b.crashedJobs(d0)) != 0 || b.core.Ready() {
		t.Errorf("got %+v, crash of %q, ready %t, want a refusal, no crash, and not ready", e, b.crashedJobs(d0), b.core.Ready())
	}
}
