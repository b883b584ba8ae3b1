// Package retry limits how often, how soon and to which executors a task is sent
// again. Only a task that is known not to have started may be sent again.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// A Budget is counted in thousandths of a retry: unit is one retry, perSuccess is
// what each success adds.
const (
	unit          = 1000
	perSuccess    = unit / 10
	budgetLimit   = 100 * unit
	budgetAtStart = 20 * unit
)

// Budget limits retries to a fraction of the successes, so that retries do not
// multiply the load when most tasks fail. It is not safe for concurrent use.
type Budget struct{ remaining int }

// NewBudget returns a budget that allows the first retries without successes.
func NewBudget() *Budget { return &Budget{remaining: budgetAtStart} }

// Success records a task that was accepted.
func (b *Budget) Success() { b.remaining = min(b.remaining+perSuccess, budgetLimit) }

// Take reports whether one more retry may be sent, and if so deducts it.
func (b *Budget) Take() bool {
	if b.remaining < unit {
		return false
	}
	b.remaining -= unit
	return true
}

// The limits of the delays of a Backoff: the exponential part starts at baseDelay
// and ends at maxDelay; the hint of an executor counts up to maxHint.
const (
	baseDelay = 5 * time.Millisecond
	maxDelay  = time.Second
	maxHint   = time.Minute
)

// Backoff returns exponential delays with jitter. It is not safe for concurrent
// use.
type Backoff struct{ rng *rand.Rand }

// NewBackoff returns a Backoff whose jitter is determined by seed.
func NewBackoff(seed uint64) *Backoff {
	return &Backoff{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Delay returns the delay before the given attempt, counted from 1. It is at least
// hint, the retry delay from the refusing executor, as far as that is within
// maxHint.
func (b *Backoff) Delay(attempt int, hint time.Duration) time.Duration {
	ceiling := baseDelay
	for n := 1; n < attempt && ceiling < maxDelay; n++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, maxDelay)
	return min(max(hint, 0), maxHint) + ceiling/2 + b.draw(ceiling/2)
}

// AddJitter returns a random time between d and 1.5 d, so that callers that are
// refused together do not return together.
func (b *Backoff) AddJitter(d time.Duration) time.Duration {
	return d + b.draw(d/2)
}

// draw returns a random duration from zero to limit.
func (b *Backoff) draw(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(b.rng.Int64N(int64(limit) + 1))
}

// MaxRefusals is the number of executors that may refuse a task before it is sent to
// no further executor. The home then lets it wait and starts with an empty Excluded.
const MaxRefusals = 5

// Excluded is the set of executors that have refused one task and must not be sent it
// again. The zero value is empty.
type Excluded struct {
	refs [MaxRefusals]node.Ref
	n    int
}

// Add records that the executor ref has refused the task. It reports false when
// MaxRefusals executors have refused it: it must then be sent to none, while this
// set is in use.
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

// Len returns the number of executors that have refused the task.
func (x *Excluded) Len() int { return x.n }
