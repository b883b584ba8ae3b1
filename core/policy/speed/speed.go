// Package speed estimates how fast an upstream is from the durations of its runs, and rates
// the upstreams of a fleet by it.
//
// The slowdown of an upstream is the ratio of the duration of its runs to their expected
// durations. Callers' estimates may all be off alike, so upstreams are compared by their
// relative slowdown, which is the slowdown divided by the median of the fleet.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// window is the number of runs that count. At 40 runs a second, a changed speed is fully
	// seen after 2.4 s. With estimates that are off by up to 0.4, the standard error of the
	// mean of that many runs is 0.03.
	window = 96
	// minRuns is the number of runs below which the slowdown is not known.
	minRuns = 12
	// recentAge is the age from which a run counts only if there are fewer than minRuns newer
	// ones, and maxAge the age from which it never counts. An upstream without enough new runs
	// becomes unknown, so that it gets work again and a recovery is seen.
	recentAge = 10 * time.Second
	maxAge    = time.Minute
	// trimmedShare is the share of the runs that is left out at each end. 3% of the runs take
	// 7 times as long as the others.
	trimmedShare = 0.1
	// latencyScale is the expected duration at which a run has half of the full weight: the
	// agent sees starts and completions some milliseconds late, a tenth of a task of 50 ms.
	latencyScale = 50 * time.Millisecond
	// refreshInterval is the shortest pause between two computations of the slowdown.
	refreshInterval = 200 * time.Millisecond
	// Resolution is the step of a slowdown, in percent.
	Resolution = 5
	// minRatio and maxRatio bound the ratio of a single run, against faulty clocks and estimates.
	minRatio, maxRatio = 0.01, 100
)

// sample is one run.
type sample struct {
	at            time.Duration
	ratio, weight float64
}

// Estimator estimates the slowdown of one upstream. The zero value knows no runs. It is not
// safe for concurrent use.
type Estimator struct {
	// runs is a ring buffer; next is the index of its oldest run once it is full.
	runs       []sample
	next       int
	sorted     []sample
	computedAt time.Duration
	changed    bool
	slowdown   int
}

// Record adds a run that succeeded at now after took. A run without an expected duration
// is ignored.
func (e *Estimator) Record(now, took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), minRatio), maxRatio)
	s := sample{at: now, ratio: math.Log(ratio), weight: float64(expected) / float64(expected+latencyScale)}
	e.changed = true
	if len(e.runs) < window {
		e.runs = append(e.runs, s)
		return
	}
	e.runs[e.next] = s
	e.next = (e.next + 1) % window
}

// Slowdown returns the slowdown in percent, rounded to Resolution, or zero if it is not
// known: the geometric mean of the ratios of the last runs, without the extreme ones.
func (e *Estimator) Slowdown(now time.Duration) int {
	if len(e.runs) < minRuns || e.computedAt > 0 && now-e.computedAt < refreshInterval {
		return e.slowdown
	}
	if e.changed || now-e.computedAt >= recentAge {
		e.computedAt, e.changed = now, false
		e.slowdown = e.compute(now)
	}
	return e.slowdown
}

func (e *Estimator) compute(now time.Duration) int {
	e.sorted = append(e.sorted[:0], e.runs...)
	// Newest first.
	slices.SortFunc(e.sorted, func(a, b sample) int { return cmp.Compare(b.at, a.at) })
	n := 0
	for n < len(e.sorted) && (now-e.sorted[n].at <= recentAge || n < minRuns && now-e.sorted[n].at <= maxAge) {
		n++
	}
	if n < minRuns {
		return 0
	}
	return round(100 * math.Exp(trimmedMean(e.sorted[:n])))
}

// trimmedMean returns the weighted mean of the ratios without trimmedShare at each end. It
// reorders runs.
func trimmedMean(runs []sample) float64 {
	slices.SortFunc(runs, func(a, b sample) int { return cmp.Compare(a.ratio, b.ratio) })
	cut := int(math.Ceil(trimmedShare * float64(len(runs))))
	var sum, weight float64
	for _, s := range runs[cut : len(runs)-cut] {
		sum += s.weight * s.ratio
		weight += s.weight
	}
	return sum / weight
}

func round(percent float64) int {
	return max(int(math.Round(percent/Resolution))*Resolution, Resolution)
}
