package experiment

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/cluster"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// observeInterval is the time between two looks at all processes.
const observeInterval = 100 * time.Millisecond

// observed is what was seen of the processes during a run.
type observed struct {
	// stats holds the last counters seen of each run of a process.
	stats map[node.Ref]transport.Stats
	// reverts counts how often a run went back to an older revision.
	reverts int
	// violations counts the invariants that the processes saw broken.
	violations uint64
}

// observer looks at all processes at intervals.
type observer struct {
	cluster    *cluster.Cluster
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
		o.look(ctx)
	}
}

func (o *observer) look(ctx context.Context) {
	for _, s := range o.cluster.Observe(ctx) {
		if before, seen := o.revisions[s.Ref]; seen && s.Revision < before {
			o.observed.reverts++
		}
		o.revisions[s.Ref] = s.Revision
		o.observed.stats[s.Ref] = s.Stats
		o.observed.violations += s.Violations - o.violations[s.Ref]
		o.violations[s.Ref] = s.Violations
	}
}

// sent returns the messages of one kind that were sent.
func (o *observed) sent(kind string) uint64 {
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

// Kinds of messages, as named by transport.KindCount.
var (
	// controlKinds are sent whether there is work or not.
	controlKinds = []string{"status", "records", "handoff"}
	// wastedKinds carry no work forward.
	wastedKinds = []string{"refused", "abort", "started", "norecord", "nothome"}
)

func (o *observed) total() uint64 {
	var sum uint64
	for _, s := range o.stats {
		sum += s.MessagesOut
	}
	return sum
}

// work returns the messages that are sent because of jobs.
func (o *observed) work() uint64 { return o.total() - o.sum(controlKinds) }

// wasted returns the messages that carried no work forward: refusals and their
// like, and the requests that no answer matches.
func (o *observed) wasted() uint64 {
	wasted := o.sum(wastedKinds)
	wasted += excess(o.sent("start"), o.sent("result"))
	wasted += excess(o.sent("submit"), o.sent("answer"))
	return wasted
}

func (o *observed) sum(kinds []string) uint64 {
	var sum uint64
	for _, kind := range kinds {
		sum += o.sent(kind)
	}
	return sum
}

func excess(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
