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
	// wrongSlotsFactor is the factor by which upstreams declare too many or too few
	// slots.
	wrongSlotsFactor = 4
	// wrongRunTimeFactor is the factor by which tasks run longer or shorter than
	// their label states.
	wrongRunTimeFactor = 5
	// mislabelledShare is the weight of each type of mislabelled jobs as a share of
	// the weight of the first type in the mix.
	mislabelledShare = 0.1
)

// sizeLabel is the label that states the size of a task. The routes send small
// tasks to the first smallTaskRacks racks and large tasks to the other racks.
const (
	sizeLabel      = "size"
	smallTask      = "small"
	largeTask      = "large"
	smallTaskRacks = 2
)

// planMislabelled adds two job types: one whose long tasks are labelled small, and
// one whose short tasks are labelled large.
func planMislabelled(cfg *loadgen.Config, _ window) {
	long, short := cfg.Mix[0], cfg.Mix[0]
	long.Labels = label.Set{sizeLabel: smallTask}
	long.MinTaskDuration, long.MaxTaskDuration = long.MinTaskDuration*wrongRunTimeFactor, long.MaxTaskDuration*wrongRunTimeFactor
	short.Labels = label.Set{sizeLabel: largeTask}
	short.MinTaskDuration, short.MaxTaskDuration = short.MinTaskDuration/wrongRunTimeFactor, short.MaxTaskDuration/wrongRunTimeFactor
	cfg.Mix = slices.Clone(cfg.Mix)
	for _, jobType := range []loadgen.JobType{long, short} {
		jobType.Name += "-" + jobType.Labels[sizeLabel]
		jobType.Weight *= mislabelledShare
		cfg.Mix = append(cfg.Mix, jobType)
	}
}

// declareWrongSlots routes tasks by their size label. Of every three upstreams one
// declares more slots than it serves, and one declares fewer.
func declareWrongSlots(ctx context.Context, r *runner) error {
	for i, a := range r.cluster.Agents {
		a.Upstream.EditFaults(func(f *upstream.Faults) {
			f.MaxRunning = siteSlots
			f.AnnouncedSlots = declaredSlots(i)
		})
	}
	var small []string
	for i := range smallTaskRacks {
		small = append(small, fmt.Sprintf("rack-%d", i+1))
	}
	return r.addRoutes(ctx, sizeRoute(smallTask, label.In, small), sizeRoute(largeTask, label.NotIn, small))
}

// sizeRoute returns a route that sends tasks of one size to the racks that the
// operator selects from the list.
func sizeRoute(size string, operator label.Operator, racks []string) config.Route {
	return config.Route{
		Name:      size,
		Tasks:     label.Selector{{Key: sizeLabel, Operator: label.In, Values: []string{size}}},
		Upstreams: label.Selector{{Key: "rack", Operator: operator, Values: racks}},
	}
}

// declaredSlots returns the number of slots that the local upstream of agent i
// declares.
func declaredSlots(i int) int {
	switch i % 3 {
	case 0:
		return siteSlots * wrongSlotsFactor
	case 1:
		return siteSlots / wrongSlotsFactor
	default:
		return siteSlots
	}
}

// declareTrueSlots lets all upstreams announce their true slots again. It leaves
// the routes in place.
func declareTrueSlots(_ context.Context, r *runner) error {
	for _, a := range r.cluster.Agents {
		a.Upstream.EditFaults(func(f *upstream.Faults) { f.MaxRunning, f.AnnouncedSlots = 0, 0 })
	}
	return nil
}
