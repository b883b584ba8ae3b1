package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestStartExecutedByNewIncarnation guards against reporting a run as lost while it is
// alive. An upstream that crashes and restarts under the same name may execute a start
// call that was sent to its previous incarnation. The lessee must report no completion
// until it knows that the new incarnation no longer runs the task.
func TestStartExecutedByNewIncarnation(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.offer(d0, "j")
	s := b.starts[0]
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second, Running: []ActiveRun{{Name: s.Name, RunNumber: 1}}})
	b.step(StartCallCompleted{Handle: s.Handle, Result: CallOK})
	if len(b.completions) != 0 || b.core.Ready() {
		t.Fatalf("while the run is active there: ready %t, want false; completions %+v, want none", b.core.Ready(), b.completions)
	}
	if len(b.stops) == 0 {
		t.Fatal("got no stop call for the run of the new incarnation")
	}
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second})
	if e := b.lastCompletion(); e.Result != message.RunLost {
		t.Errorf("completion after a poll without the run: got %+v, want result lost", e)
	}
	if b.core.Ready() {
		t.Error("ready before the new incarnation has announced itself")
	}
	b.announce(2, 1, false)
	if !b.core.Ready() {
		t.Error("not ready after the announcement")
	}
}

// TestOrphanedRunExpires checks that an orphaned run is reported as lost although the new
// incarnation answers no poll, but only after the longest lease that it may have granted has
// lapsed.
func TestOrphanedRunExpires(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.offer(d0, "j")
	started := b.now
	b.announce(2, 1, false)
	for b.now < started+lease.MaxUpstreamExpiry {
		if len(b.completions) != 0 {
			t.Fatalf("got completions %+v after %v, want none before the longest lease has lapsed", b.completions, b.now-started)
		}
		b.now += 20 * time.Millisecond
		b.heartbeat(d0)
	}
	b.now += 20 * time.Millisecond
	b.heartbeat(d0)
	if e := b.lastCompletion(); e.Result != message.RunLost {
		t.Errorf("completion after the longest lease: got %+v, want result lost", e)
	}
}

// TestPollSentBeforeIncarnationChange guards against taking an early poll result as proof
// that nothing runs. A poll that was sent before the agent knew of the new incarnation may
// have been answered by it before it executed a start call that was still in transit.
func TestPollSentBeforeIncarnationChange(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.offer(d0, "j")
	oldToken := b.polls[len(b.polls)-1].Token
	b.announce(2, 1, false)
	b.step(PollCompleted{SentAt: b.now, Token: oldToken, Incarnation: 2, Clock: time.Second})
	if len(b.completions) != 0 || b.core.Ready() {
		t.Fatalf("after a poll with the old token: ready %t, want false; completions %+v, want none", b.core.Ready(), b.completions)
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second})
	if e := b.lastCompletion(); e.Result != message.RunLost {
		t.Errorf("completion after a poll with the new token: got %+v, want result lost", e)
	}
}
