package experiment

import (
	"context"

	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

const (
	// throttledSlots is what a throttled worker lets its upstream run at a time.
	throttledSlots = siteSlots / 4
	// throttledEach and pausedEach say which workers are throttled, and which stop
	// their upstream from taking tasks, as for a checkpoint: one in this many.
	throttledEach = 3
	pausedEach    = 5
)

// throttle makes workers lower what their upstreams run. The agents learn of it
// by the next announcement.
func throttle(_ context.Context, r *runner) error {
	for i, a := range r.cluster.Agents {
		a.Upstream.EditFaults(func(f *upstream.Faults) {
			switch {
			case i%pausedEach == 0:
				f.NoSlots = true
			case i%throttledEach == 0:
				f.MaxRunning, f.AnnouncedSlots = throttledSlots, throttledSlots
			}
		})
	}
	return nil
}

func unthrottle(_ context.Context, r *runner) error {
	for _, a := range r.cluster.Agents {
		a.Upstream.EditFaults(func(f *upstream.Faults) { f.NoSlots, f.MaxRunning, f.AnnouncedSlots = false, 0, 0 })
	}
	return nil
}
