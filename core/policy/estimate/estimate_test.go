package estimate

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init fixes the seed of the randomized tests; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

// observed returns an estimator with n observations of d.
func observed(n int, d time.Duration) *Estimator {
	e := &Estimator{}
	for range n {
		e.Observe(d)
	}
	return e
}

func TestWait(t *testing.T) {
	e := observed(100, 80*ms)
	tests := []struct {
		name                string
		queued, busy, slots int
		want                time.Duration
	}{
		{"free slot", 0, 7, 8, 0},
		{"all busy", 0, 8, 8, 10 * ms},
		{"one round queued", 7, 8, 8, 80 * ms},
		{"queue shorter than the free slots", 2, 4, 8, 0},
		{"no slots", 0, 0, 0, NoSlots},
		{"fewer slots than busy", 0, 8, 4, 100 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := e.Wait(tt.queued, tt.busy, tt.slots); got != tt.want {
				t.Errorf("Wait = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestFeasible(t *testing.T) {
	e := observed(100, 100*ms)
	tests := []struct {
		name          string
		wait, timeout time.Duration
		want          bool
	}{
		{"no wait is always tried", 0, 10 * ms, true},
		{"past its deadline", 0, 0, false},
		{"fits behind the wait", 100 * ms, 300 * ms, true},
		{"does not fit", 250 * ms, 300 * ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := e.Feasible(tt.wait, tt.timeout); got != tt.want {
				t.Errorf("Feasible = %v, want %v", got, tt.want)
			}
			if got := e.RetryAfter(tt.wait, tt.timeout); got < MinRetryAfter {
				t.Errorf("RetryAfter = %v, want at least MinRetryAfter", got)
			}
		})
	}
}

func TestZeroEstimator(t *testing.T) {
	var e Estimator
	if e.Mean() != 0 || e.HighQuantile() != 0 || e.LowQuantile() != 0 || e.Wait(5, 8, 8) != 0 {
		t.Error("an estimator without observations returns a nonzero time")
	}
}

func TestFollowsAChange(t *testing.T) {
	e := observed(1000, 50*ms)
	for range 200 {
		e.Observe(500 * ms)
	}
	if e.Mean() < 400*ms {
		t.Errorf("mean is %v after the upstream slowed down from 50 ms to 500 ms, want at least 400 ms", e.Mean())
	}
	if e.HighQuantile() < 500*ms {
		t.Errorf("high quantile is %v after the upstream slowed down from 50 ms to 500 ms, want at least 500 ms", e.HighQuantile())
	}
}

func TestQuantileWithinOneBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(int64(ms), int64(time.Minute)).Draw(t, "d"))
		got := observed(rapid.IntRange(1, 600).Draw(t, "n"), d).HighQuantile()
		if got < d || float64(got) > math.Ceil(float64(d)*growth) {
			t.Fatalf("all service times are %v, but the high quantile is %v, more than one bucket away", d, got)
		}
	})
}

func BenchmarkObserveAndWait(b *testing.B) {
	var e Estimator
	for i := 0; b.Loop(); i++ {
		e.Observe(time.Duration(i%900+50) * ms)
		e.Feasible(e.Wait(i%16, 8, 8), time.Second)
	}
}
