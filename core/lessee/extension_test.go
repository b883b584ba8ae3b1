package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
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
