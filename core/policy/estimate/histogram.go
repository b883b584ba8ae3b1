package estimate

import (
	"math"
	"time"
)

// The upper bound of bucket i of a histogram is unit times growth to the power i.
const (
	buckets = 72
	growth  = 1.2
	unit    = time.Millisecond
)

// window is the total count at which all counts are halved.
const window = 256

// bounds holds the upper bound of each bucket.
var bounds = makeBounds()

func makeBounds() [buckets]time.Duration {
	var b [buckets]time.Duration
	for i := range b {
		b[i] = time.Duration(float64(unit) * math.Pow(growth, float64(i)))
	}
	return b
}

// histogram counts durations. Old observations lose weight exponentially,
// because all counts are halved from time to time.
type histogram struct {
	count [buckets]uint16
	total int
}

func (h *histogram) add(d time.Duration) {
	if h.total >= window {
		h.halve()
	}
	h.count[bucketOf(d)]++
	h.total++
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.count {
		h.count[i] /= 2
		h.total += int(h.count[i])
	}
}

// quantile returns the upper bound of the bucket that holds quantile q, or zero
// before any observation.
func (h *histogram) quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(h.total)))
	seen := 0
	for i, n := range h.count {
		seen += int(n)
		if seen >= rank {
			return bounds[i]
		}
	}
	return bounds[buckets-1]
}

// bucketOf returns the index of the first bucket whose upper bound is at least d,
// or of the last bucket.
func bucketOf(d time.Duration) int {
	lo, hi := 0, buckets-1
	for lo < hi {
		mid := (lo + hi) / 2
		if bounds[mid] < d {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}
