package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestLeaseOnSlowClock guards against a lease that outlasts UpstreamExpiry, since the agent has
// not read the upstream's clock, which is 2% slow, for a long time; and against a run that
// lapses because its lease is too short instead.
func TestLeaseOnSlowClock(t *testing.T) {
	const announcements = 1500 * time.Millisecond
	for _, count := range []int{0, 1, 4, 10, 16, 400} {
		idle := time.Duration(count) * announcements
		b := newTestBed(t)
		b.open()
		opened := b.now
		clock := func() time.Duration { return opened + (b.now-opened)*49/50 }
		for i := range count {
			b.now += announcements
			b.announce(1, int64(2+i), false)
		}
		b.heartbeat(d0)
		b.offer(d0, "j")
		var until time.Duration
		for calls := 0; until == 0; calls++ {
			s := b.starts[len(b.starts)-1]
			b.now += time.Millisecond
			result := CallLeaseExpired
			if s.LeaseUntil > clock() {
				result, until = CallOK, s.LeaseUntil
			}
			b.step(StartCallCompleted{Handle: s.Handle, Result: result, Clock: clock()})
			if calls > 1 {
				t.Fatalf("idle for %v: no start call has got a lease", idle)
			}
		}
		b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: clock(), Running: []ActiveRun{{Name: b.starts[0].Name, RunNumber: 1}}})
		b.now += time.Millisecond
		for _, p := range b.polls {
			until = max(until, p.LeaseUntil)
		}
		if left := (until - clock()) * 50 / 49; left > lease.UpstreamExpiry || left < lease.UpstreamLease*8/10 {
			t.Errorf("idle for %v: the lease lasts for %v after the start, want between %v and %v", idle, left, lease.UpstreamLease*8/10, lease.UpstreamExpiry)
		}
	}
}

// TestLeaseIsNotExtendedForUnconfirmedStops guards against a run that goes on after its
// dispatcher has started the task elsewhere, since the upstream has not executed the stop and
// the lease is that of all runs.
func TestLeaseIsNotExtendedForUnconfirmedStops(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d1, "lost")
	b.startRun(d0, "kept")
	lapsesAt := b.now + lease.RunLease
	running := []ActiveRun{{Name: b.starts[0].Name, RunNumber: 1}, {Name: b.starts[1].Name, RunNumber: 1}}
	var until time.Duration
	b.drive(2*time.Second, func(p Poll, at time.Duration) (PollCompleted, time.Duration) {
		until = max(until, p.LeaseUntil)
		return PollCompleted{Incarnation: 1, Clock: at, Running: running}, min(p.Wait, 50*time.Millisecond)
	})
	if limit := lapsesAt + lease.StopTime; len(b.stops) < 3 || until > limit || until < limit-lease.UpstreamLease {
		t.Errorf("got %d stops and a lease until %v, want repeated stops and a lease that ends at %v or a little before", len(b.stops), until, limit)
	}
	if b.offer(d0, "next"); b.lastCompletion().Reason != message.RefusedNotReady {
		t.Errorf("an offer without a lease: got %+v, want it refused", b.lastCompletion())
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{
		{Number: 1, Name: b.starts[0].Name, RunNumber: 1, Completion: CompletionLapsed}, {Number: 2, Name: b.starts[1].Name, RunNumber: 1, Completion: CompletionLapsed},
	}})
	if starts := len(b.starts); !b.core.Ready() || b.startRun(d0, "after").LeaseUntil == 0 || len(b.starts) != starts+1 {
		t.Error("nothing starts after the runs have lapsed")
	}
}
