// Package quota limits the task rate of each team at one entry, without a
// counter shared among entries.
//
// Each entry holds an equal part of the rate of a team, so that the parts add up
// to the rate without any message between entries.
package quota

import (
	"math/rand/v2"
	"time"
)

// burst is the time over which an unused part of the rate is kept.
const burst = time.Second

// minBurst is the least number of tasks that a team with a quota may send at
// once.
const minBurst = 1.0

// maxRetryAfter is the longest retry time given to a team over its quota.
const maxRetryAfter = time.Minute

// retryJitter is the greatest share that is added to a retry time, so that
// refused callers do not return together.
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
	shares  int
	tokens  float64
	started bool
	last    time.Duration
}

// New returns a limiter without teams. The seed spreads retry times.
func New(seed uint64) *Limiter {
	return &Limiter{
		rng:   rand.New(rand.NewPCG(seed, seed)),
		teams: make(map[string]*bucket),
	}
}

// SetShare sets the rate of a team in tasks a second and the number of live
// entries among which it is split. A rate of zero or less removes the limit.
func (l *Limiter) SetShare(team string, ratePerSecond float64, shares int) {
	if ratePerSecond <= 0 {
		delete(l.teams, team)
		return
	}
	b := l.teams[team]
	if b == nil {
		b = &bucket{}
		l.teams[team] = b
	}
	b.shares = max(shares, 1)
	b.rate = ratePerSecond
	b.tokens = min(b.tokens, b.limit())
}

// Allow takes tasks tokens of team at the monotonic time now. A job may take
// more tokens than there are and leave a debt, so that a job larger than the
// burst is admitted and the team then waits longer. When Allow reports false,
// retryAfter is when the team has tokens again.
func (l *Limiter) Allow(now time.Duration, team string, tasks int) (ok bool, retryAfter time.Duration) {
	b := l.teams[team]
	if b == nil {
		return true, 0
	}
	b.refill(now)
	need := min(float64(tasks), b.limit())
	if b.tokens >= need {
		b.tokens -= float64(tasks)
		return true, 0
	}
	return false, l.retryAfter((need - b.tokens) / b.perSecond())
}

// retryAfter converts seconds to a bounded time with jitter.
func (l *Limiter) retryAfter(seconds float64) time.Duration {
	seconds = min(seconds, maxRetryAfter.Seconds())
	seconds *= 1 + retryJitter*l.rng.Float64()
	return time.Duration(seconds * float64(time.Second))
}

// perSecond returns the part of the rate that this entry holds.
func (b *bucket) perSecond() float64 { return b.rate / float64(b.shares) }

// limit returns the number of tokens that the bucket holds when full.
func (b *bucket) limit() float64 {
	return max(b.perSecond()*burst.Seconds(), minBurst)
}

func (b *bucket) refill(now time.Duration) {
	if !b.started {
		b.started = true
		b.last = now
		b.tokens = b.limit()
	}
	if now > b.last {
		b.tokens += (now - b.last).Seconds() * b.perSecond()
		b.last = now
	}
	b.tokens = min(b.tokens, b.limit())
}
