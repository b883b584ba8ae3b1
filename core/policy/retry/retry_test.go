package retry

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// init fixes the seed of the randomized tests; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestBudgetBoundsRetries checks that the retries never exceed a tenth of the
// successes plus the initial budget.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		successes, retries := 0, 0
		for _, ok := range rapid.SliceOfN(rapid.Bool(), 500, 2000).Draw(t, "outcomes") {
			if ok {
				b.Success()
				successes++
			} else if b.Take() {
				retries++
			}
		}
		if retries > successes/10+budgetAtStart/unit {
			t.Fatalf("%d retries for %d successes, want at most a tenth plus the initial budget", retries, successes)
		}
	})
}

func TestBudgetAfterAnOutage(t *testing.T) {
	b := NewBudget()
	spent := 0
	for range 10_000 {
		if b.Take() {
			spent++
		}
	}
	if spent != budgetAtStart/unit {
		t.Errorf("%d retries without any success, want the initial budget", spent)
	}
	for range 10 {
		b.Success()
	}
	if !b.Take() || b.Take() {
		t.Error("ten successes do not allow exactly one retry")
	}
}

func TestDelay(t *testing.T) {
	tests := []struct {
		name       string
		attempt    int
		hint       time.Duration
		least, cap time.Duration
	}{
		{"first", 1, 0, baseDelay / 2, baseDelay},
		{"fourth doubles three times", 4, 0, 4 * baseDelay, 8 * baseDelay},
		{"hint is the minimum", 1, time.Second, time.Second, time.Second + baseDelay},
		{"limited to maxDelay", 1000, 0, maxDelay / 2, maxDelay},
		{"a long hint is limited to maxHint", 1, time.Hour, maxHint, maxHint + baseDelay},
		{"a negative hint counts as none", 0, -time.Hour, baseDelay / 2, baseDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBackoff(1)
			for range 100 {
				if d := b.Delay(tt.attempt, tt.hint); d < tt.least || d > tt.cap {
					t.Fatalf("delay %v, want %v to %v", d, tt.least, tt.cap)
				}
			}
		})
	}
}

// TestDelaysDoNotAlign checks that the delays of tasks that are refused at the same
// moment are spread over the whole jitter interval.
func TestDelaysDoNotAlign(t *testing.T) {
	const tasks, buckets, attempt = 1000, 10, 8
	const half = baseDelay << (attempt - 1) / 2
	var seen [buckets]int
	for seed := range tasks {
		d := NewBackoff(uint64(seed)).Delay(attempt, 0) - half
		seen[min(int(d*buckets/half), buckets-1)]++
	}
	for i, n := range seen {
		if n > tasks/4 {
			t.Errorf("%d of %d tasks return in part %d of %d of the interval, want at most a quarter", n, tasks, i, buckets)
		}
	}
}

func TestExcluded(t *testing.T) {
	var x Excluded
	ref := func(i int) node.Ref { return node.Ref{ID: node.ID(strconv.Itoa(i)), Incarnation: 1} }
	for i := range MaxRefusals {
		if x.Has(ref(i)) {
			t.Errorf("%v is excluded before it has refused the task", ref(i))
		}
		if more := x.Add(ref(i)); more != (i < MaxRefusals-1) {
			t.Errorf("refusal %d: Add returned %v, want false only for the last", i, more)
		}
		if x.Add(ref(i)); x.Len() != i+1 || !x.Has(ref(i)) {
			t.Errorf("refusal %d: Len is %d after the same executor was added twice, want it counted once", i, x.Len())
		}
	}
	if x.Has(node.Ref{ID: "0", Incarnation: 2}) {
		t.Error("another incarnation of a process that refused the task is excluded")
	}
}
