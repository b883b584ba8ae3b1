package upstream

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestServesFewerThanItTakes checks that tasks beyond Faults.Serves wait in the
// upstream, and that another fault leaves the limit in place.
func TestServesFewerThanItTakes(t *testing.T) {
	u := New(Config{})
	u.EditFaults(func(f *Faults) { f.Serves = 1 })
	u.EditFaults(func(f *Faults) { f.Slow = 1 })
	var running, most atomic.Int32
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			u.serve(func() bool {
				most.Store(max(most.Load(), running.Add(1)))
				defer running.Add(-1)
				return sleep(u.ctx, time.Millisecond)
			})
		})
	}
	wait.Wait()
	if most.Load() != 1 {
		t.Errorf("%d tasks ran at a time", most.Load())
	}
}
