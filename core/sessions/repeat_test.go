package sessions

import (
	"testing"
	"time"
)

// TestSameEventsSameActions runs one session twice, with losses, doubles and
// delays from the same seed, and compares every message.
func TestSameEventsSameActions(t *testing.T) {
	lossy := conditions{
		delay: time.Millisecond, jitter: 30 * time.Millisecond, drop: 0.05, dup: 0.05,
		taskFails: 0.02, lostAnswer: 0.02, service: 20 * time.Millisecond, serviceJitter: 300 * time.Millisecond,
	}
	run := func() string {
		c := newCluster(7, lossy, 5, 2)
		r := c.record()
		for range 40 {
			c.submit(c.e1, c.newJob("", 3), nil)
			c.submit(c.e2, c.newJob("", 1), nil)
			c.run(150 * time.Millisecond)
		}
		c.restart(c.agents[0])
		c.run(10 * time.Second)
		return r.lines.String()
	}
	first, second := run(), run()
	if first != second {
		t.Error("two runs of one session differ")
	}
	if len(first) == 0 {
		t.Error("nothing was recorded")
	}
}
