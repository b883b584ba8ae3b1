// Package quota limits the task rate of each team at one entry.
//
// Each entry enforces an equal share of the rate of a team. The shares add up to
// the rate, so entries need no common counter and exchange no messages.
package quota

import (
	"math/rand/v2"
	"time"
)

// burst is how long unused tokens accumulate: a full bucket holds the tokens of
// this time.
const burst = time.Second

// minBurst is the minimum number of tokens of a full bucket, so that a team with a
// low rate can still send a task.
const minBurst = 1.0

// maxRetryAfter limits the retry delay, before jitter, of a team over its quota.
const maxRetryAfter = time.Minute

// retryJitter is the largest fraction of a retry delay that is added to it at
// random, so that refused callers do not return together.
const retryJitter = 0.25

// Limiter holds one token bucket for each team. It is not safe for concurrent
// use.
type Limiter struct {
	rng   *rand.Rand
	teams map[string]*bucket
}

// bucket is the token bucket of one team at this entry.
type bucket struct {
	rate    float64
	entries int
	tokens  float64
	// started is false until the first refill, which fills the bucket; last is
	// the time of the last refill.
	started bool
	last    time.Duration
}

// New returns a limiter without teams. The seed determines the jitter of retry
// delays.
func New(seed uint64) *Limiter {
	return &Limiter{
		rng:   rand.New(rand.NewPCG(seed, seed)),
		teams: make(map[string]*bucket),
	}
}

// SetShare sets the rate of a team in tasks per second and the number of live
// entries among which it is split. A rate of zero or less removes the limit.
func (l *Limiter) SetShare(team string, ratePerSecond float64, entries int) {
	if ratePerSecond <= 0 {
		delete(l.teams, team)
		return
	}
	b := l.teams[team]
	if b == nil {
		b = &bucket{}
		l.teams[team] = b
	}
	b.entries = max(entries, 1)
	b.rate = ratePerSecond
	b.tokens = min(b.tokens, b.capacity())
}

// Allow takes the given number of tasks in tokens from the bucket of team at the
// monotonic time now. A job with more tasks than a full bucket has tokens is
// admitted when the bucket is full. The token count is then negative, and the team
// waits longer until its next job is admitted. When Allow reports false, the job
// would be admitted after retryAfter.
func (l *Limiter) Allow(now time.Duration, team string, tasks int) (ok bool, retryAfter time.Duration) {
	b := l.teams[team]
	if b == nil {
		return true, 0
	}
	b.refill(now)
	need := min(float64(tasks), b.capacity())
	if b.tokens >= need {
		b.tokens -= float64(tasks)
		return true, 0
	}
	return false, l.retryAfter((need - b.tokens) / b.perSecond())
}

// retryAfter limits seconds to maxRetryAfter and adds jitter.
func (l *Limiter) retryAfter(seconds float64) time.Duration {
	seconds = min(seconds, maxRetryAfter.Seconds())
	seconds *= 1 + retryJitter*l.rng.Float64()
	return time.Duration(seconds * float64(time.Second))
}

// perSecond returns the share of the rate that this entry enforces.
func (b *bucket) perSecond() float64 { return b.rate / float64(b.entries) }

// capacity returns the number of tokens in a full bucket.
func (b *bucket) capacity() float64 {
	return max(b.perSecond()*burst.Seconds(), minBurst)
}

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Duration) {
	if !b.started {
		b.started = true
		b.last = now
		b.tokens = b.capacity()
	}
	if now > b.last {
		b.tokens += (now - b.last).Seconds() * b.perSecond()
		b.last = now
	}
	b.tokens = min(b.tokens, b.capacity())
}
