package slots

import (
	"math"
	"time"
)

// smoothing is the time constant of the mean of Concurrency.
const smoothing = time.Second

// maxRaised bounds the slots kept for the observed urgent tasks to one in
// maxRaised.
const maxRaised = 2

// Concurrency estimates how many urgent tasks an executor has at one time, so
// that a burst of them finds slots that no other class has taken. The zero value
// has seen none. It is not safe for concurrent use.
type Concurrency struct {
	level int
	mean  float64
	at    time.Duration
}

// Set records that from the monotonic time now the executor has level urgent
// tasks, running and waiting.
func (c *Concurrency) Set(now time.Duration, level int) {
	c.mean = c.meanAt(now)
	c.at = max(c.at, now)
	c.level = level
}

// meanAt returns the exponentially weighted mean at now.
func (c *Concurrency) meanAt(now time.Duration) float64 {
	past := max(now-c.at, 0)
	level := float64(c.level)
	return level + (c.mean-level)*math.Exp(-past.Seconds()/smoothing.Seconds())
}

// Held returns the number of slots to keep free for further urgent tasks while
// running of them run on an executor with slots slots in all. It allows for the
// mean and one standard deviation of independent arrivals.
func (c *Concurrency) Held(now time.Duration, slots, running int) int {
	mean := c.meanAt(now)
	want := int(math.Round(mean + math.Sqrt(mean)))
	return max(0, min(want, slots/maxRaised)-running)
}
