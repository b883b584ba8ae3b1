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

// pausedTimeout limits the wait for the answer of a paused process, which may never
// come.
const pausedTimeout = 100 * time.Millisecond

// Observe returns an observation of every process that runs. It waits for their
// answers until ctx ends, but at most pausedTimeout for one that is paused.
func (c *Cluster) Observe(ctx context.Context) []Observation {
	return c.observeAll(ctx, c.observers())
}

// observeAll returns the observations of the processes that answer.
func (c *Cluster) observeAll(ctx context.Context, observers []observer) []Observation {
	var mu sync.Mutex
	var all []Observation
	var wait sync.WaitGroup
	for _, o := range observers {
		wait.Go(func() {
			observation, err := c.observeUnlessPaused(ctx, o)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, observation)
		})
	}
	wait.Wait()
	return all
}

// observeUnlessPaused returns an observation of one process. It returns an error if
// the process has stopped, or is paused and does not answer.
func (c *Cluster) observeUnlessPaused(ctx context.Context, o observer) (Observation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for sleep(ctx, pausedTimeout) {
			if c.isPaused(o.id) {
				cancel()
			}
		}
	}()
	return o.observe(ctx)
}

// observer observes one process.
type observer struct {
	id      node.ID
	observe func(context.Context) (Observation, error)
}

// observers returns the observers of all processes.
func (c *Cluster) observers() []observer {
	var all []observer
	for _, e := range c.Entries {
		all = append(all, observer{e.ID, e.observe})
	}
	for _, a := range c.Agents {
		all = append(all, observer{a.ID, a.observe})
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
