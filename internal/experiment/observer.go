package experiment

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/cluster"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// observeInterval is the time between two observations of all processes.
const observeInterval = 100 * time.Millisecond

// observed holds what the observer collected during a run.
type observed struct {
	// stats holds the last observed transport counters of each incarnation of a
	// process.
	stats map[node.Ref]transport.Stats
	// revisionReverts counts how often an incarnation went back to an older
	// configuration revision.
	revisionReverts int
	// violations counts the invariant violations that the processes detected.
	violations uint64
}

// observer observes all processes at regular intervals.
type observer struct {
	cluster *cluster.Cluster
	// revisions and violations hold the last observation of each incarnation.
	revisions  map[node.Ref]int64
	violations map[node.Ref]uint64
	observed   observed
}

func newObserver(c *cluster.Cluster) *observer {
	return &observer{
		cluster:    c,
		revisions:  make(map[node.Ref]int64),
		violations: make(map[node.Ref]uint64),
		observed:   observed{stats: make(map[node.Ref]transport.Stats)},
	}
}

func (o *observer) run(ctx context.Context) {
	for sleep(ctx, observeInterval) {
		o.observeAll(ctx)
	}
}

// observeAll observes all processes once.
func (o *observer) observeAll(ctx context.Context) {
	for _, s := range o.cluster.Observe(ctx) {
		if before, seen := o.revisions[s.Ref]; seen && s.Revision < before {
			o.observed.revisionReverts++
		}
		o.revisions[s.Ref] = s.Revision
		o.observed.stats[s.Ref] = s.Stats
		o.observed.violations += s.Violations - o.violations[s.Ref]
		o.violations[s.Ref] = s.Violations
	}
}

// sentOfKind returns the number of sent messages of one kind.
func (o *observed) sentOfKind(kind string) uint64 {
	var sum uint64
	for _, s := range o.stats {
		for _, k := range s.Kinds {
			if k.Kind == kind {
				sum += k.Sent
			}
		}
	}
	return sum
}

// Kinds of messages, as named in transport.KindCount.Kind.
var (
	// controlKinds are the kinds that are sent whether there are jobs or not.
	controlKinds = []string{"status", "records", "handoff"}
	// wastedKinds are the kinds that do not advance a job.
	wastedKinds = []string{"refused", "abort", "started", "norecord", "nothome"}
)

// totalSent returns the number of sent messages of all kinds.
func (o *observed) totalSent() uint64 {
	var sum uint64
	for _, s := range o.stats {
		sum += s.MessagesOut
	}
	return sum
}

// jobMessages returns the number of messages that were sent because of jobs.
func (o *observed) jobMessages() uint64 { return o.totalSent() - o.sentOfKinds(controlKinds) }

// wastedMessages returns the number of messages that did not advance a job: those
// of wastedKinds, and the starts and submissions that were not answered.
func (o *observed) wastedMessages() uint64 {
	wasted := o.sentOfKinds(wastedKinds)
	wasted += excess(o.sentOfKind("start"), o.sentOfKind("result"))
	wasted += excess(o.sentOfKind("submit"), o.sentOfKind("answer"))
	return wasted
}

// sentOfKinds returns the number of sent messages of all the given kinds.
func (o *observed) sentOfKinds(kinds []string) uint64 {
	var sum uint64
	for _, kind := range kinds {
		sum += o.sentOfKind(kind)
	}
	return sum
}

// excess returns a - b, or 0 if b is greater than a.
func excess(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
