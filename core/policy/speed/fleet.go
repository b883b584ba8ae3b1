package speed

import (
	"slices"
	"time"
)

const (
	// minKnown is the number of upstreams with a known slowdown below which upstreams are not
	// compared.
	minKnown = 3
	// minRelative and maxRelative bound the relative slowdown, so that a wrong value costs a
	// limited part of the score.
	minRelative, maxRelative = 0.3, 3
	// linearWeight times the share of the remaining time that a task takes is subtracted from
	// the score of an upstream, and hingeWeight times the part of this share above
	// comfortableShare. Below it, the task ends in time even if its estimate is 0.4 too low.
	linearWeight, hingeWeight = 0.6, 2.0
	comfortableShare          = 0.4
	// minRemaining is the least remaining time of a late task, as a share of its estimate.
	minRemaining = 0.5
)

// Fleet summarizes the slowdowns of the upstreams of one service.
type Fleet struct {
	// Median is the median slowdown in percent, or zero if too few are known.
	Median int
	// Mean is the mean duration of tasks relative to their estimates while all upstreams are
	// busy, or 1 if it is not known or less. It is the harmonic mean of the slowdowns, since
	// fast upstreams run more tasks. Where the tasks of a job differ, the mean is too low for
	// the longest one: with values below 1, a full fleet ran more jobs that were then late.
	Mean float64
}

// Summarize returns the summary of known slowdowns in percent, none of them zero. It sorts
// them.
func Summarize(slowdowns []int) Fleet {
	n := len(slowdowns)
	if n < minKnown {
		return Fleet{Mean: 1}
	}
	slices.Sort(slowdowns)
	var speeds float64
	for _, s := range slowdowns {
		speeds += 100 / float64(s)
	}
	return Fleet{Median: slowdowns[n/2], Mean: min(max(float64(n)/speeds, 1), maxRelative)}
}

// Relative returns the slowdown of an upstream divided by the fleet's median. It is 1 if
// either is not known.
func (f Fleet) Relative(slowdown int) float64 {
	if f.Median == 0 || slowdown == 0 {
		return 1
	}
	return min(max(float64(slowdown)/float64(f.Median), minRelative), maxRelative)
}

// Penalty returns what to subtract from the score of an upstream with this relative slowdown
// for a task with this estimate that is due after remaining. It is zero for an upstream of
// median speed and negative for a faster one.
func Penalty(relative float64, estimate, remaining time.Duration) float64 {
	if relative == 1 || estimate <= 0 {
		return 0
	}
	share := float64(estimate) / max(float64(remaining), minRemaining*float64(estimate))
	return cost(share*relative) - cost(share)
}

// cost returns the cost of a task that takes this share of its remaining time.
func cost(share float64) float64 {
	return linearWeight*share + hingeWeight*max(share-comfortableShare, 0)
}
