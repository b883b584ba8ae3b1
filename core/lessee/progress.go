package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// progressCheckAge is the age at which a run's progress is first checked: by then one or
	// two renewals have listed it.
	progressCheckAge = lease.RenewalInterval
	// slowFactor limits the remaining time of a run, as a multiple of its expected
	// duration. Estimates are off by a fraction of up to 0.4, and slow workers take up to
	// 1.3 times as long. The rest is a margin: stopping a run discards its work, which does
	// not pay off for a small gain.
	slowFactor = 3.5
)

// checkProgress stops a run whose progress shows that it would take far longer than
// expected.
func (c *Core) checkProgress(r *run, percent int) {
	age := c.now.Mono - r.startedAt
	if r.state != running || r.expectedDuration == 0 || age < progressCheckAge || age < r.expectedDuration*3/10 {
		return
	}
	left := time.Duration(float64(age) * float64(100-percent) / max(float64(percent), 0.5))
	if float64(left) <= slowFactor*float64(r.expectedDuration)*float64(max(r.slowdown, 100))/100 {
		return
	}
	c.logEvent("run_too_slow", r.name.Job, "task", r.name.String(), "run", r.number, "age_ms", age.Milliseconds(),
		"percent", percent, "expected_ms", r.expectedDuration.Milliseconds())
	r.stopReason = message.RefusedTooSlow
	c.stop(r)
}

// recordDuration measures the speed of the upstream by a run that has succeeded. It ignores
// runs whose start is not known well: those being stopped, those with an unanswered start
// call, and those during a pause of this process.
func (c *Core) recordDuration(r *run, duration time.Duration) {
	if r.state != running || r.startUnanswered || r.orphaned || c.resumedAt >= r.startedAt && c.resumedAt > 0 {
		return
	}
	c.speed.Record(c.now.Mono, duration, r.expectedDuration)
}
