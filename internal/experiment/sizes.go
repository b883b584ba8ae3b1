package experiment

import (
	"context"
	"fmt"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

const (
	// slotsFactor is by how much upstreams declare too many or too few slots.
	slotsFactor = 4
	// runTimeFactor is by how much tasks run longer or shorter than their label
	// says.
	runTimeFactor = 5
	// mislabelledShare is the share of the first kind's jobs that each wrong
	// label is on.
	mislabelledShare = 0.1
)

// sizeLabel states the size of a task: the routes send small tasks to the first
// racks and large ones to the others.
const (
	sizeLabel  = "size"
	smallTask  = "small"
	largeTask  = "large"
	smallRacks = 2
)

// planMislabelled adds long tasks that are labelled small and short ones that
// are labelled large.
func planMislabelled(cfg *loadgen.Config, _ window) {
	long, short := cfg.Mix[0], cfg.Mix[0]
	long.Labels = label.Set{sizeLabel: smallTask}
	long.MinTaskDuration, long.MaxTaskDuration = long.MinTaskDuration*runTimeFactor, long.MaxTaskDuration*runTimeFactor
	short.Labels = label.Set{sizeLabel: largeTask}
	short.MinTaskDuration, short.MaxTaskDuration = short.MinTaskDuration/runTimeFactor, short.MaxTaskDuration/runTimeFactor
	cfg.Mix = slices.Clone(cfg.Mix)
	for _, kind := range []loadgen.JobType{long, short} {
		kind.Name += "-" + kind.Labels[sizeLabel]
		kind.Weight *= mislabelledShare
		cfg.Mix = append(cfg.Mix, kind)
	}
}

// misdeclare routes tasks by their size label. Of three upstreams one declares
// more slots than it serves, and one fewer.
func misdeclare(ctx context.Context, r *runner) error {
	for i, a := range r.cluster.Agents {
		a.Upstream.EditFaults(func(f *upstream.Faults) {
			f.MaxRunning = siteSlots
			f.AnnouncedSlots = declaredSlots(i)
		})
	}
	var small []string
	for i := range smallRacks {
		small = append(small, fmt.Sprintf("rack-%d", i+1))
	}
	return r.addRoutes(ctx, sizeRoute(smallTask, label.In, small), sizeRoute(largeTask, label.NotIn, small))
}

// sizeRoute sends tasks of one size to the racks for which the relation holds.
func sizeRoute(size string, relation label.Operator, racks []string) config.Route {
	return config.Route{
		Name:      size,
		Tasks:     label.Selector{{Key: sizeLabel, Operator: label.In, Values: []string{size}}},
		Upstreams: label.Selector{{Key: "rack", Operator: relation, Values: racks}},
	}
}

// declaredSlots is what the upstream beside agent i declares.
func declaredSlots(i int) int {
	switch i % 3 {
	case 0:
		return siteSlots * slotsFactor
	case 1:
		return siteSlots / slotsFactor
	default:
		return siteSlots
	}
}

func declareTruly(_ context.Context, r *runner) error {
	for _, a := range r.cluster.Agents {
		a.Upstream.EditFaults(func(f *upstream.Faults) { f.MaxRunning, f.AnnouncedSlots = 0, 0 })
	}
	return nil
}
