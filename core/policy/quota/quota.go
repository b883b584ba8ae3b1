// Package quota limits the task rate of each team at one entry, without a
// counter shared among entries.
package quota

import "time"

// Limiter holds one token bucket for each team. It is not safe for concurrent
// use.
type Limiter struct{}

// New returns a limiter without teams. The seed spreads retry times.
func New(seed uint64) *Limiter { return &Limiter{} }

// SetShare sets the rate of a team in tasks a second and the number of live
// entries among which it is split. A rate of zero or less removes the limit.
func (l *Limiter) SetShare(team string, ratePerSecond float64, shares int) {}

// Allow takes tasks tokens of team at the monotonic time now. When it reports
// false, retryAfter is when the team has tokens again.
func (l *Limiter) Allow(now time.Duration, team string, tasks int) (ok bool, retryAfter time.Duration) {
	return true, 0
}
