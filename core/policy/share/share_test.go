package share

import (
	"testing"
	"time"
)

// serve serves one unit of work after the other for the duration d, in the order of s, and
// returns the shares of the priorities 0 to 2. All of those listed always have work. Their
// units take 1, 2 and 15 ms, about the ratio of the durations of the users' tasks.
func serve(s *Shares, now *time.Duration, d time.Duration, waiting []int) (shares [3]float64) {
	units := [3]float64{1, 2, 15}
	total := 0.0
	for end := *now + d; *now < end; {
		p := s.Next(*now, waiting).Priority
		s.Record(*now, p, units[p])
		shares[p] += units[p]
		total += units[p]
		*now += time.Duration(units[p]) * time.Millisecond
	}
	for p := range shares {
		shares[p] /= total
	}
	return shares
}

// TestLastingBurst guards against starvation by an urgent burst that exceeds the capacity for
// seconds. With a minimum of 0, which is strict priority, the other priorities get nothing.
func TestLastingBurst(t *testing.T) {
	for _, minimum := range []float64{0, 0.1, 0.3} {
		s, now := New(minimum), time.Second
		serve(s, &now, time.Second, []int{0, 1, 2})
		got := serve(s, &now, 3*time.Second, []int{0, 1, 2})
		for p, share := range got[1:] {
			if share < minimum-0.01 || share > minimum+0.05 {
				t.Errorf("minimum %.1f: priority %d got %.3f of the work, want the minimum", minimum, p+1, share)
			}
		}
	}
}

// TestBorrowedSharesReturn guards against a priority that keeps what it has borrowed, and
// against one that is starved for long because it has borrowed: after the least urgent one
// was served alone, all others get their turns at once, and within a second it gets its own.
func TestBorrowedSharesReturn(t *testing.T) {
	s, now := New(0.1), time.Second
	serve(s, &now, 2*time.Second, []int{2})
	if got := serve(s, &now, 100*time.Millisecond, []int{0, 1, 2}); got[2] > 0 {
		t.Errorf("got shares %.2f right after, want none for the priority that had everything", got)
	}
	serve(s, &now, 900*time.Millisecond, []int{0, 1, 2})
	if got := serve(s, &now, 500*time.Millisecond, []int{0, 1, 2}); got[1] < 0.09 || got[2] < 0.09 || got[0] < 0.6 {
		t.Errorf("got shares %.2f after a second, want the minimum of 0.1 for two priorities and the rest for the first", got)
	}
}

// TestRankOfTurns guards against turns by share that agents never serve, since other
// dispatchers report more urgent work: such a turn ranks as the first priority.
func TestRankOfTurns(t *testing.T) {
	now := time.Second
	s := New(0.1)
	if got := s.Next(now, []int{1, 2}); got != (Turn{Priority: 1, Rank: 1}) {
		t.Errorf("got %+v before any work was served, want strict priority", got)
	}
	s.Record(now, 0, 10)
	s.Record(now, 1, 5)
	if got := s.Next(now, []int{2}); got != (Turn{Priority: 2, ByShare: true, Rank: 0}) {
		t.Errorf("got %+v, want a turn by share with the rank of the first priority served", got)
	}
	if got := s.Next(now+time.Minute, []int{2}); got.ByShare {
		t.Errorf("got %+v long after the work was served, want strict priority", got)
	}
	s.Record(now, 1, -5)
	if got := s.Share(now, 0); got != 1 {
		t.Errorf("got share %v after the other work was taken back, want 1", got)
	}
}
