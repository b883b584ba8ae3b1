package dispatch

import (
	"testing"
	"time"
)

// excessConfigs returns the settings of a deployment with and without refuse_late_starts.
func excessConfigs() (without, with Config) {
	without = Config{Domain: "z0", UsefulFactor: usefulFactor, Predict: true, MinShare: 0.1}
	with = without
	with.RefuseLateStarts = true
	return without, with
}

// excessResult sums up simulations: the mean value of a job, the jobs that were not completed,
// and of those that arrived under lasting overload, how many there are and how many were refused
// on arrival.
type excessResult struct {
	value           float64
	jobs, unserved  int
	lasting, atOnce int
	refusals        map[string]int
}

// lastingOverload reports whether the load of TestLastingOverloadIsRefusedOnArrival has exceeded
// the capacity for excessOnset.
func lastingOverload(at time.Duration) bool {
	return at >= 3*time.Second+excessOnset && at < 9*time.Second || at >= 12*time.Second+excessOnset && at < 17*time.Second
}

func simulateExcess(t *testing.T, cfg Config, load func(priority int, now time.Duration) float64) excessResult {
	r := excessResult{refusals: map[string]int{}}
	for seed := range uint64(simSeeds) {
		for _, j := range simulate(t, cfg, 1+seed, 20, load).jobs {
			r.value += j.value()
			r.jobs++
			if j.answer.Outcome == Completed {
				continue
			}
			r.unserved++
			r.refusals[j.answer.Reason]++
			if lastingOverload(j.at) {
				r.lasting++
				if j.answered == j.at {
					r.atOnce++
				}
			}
		}
	}
	r.value /= float64(r.jobs)
	t.Logf("refuse_late_starts=%v: %+v", cfg.RefuseLateStarts, r)
	return r
}

// TestLastingOverloadIsRefusedOnArrival guards against callers who wait in vain while more is
// asked for than can be served: all routes at 2 times the capacity for 6 s, then the medium
// route at 5 times its usual load. Once that has lasted for excessOnset, at least half of those
// who are not served must know at once, and the others must not be served worse for it.
func TestLastingOverloadIsRefusedOnArrival(t *testing.T) {
	a, b := excessConfigs()
	load := func(priority int, now time.Duration) float64 {
		switch at := now.Seconds(); {
		case at >= 3 && at < 9:
			return 2 / usualLoad
		case at >= 12 && at < 17 && priority == 1:
			return 5
		default:
			return 1
		}
	}
	without, with := simulateExcess(t, a, load), simulateExcess(t, b, load)
	if 2*with.atOnce < with.lasting {
		t.Errorf("%d of %d callers that were not served knew at once, want at least half; %d of %d without the setting",
			with.atOnce, with.lasting, without.atOnce, without.lasting)
	}
	if with.value < without.value {
		t.Errorf("got value %.4f, want at least the %.4f without the setting", with.value, without.value)
	}
}

// TestShortBurstIsServed guards against refusals in a burst that the queue can absorb: all routes
// at 1.5 times the capacity for 0.4 s, every 4 s. It must not cost any job its answer.
func TestShortBurstIsServed(t *testing.T) {
	a, b := excessConfigs()
	load := func(_ int, now time.Duration) float64 {
		if now%(4*time.Second) < 400*time.Millisecond {
			return 1.5 / usualLoad
		}
		return 1
	}
	without, with := simulateExcess(t, a, load), simulateExcess(t, b, load)
	if with.unserved > without.unserved || with.value < without.value {
		t.Errorf("got %d jobs not served and value %.4f, want at most %d and at least %.4f as without the setting",
			with.unserved, with.value, without.unserved, without.value)
	}
}

// TestNothingIsExcessBelowCapacity guards against refusals on arrival at the usual load, 0.7 of
// the capacity.
func TestNothingIsExcessBelowCapacity(t *testing.T) {
	_, cfg := excessConfigs()
	r := simulateExcess(t, cfg, func(int, time.Duration) float64 { return 1 })
	if n := r.refusals[reasonStartsLate]; n > 0 {
		t.Errorf("%d jobs were refused on arrival, want none", n)
	}
}
