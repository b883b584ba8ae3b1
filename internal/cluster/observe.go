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
	observe := func(look func(context.Context) (Observation, error)) {
		o, err := look(ctx)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, o)
	}
	for _, e := range c.Entries {
		wait.Go(func() { observe(e.observe) })
	}
	for _, a := range c.Agents {
		wait.Go(func() { observe(a.observe) })
	}
	wait.Wait()
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
