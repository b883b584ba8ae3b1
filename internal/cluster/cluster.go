// Package cluster runs entries, agents and stand-ins for the log service and the
// upstreams in one process over loopback sockets, and injects faults into them.
package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/logservice"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

// Config describes a cluster.
type Config struct {
	Entries, Agents int
	// Domains is the number of failure domains. Racks and entries are assigned to
	// the domains round-robin.
	Domains int
	// RackSize is the number of agents in a rack.
	RackSize int
	// Slots and Connections limit the concurrent tasks and the connections of each
	// upstream.
	Slots, Connections int
	// NeighbourDistance limits the agents that an agent can reach to those at most
	// this many positions away in a ring of all agents. It serves fleets whose
	// connections do not fit into one process. Zero means no limit. Entries reach
	// all agents.
	NeighbourDistance int
	// LinkDelay is the one-way delay between failure domains.
	LinkDelay time.Duration
	// Placement names the agents' placement policy. Empty selects the default.
	Placement string
	// Seed makes the random choices of the policies repeatable.
	Seed uint64
	// ReadinessDelay is how long a stopping entry still accepts calls while its
	// readiness check fails, so that a load balancer notices first. Grace limits
	// the duration of a planned stop of an entry or agent; zero selects the
	// default.
	ReadinessDelay time.Duration
	Grace          time.Duration
	// PanicOnViolation makes a process panic when it violates an invariant.
	PanicOnViolation bool
}

// logTimeout limits the duration of a request of a process to the log service, in
// addition to the time that a read waits for records.
const logTimeout = 2 * time.Second

// loopback stands for any free port of the loopback interface.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Cluster is a running cluster. Its methods are safe for concurrent use, except
// that two calls must not start or stop the same process at the same time.
type Cluster struct {
	cfg Config
	Log *logservice.Service
	// Ledger counts the task starts of all upstreams, independently of the agents.
	Ledger  *upstream.Ledger
	Entries []*Entry
	Agents  []*Agent

	// log is the client that all processes use for Log.
	log *logclient.Client
	// operatorLog is the client that changes are published with. A change is appended
	// once, so that only the context of its publication limits the wait for the reply.
	operatorLog *logclient.Client

	mu     sync.Mutex
	domain map[node.ID]string
	// agentIndex is the position of each agent in Agents.
	agentIndex map[node.ID]int
	// partitionSide is the side of a network partition that a process is on. Zero
	// is the side of the log service.
	partitionSide map[node.ID]int
	// refusing holds the processes whose links refuse connections.
	refusing map[node.ID]bool
	// paused holds a channel for each paused process, closed when it resumes.
	paused map[node.ID]chan struct{}
}

// Start starts a cluster and waits until every entry knows the slots of every
// agent and every agent may start tasks.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	c := &Cluster{
		cfg:           cfg,
		Log:           logservice.New(logservice.Config{Listen: loopback.String()}),
		Ledger:        upstream.NewLedger(),
		domain:        make(map[node.ID]string),
		agentIndex:    make(map[node.ID]int),
		partitionSide: make(map[node.ID]int),
		refusing:      make(map[node.ID]bool),
		paused:        make(map[node.ID]chan struct{}),
	}
	if err := c.Log.Listen(); err != nil {
		return nil, err
	}
	c.log = logclient.New(c.Log.URL(), logTimeout)
	c.operatorLog = logclient.New(c.Log.URL(), 0)
	if err := c.startAll(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startAll(ctx context.Context) error {
	for i := range c.cfg.Agents {
		a := newAgent(c, i)
		c.Agents = append(c.Agents, a)
		if err := a.Start(); err != nil {
			return errors.Wrapf(err, "start %s", a.ID)
		}
	}
	for i := range c.cfg.Entries {
		e := newEntry(c, i)
		c.Entries = append(c.Entries, e)
		if err := e.Start(); err != nil {
			return errors.Wrapf(err, "start %s", e.ID)
		}
	}
	return c.awaitReady(ctx)
}

// Close kills every process and closes the log service.
func (c *Cluster) Close() {
	c.resumeAll()
	for _, e := range c.Entries {
		e.Kill()
	}
	for _, a := range c.Agents {
		a.Kill()
	}
	_ = c.Log.Close()
	c.log.Close()
	c.operatorLog.Close()
}

// TotalSlots returns the total number of slots of all upstreams.
func (c *Cluster) TotalSlots() int { return c.cfg.Agents * c.cfg.Slots }

// EntryAddrs returns the HTTP address of each entry, in the order of Entries.
func (c *Cluster) EntryAddrs() []string {
	addrs := make([]string, len(c.Entries))
	for i, e := range c.Entries {
		addrs[i] = e.HTTPAddr()
	}
	return addrs
}

// Domains returns the names of the failure domains.
func (c *Cluster) Domains() []string {
	names := make([]string, c.cfg.Domains)
	for i := range names {
		names[i] = domainName(i)
	}
	return names
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i+1) }

// pollInterval is the time between two observations while a method waits for the
// processes to reach a state.
const pollInterval = 5 * time.Millisecond

// awaitReady waits until every entry knows the slots of every agent and every
// agent may start tasks.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for !c.ready(ctx) {
		if !sleep(ctx, pollInterval) {
			return errors.Wrap(ctx.Err(), "wait until every entry knows the slots of every agent and every agent may start tasks")
		}
	}
	return nil
}

func (c *Cluster) ready(ctx context.Context) bool {
	for _, e := range c.Entries {
		if !e.knowsSlots(ctx, c.TotalSlots()) {
			return false
		}
	}
	for _, a := range c.Agents {
		if a.daemon().Ready() != nil {
			return false
		}
	}
	return true
}

// confirmationMargin is added to the freshness lease and the clock bound. It is
// the time in which the agents confirm the agent set to each other.
const confirmationMargin = 1500 * time.Millisecond

// AwaitAgentConfirmation waits until the agents that have started may accept jobs
// whose IDs were chosen by callers. An agent may do so one freshness lease and the
// clock bound after a majority of the agents knows it.
func (c *Cluster) AwaitAgentConfirmation(ctx context.Context) {
	timing := settings.DefaultAgent().Timing
	sleep(ctx, timing.Lease+timing.ClockBound+confirmationMargin)
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
