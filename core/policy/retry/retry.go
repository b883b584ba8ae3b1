// Package retry limits how often, how soon and where a task that has provably
// not started is sent again.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// The budget is counted in thousandths of a retry.
const (
	unit          = 1000
	perSuccess    = unit / 10
	budgetLimit   = 100 * unit
	budgetAtStart = 20 * unit
)

// Budget allows retries as a fraction of successes, so that a general outage
// does not multiply the load. It is not safe for concurrent use.
type Budget struct{ left int }

// NewBudget returns a budget for the first retries after a start.
func NewBudget() *Budget { return &Budget{left: budgetAtStart} }

// Success records a task that was accepted.
func (b *Budget) Success() { b.left = min(b.left+perSuccess, budgetLimit) }

// Take reports whether one more retry may be sent, and spends it.
func (b *Budget) Take() bool {
	if b.left < unit {
		return false
	}
	b.left -= unit
	return true
}

// The delays of a Backoff.
const (
	baseDelay = 5 * time.Millisecond
	maxDelay  = time.Second
	maxHint   = time.Minute
)

// Backoff gives jittered exponential delays. It is not safe for concurrent use.
type Backoff struct{ rng *rand.Rand }

// NewBackoff returns a backoff with the default base and limit.
func NewBackoff(seed uint64) *Backoff {
	return &Backoff{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Delay returns the delay before the retry with this number, from 1. It is at
// least hint, the time that the refusing executor gave.
func (b *Backoff) Delay(attempt int, hint time.Duration) time.Duration {
	ceiling := baseDelay
	for n := 1; n < attempt && ceiling < maxDelay; n++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, maxDelay)
	return min(max(hint, 0), maxHint) + ceiling/2 + b.draw(ceiling/2)
}

// Spread returns a time between d and one and a half d, so that callers that
// are refused together do not return together.
func (b *Backoff) Spread(d time.Duration) time.Duration {
	return d + b.draw(d/2)
}

// draw returns a random duration of at most limit.
func (b *Backoff) draw(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(b.rng.Int64N(int64(limit) + 1))
}

// MaxRefusals is the number of refusals after which a task is given up.
const MaxRefusals = 5

// Excluded is the set of executors that have refused one task. The zero value
// is empty.
type Excluded struct {
	refs [MaxRefusals]node.Ref
	n    int
}

// Add records a refusal. It reports false when the task has been refused too
// often and must be given up.
func (x *Excluded) Add(ref node.Ref) bool {
	if x.n < MaxRefusals && !x.Has(ref) {
		x.refs[x.n] = ref
		x.n++
	}
	return x.n < MaxRefusals
}

// Has reports whether ref has refused the task.
func (x *Excluded) Has(ref node.Ref) bool {
	for _, r := range x.refs[:x.n] {
		if r == ref {
			return true
		}
	}
	return false
}

// Len returns the number of refusals recorded.
func (x *Excluded) Len() int { return x.n }
