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
// incarnation answers no poll, but only when no run can be alive: after the longest lease that the
// new incarnation may have granted, or, if a start call got no answer, that long after the latest
// time at which the call may be executed.
func TestOrphanedRunExpires(t *testing.T) {
	for name, tt := range map[string]struct {
		answered bool
		limit    time.Duration
	}{
		"answered":   {true, lease.MaxUpstreamExpiry},
		"unanswered": {false, lease.LateStartExpiry},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			b.open()
			b.offer(d0, "j")
			if tt.answered {
				b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallOK, Clock: b.now})
			}
			started := b.now
			b.announce(2, 1, false)
			for b.now < started+tt.limit {
				if len(b.completions) != 0 {
					t.Fatalf("got completions %+v after %v, want none within %v", b.completions, b.now-started, tt.limit)
				}
				b.now += 20 * time.Millisecond
				b.heartbeat(d0)
			}
			b.now += 20 * time.Millisecond
			b.heartbeat(d0)
			if e := b.lastCompletion(); e.Result != message.RunLost {
				t.Errorf("completion after %v: got %+v, want result lost", tt.limit, e)
			}
		})
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

// TestUnansweredStartOutlivesItsUpstream guards against a run that is reported as lost while its
// start call may still be executed: the upstream is silent, is withdrawn, or refuses connections
// while the run is stopped, and does not come back.
func TestUnansweredStartOutlivesItsUpstream(t *testing.T) {
	for name, tt := range map[string]struct {
		before func(b *testBed, o message.Offer)
		result CallResult
	}{
		"silent":    {func(*testBed, message.Offer) {}, CallUnknown},
		"withdrawn": {func(b *testBed, _ message.Offer) { b.step(Withdrawn{ID: "u"}) }, CallUnknown},
		"refuses while the run is stopped": {func(b *testBed, o message.Offer) {
			b.step(received(d0, message.Message{RevokeOffer: &message.RevokeOffer{Seq: o.Seq}}))
		}, CallNoListener},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			b.open()
			o := b.offer(d0, "j")
			tt.before(b, o)
			calledAt := b.now
			b.drive(lease.LateStartExpiry-100*time.Millisecond, func(Poll, time.Duration) (PollCompleted, time.Duration) {
				return PollCompleted{Result: tt.result}, time.Millisecond
			})
			if len(b.completions) != 0 {
				t.Fatalf("got completions %+v within %v, want none", b.completions, b.now-calledAt)
			}
			b.announce(2, 1, false)
			b.step(PollCompleted{Renewal: true, SentAt: b.now, Token: b.core.token, Incarnation: 2, Clock: time.Second})
			if e := b.lastCompletion(); e.Seq != o.Seq || e.Result != message.RunLost && e.Result != message.RunStopped {
				t.Errorf("got completion %+v once the next incarnation ran nothing, want the offer's", e)
			}
		})
	}
}

// TestLeaseOfACallOfBefore guards against a run that is reported as lost while it is alive: right
// after its start, the upstream has executed a call that was sent to its former incarnation, and
// has granted it the longest lease. The agent was paused after that, or the upstream is silent.
func TestLeaseOfACallOfBefore(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.announce(2, 1, false)
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Token: b.core.token, Incarnation: 2, Clock: time.Second})
	if !b.core.Ready() {
		t.Fatal("not ready after a poll of the new incarnation")
	}
	opened := b.now
	b.startRun(d0, "j")
	noAnswer := func(Poll, time.Duration) (PollCompleted, time.Duration) {
		return PollCompleted{Result: CallUnknown}, time.Millisecond
	}
	b.drive(lease.MaxUpstreamExpiry, noAnswer)
	if len(b.completions) != 0 {
		t.Fatalf("got completions %+v within %v after the first poll, want none", b.completions, b.now-opened)
	}
	b.drive(20*time.Millisecond, noAnswer)
	if e := b.lastCompletion(); e.Result != message.RunLost {
		t.Errorf("got %+v after the longest lease, want the run lost", e)
	}
}
