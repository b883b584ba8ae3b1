// Package cluster runs entries, agents and stand-ins in one process over
// loopback sockets, and makes their faults.
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
	// Domains is the number of failure domains; racks are dealt out to them in
	// turn.
	Domains int
	// RackSize is the number of agents in a rack.
	RackSize int
	// Slots and Connections are limits of each upstream.
	Slots, Connections int
	// Neighbours bounds the agents that an agent reaches to those which are at most
	// this many places away, for fleets whose connections do not fit into one
	// process. Zero is no bound. Entries reach all.
	Neighbours int
	// LinkDelay is the one-way delay between failure domains.
	LinkDelay time.Duration
	// Placement names the agents' placement policy. Empty is the default.
	Placement string
	// Seed makes the policies' choices repeatable.
	Seed uint64
	// ReadinessDelay and Grace shape planned stops.
	ReadinessDelay time.Duration
	Grace          time.Duration
	// PanicOnViolation makes a violated invariant panic.
	PanicOnViolation bool
}

// logTimeout bounds a request to the log service, on top of a read's wait.
const logTimeout = 2 * time.Second

// loopback is any free port of the loopback interface.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Cluster is a running cluster. Its methods are safe for concurrent use, but
// for two that start or stop the same process.
type Cluster struct {
	cfg     Config
	Log     *logservice.Service
	Ledger  *upstream.Ledger
	Entries []*Entry
	Agents  []*Agent

	log *logclient.Client

	mu     sync.Mutex
	domain map[node.ID]string
	// place is the number of each agent.
	place map[node.ID]int
	// island is the side of a partition that a process is on; zero is the side
	// of the log service.
	island map[node.ID]int
	// paused holds a channel for each paused process, closed when it resumes.
	paused map[node.ID]chan struct{}
}

// Start starts a cluster and waits until every entry knows every agent.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	c := &Cluster{
		cfg:    cfg,
		Log:    logservice.New(logservice.Config{Listen: loopback.String()}),
		Ledger: upstream.NewLedger(),
		domain: make(map[node.ID]string),
		place:  make(map[node.ID]int),
		island: make(map[node.ID]int),
		paused: make(map[node.ID]chan struct{}),
	}
	if err := c.Log.Listen(); err != nil {
		return nil, err
	}
	c.log = logclient.New(c.Log.URL(), logTimeout)
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

// Close kills everything.
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
}

// Slots returns the number of slots of all upstreams.
func (c *Cluster) Slots() int { return c.cfg.Agents * c.cfg.Slots }

// EntryAddrs returns the callers' address of each entry, in order.
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

// pollInterval is the time between two looks at the state of the processes.
const pollInterval = 5 * time.Millisecond

// awaitReady waits until every entry sees the slots of every agent and every
// agent may start tasks.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for !c.ready(ctx) {
		if !sleep(ctx, pollInterval) {
			return errors.Wrap(ctx.Err(), "wait for the cluster")
		}
	}
	return nil
}

func (c *Cluster) ready(ctx context.Context) bool {
	for _, e := range c.Entries {
		if !e.sees(ctx, c.Slots()) {
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

// settleMargin is added to the lease and the clock bound for the confirmation
// of the agent set.
const settleMargin = 1500 * time.Millisecond

// Settle waits until the agents that have started may take jobs whose IDs come
// from callers: a lease and the clock bound after a majority knows of them.
func (c *Cluster) Settle(ctx context.Context) {
	timing := settings.DefaultAgent().Timing
	sleep(ctx, timing.Lease+timing.ClockBound+settleMargin)
}

// sleep reports false when ctx ended before d had passed.
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
