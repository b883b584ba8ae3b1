package sessions

import (
	"testing"
	"time"
)

// TestSameEventsSameActions runs one session twice, with lost, duplicated and
// delayed messages from the same seed, and compares every message. The messages
// differ when a core is not deterministic, for example when it depends on the
// iteration order of a map.
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
		t.Error("two executions of one session with the same seed differ")
	}
	if len(first) == 0 {
		t.Error("no messages were recorded")
	}
}
