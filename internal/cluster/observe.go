package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Observation is the state that one incarnation of a process reports about itself.
type Observation struct {
	Ref node.Ref
	// Revision is the configuration revision that the process has applied.
	Revision int64
	// Synced is true once the process has loaded the configuration.
	Synced bool
	Stats  transport.Stats
	// Violations counts the invariant violations that the process detected.
	Violations uint64
}

// snapshotTimeout limits the wait for the snapshots of all processes, because a
// paused process does not answer.
const snapshotTimeout = 100 * time.Millisecond

// Observe returns an observation of every process that answers within
// snapshotTimeout.
func (c *Cluster) Observe(ctx context.Context) []Observation {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []Observation
	var wait sync.WaitGroup
	for _, observe := range c.observers() {
		wait.Go(func() {
			o, err := observe(ctx)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, o)
		})
	}
	wait.Wait()
	return all
}

// observeFunc returns an observation of one process.
type observeFunc func(context.Context) (Observation, error)

// observers returns the observeFunc of every process.
func (c *Cluster) observers() []observeFunc {
	var all []observeFunc
	for _, e := range c.Entries {
		all = append(all, e.observe)
	}
	for _, a := range c.Agents {
		all = append(all, a.observe)
	}
	return all
}

func (e *Entry) observe(ctx context.Context) (Observation, error) {
	s, err := e.daemon().Snapshot(ctx)
	return Observation{s.Self, s.Revision, s.Synced, s.Transport, totalViolations(s.Violations)}, err
}

func (a *Agent) observe(ctx context.Context) (Observation, error) {
	s, err := a.daemon().Snapshot(ctx)
	return Observation{s.Self, s.Revision, s.Synced, s.Transport, totalViolations(s.Violations)}, err
}

// totalViolations returns the number of violations of all invariants.
func totalViolations(violations map[invariant.Name]uint64) uint64 {
	var sum uint64
	for _, n := range violations {
		sum += n
	}
	return sum
}
