package experiment

import (
	"context"

	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

const (
	// throttledSlots is the number of tasks that the upstream of a throttled worker
	// runs at a time.
	throttledSlots = siteSlots / 4
	// The upstreams of workers whose index is a multiple of noSlotsEvery announce no
	// slots, as during a checkpoint. Of the other workers, those whose index is a multiple
	// of throttledEvery are throttled.
	throttledEvery = 3
	noSlotsEvery   = 5
)

// throttle lowers the number of tasks that some upstreams run, and makes others announce
// no slots. The agents learn of it from the next announcement of their local upstream.
func throttle(_ context.Context, r *runner) error {
	for i, a := range r.cluster.Agents {
		a.Upstream.EditFaults(func(f *upstream.Faults) {
			switch {
			case i%noSlotsEvery == 0:
				f.NoSlots = true
			case i%throttledEvery == 0:
				f.MaxRunning, f.AnnouncedSlots = throttledSlots, throttledSlots
			}
		})
	}
	return nil
}

// unthrottle lets all upstreams run and announce as many tasks as before.
func unthrottle(_ context.Context, r *runner) error {
	for _, a := range r.cluster.Agents {
		a.Upstream.EditFaults(func(f *upstream.Faults) { f.NoSlots, f.MaxRunning, f.AnnouncedSlots = false, 0, 0 })
	}
	return nil
}
