package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Observation is what one run of a process says of itself.
type Observation struct {
	Ref node.Ref
	// Revision is the configuration revision that it has applied.
	Revision int64
	// Synced is true once it has the configuration.
	Synced bool
	Stats  transport.Stats
	// Violations counts the invariants that it saw broken.
	Violations uint64
}

// snapshotTime bounds the wait for processes that may be paused.
const snapshotTime = 100 * time.Millisecond

// Observe returns an observation of every process that answers.
func (c *Cluster) Observe(ctx context.Context) []Observation {
	ctx, cancel := context.WithTimeout(ctx, snapshotTime)
	defer cancel()
	var mu sync.Mutex
	var all []Observation
	var wait sync.WaitGroup
	for _, l := range c.looks() {
		wait.Go(func() {
			o, err := l(ctx)
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

// look returns an observation of one process.
type look func(context.Context) (Observation, error)

func (c *Cluster) looks() []look {
	var all []look
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
	return Observation{s.Self, s.Revision, s.Synced, s.Transport, total(s.Violations)}, err
}

func (a *Agent) observe(ctx context.Context) (Observation, error) {
	s, err := a.daemon().Snapshot(ctx)
	return Observation{s.Self, s.Revision, s.Synced, s.Transport, total(s.Violations)}, err
}

func total(violations map[invariant.Name]uint64) uint64 {
	var sum uint64
	for _, n := range violations {
		sum += n
	}
	return sum
}
