package upstream

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Tasks beyond Faults.MaxRunning must wait in the upstream. A change of another fault must
// not remove this limit.
func TestMaxRunningLimitsTasks(t *testing.T) {
	u := New(Config{})
	u.EditFaults(func(f *Faults) { f.MaxRunning = 1 })
	u.EditFaults(func(f *Faults) { f.SlowFactor = 1 })
	var running, most atomic.Int32
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			u.runLimited(func() bool {
				most.Store(max(most.Load(), running.Add(1)))
				defer running.Add(-1)
				return sleep(u.ctx, time.Millisecond)
			})
		})
	}
	wait.Wait()
	if most.Load() != 1 {
		t.Errorf("got %d tasks running at a time, want 1", most.Load())
	}
}
