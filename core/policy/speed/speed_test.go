package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// load draws runs of an upstream that completes 40 a second: tasks of 51, 170 and 760 ms in
// the shares of the routes, two of a job together, whose estimate is off by up to 0.4 in
// either direction. 3% of the tasks take 7 times as long, and each run is seen up to 10 ms
// late.
type load struct {
	rng *rand.Rand
	now time.Duration
}

func (l *load) run(e *Estimator, seconds, slowdown float64, check func(now time.Duration, got int)) {
	for end := l.now + time.Duration(seconds*float64(time.Second)); l.now < end; {
		l.now += 50 * time.Millisecond
		duration := 51.0
		if x := l.rng.Float64(); x > 0.95 {
			duration = 760
		} else if x > 0.55 {
			duration = 170
		}
		expected := duration * (1 + 0.8*(l.rng.Float64()-0.5))
		for range 2 {
			took := duration * slowdown
			if l.rng.Float64() < 0.03 {
				took *= 7
			}
			took += 10 * l.rng.Float64()
			e.Record(l.now, millis(took), millis(expected))
		}
		if check != nil {
			check(l.now, e.Slowdown(l.now))
		}
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// TestSlowdownOfUnevenUpstreams guards against estimates too rough to tell the upstreams of
// the deployments apart: 0.8 and 1.0 are 22% apart, so nearly all values must be within 11%
// of the truth, relative to that of an upstream of speed 1.
func TestSlowdownOfUnevenUpstreams(t *testing.T) {
	mean := func(slowdown float64, check func(got int)) float64 {
		var sum, n float64
		l := &load{rng: rand.New(rand.NewPCG(1, uint64(slowdown*100)))}
		var e Estimator
		l.run(&e, 3, slowdown, nil)
		l.run(&e, 200, slowdown, func(_ time.Duration, got int) {
			sum += float64(got)
			n++
			if check != nil {
				check(got)
			}
		})
		return sum / n
	}
	reference := mean(1, nil)
	for _, slowdown := range []float64{0.55, 0.8, 1, 1.2, 1.25} {
		within, all := 0, 0
		got := mean(slowdown, func(got int) {
			all++
			if math.Abs(float64(got)/reference/slowdown-1) <= 0.11 {
				within++
			}
		})
		t.Logf("slowdown %.2f: mean %.3f, %.1f%% within 11%%", slowdown, got/reference, 100*float64(within)/float64(all))
		if math.Abs(got/reference-slowdown) > 0.05*slowdown {
			t.Errorf("slowdown %.2f: got a mean of %.3f of the reference, want an error of at most 5%%", slowdown, got/reference)
		}
		if float64(within) < 0.9*float64(all) {
			t.Errorf("slowdown %.2f: got %d of %d values within 11%%, want 90%%", slowdown, within, all)
		}
	}
}

// TestUpstreamSlowsDownAndRecovers guards against an estimate that lags behind: a change of
// speed must be seen within 4 s.
func TestUpstreamSlowsDownAndRecovers(t *testing.T) {
	l := &load{rng: rand.New(rand.NewPCG(2, 0))}
	var e Estimator
	l.run(&e, 20, 1, nil)
	l.run(&e, 4, 2.5, nil)
	if got := e.Slowdown(l.now); got < 220 {
		t.Errorf("got %d%% 4 s after a slowdown to 250%%, want at least 220%%", got)
	}
	l.run(&e, 4, 1, nil)
	if got := e.Slowdown(l.now); got > 120 {
		t.Errorf("got %d%% 4 s after the recovery, want at most 120%%", got)
	}
	if got := e.Slowdown(l.now + maxAge + recentAge); got != 0 {
		t.Errorf("got %d%% without runs for a minute, want unknown", got)
	}
}

// TestPenalty checks the order of preferences: long and late tasks gain most from a fast
// upstream, an upstream of median or unknown speed has no penalty, and short tasks that end
// in time anywhere have a small one.
func TestPenalty(t *testing.T) {
	fleet := Summarize([]int{120, 55, 120, 120})
	fast, slow := fleet.Relative(55), fleet.Relative(150)
	gain := func(estimate, remaining time.Duration) float64 {
		return Penalty(slow, estimate, remaining) - Penalty(fast, estimate, remaining)
	}
	short, long := gain(millis(51), millis(141)), gain(millis(760), millis(1276))
	if late := gain(millis(51), millis(60)); short <= 0 || long < 1.5*short || late < 1.5*short {
		t.Errorf("got gains of %.2f for a short, %.2f for a late and %.2f for a long task, want the last two far above the first", short, late, long)
	}
	if got := Penalty(fleet.Relative(0), millis(760), millis(1276)); got != 0 {
		t.Errorf("got a penalty of %.2f for an unknown speed, want none", got)
	}
	if got := Summarize([]int{120, 55}); got.Relative(55) != 1 || got.Mean != 1 {
		t.Errorf("got %+v from two upstreams, want no comparison", got)
	}
	if got := Summarize([]int{220, 110, 220, 220}).Mean; fleet.Mean != 1 || math.Abs(got-1.76) > 0.01 {
		t.Errorf("got means of %.3f and %.3f, want 1 and that of a busy fleet, 1.76", fleet.Mean, got)
	}
}
