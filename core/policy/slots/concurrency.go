package slots

import (
	"math"
	"time"
)

// smoothing is the time constant of the exponentially weighted mean of
// Concurrency.
const smoothing = time.Second

// maxKeptShare limits the slots that Concurrency keeps free for urgent tasks to
// one in maxKeptShare of all slots.
const maxKeptShare = 2

// Concurrency estimates how many urgent tasks an executor has at one time. The
// executor keeps that many slots free of other classes, so that the next burst of
// urgent tasks finds free slots. The zero value has no observations. It is not safe
// for concurrent use.
type Concurrency struct {
	// level is the number of urgent tasks from the time since on, and mean the
	// weighted mean at that time.
	level int
	mean  float64
	since time.Duration
}

// Set records that from the monotonic time now the executor has level urgent
// tasks, running or waiting.
func (c *Concurrency) Set(now time.Duration, level int) {
	c.mean = c.meanAt(now)
	c.since = max(c.since, now)
	c.level = level
}

// meanAt returns the exponentially weighted mean number of urgent tasks at now.
func (c *Concurrency) meanAt(now time.Duration) float64 {
	past := max(now-c.since, 0)
	level := float64(c.level)
	return level + (c.mean-level)*math.Exp(-past.Seconds()/smoothing.Seconds())
}

// SlotsToKeep returns the number of slots to keep free for further urgent
// tasks, on an executor with the given number of slots and of running urgent
// tasks. The running tasks and the kept slots together cover the mean plus one
// standard deviation, as of independent arrivals.
func (c *Concurrency) SlotsToKeep(now time.Duration, slots, running int) int {
	mean := c.meanAt(now)
	want := int(math.Round(mean + math.Sqrt(mean)))
	return max(0, min(want, slots/maxKeptShare)-running)
}
