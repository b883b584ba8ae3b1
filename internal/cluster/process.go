package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/agentd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/entryd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

// daemon is one incarnation of an entry or agent.
type daemon interface {
	Run(ctx context.Context) error
	Kill()
}

// restartable runs the successive daemons of one entry or agent, one at a time.
type restartable[D daemon] struct {
	mu      sync.Mutex
	current D
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// run runs a daemon in the background.
func (p *restartable[D]) run(d D) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.mu.Lock()
	p.current, p.cancel, p.done = d, cancel, done
	p.mu.Unlock()
	go func() {
		err := d.Run(ctx)
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
}

// daemon returns the daemon that was started last.
func (p *restartable[D]) daemon() D {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// stop performs a planned stop of the daemon and returns the error of its Run,
// which reports requests and tasks that the stop cut off.
func (p *restartable[D]) stop() error {
	p.mu.Lock()
	cancel, done := p.cancel, p.done
	p.mu.Unlock()
	cancel()
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// kill ends the daemon immediately, without a planned stop.
func (p *restartable[D]) kill() {
	p.mu.Lock()
	d, done := p.current, p.done
	p.mu.Unlock()
	if done == nil {
		return
	}
	d.Kill()
	<-done
}

// processOptions returns the options that connect a process to the cluster's log
// and faults.
func (c *Cluster) processOptions(id node.ID) process.Options {
	return process.Options{
		Log:              &gatedLog{cluster: c, id: id, log: c.log},
		Seed:             c.cfg.Seed,
		PanicOnViolation: c.cfg.PanicOnViolation,
		LinkDelay:        c.linkDelay(id),
		LinkCut:          c.linkCut(id),
		LinkRefused:      c.linkRefused(id),
	}
}

// headerTime is the time in which a client of an entry must send the header of a
// request. The clients share the processors with the cluster; on a busy machine they
// may open a connection long before they can write to it.
const headerTime = time.Hour

// Entry is one entry of a cluster.
type Entry struct {
	restartable[*entryd.Daemon]
	ID     node.ID
	Domain string

	cluster  *Cluster
	settings settings.Entry
}

func newEntry(c *Cluster, i int) *Entry {
	e := &Entry{
		ID:      node.ID(fmt.Sprintf("entry-%d", i+1)),
		Domain:  domainName(i % c.cfg.Domains),
		cluster: c,
	}
	s := settings.DefaultEntry()
	s.Node = settings.Node{Role: settings.RoleEntry, ID: e.ID, Domain: e.Domain}
	s.Listen = settings.EntryListen{HTTP: loopback, Transport: loopback, Metrics: loopback}
	s.Limits.HeaderTime = headerTime
	s.Timing.ReadinessDelay = settings.Delay(c.cfg.ReadinessDelay)
	if c.cfg.Grace > 0 {
		s.Timing.Grace = c.cfg.Grace
	}
	e.settings = s
	c.setDomain(e.ID, e.Domain)
	return e
}

// Start starts the entry. A restarted entry uses its previous addresses.
func (e *Entry) Start() error {
	c := e.cluster
	d, err := entryd.New(entryd.Config{
		Settings: e.settings,
		Options:  c.processOptions(e.ID),
	})
	if err != nil {
		return err
	}
	e.settings.Listen.HTTP = netip.MustParseAddrPort(d.HTTPAddr())
	e.settings.Listen.Transport = netip.MustParseAddrPort(d.Addr())
	e.settings.Listen.Metrics = netip.MustParseAddrPort(d.MetricsAddr())
	e.run(d)
	return nil
}

// HTTPAddr returns the address at which the entry accepts requests of callers.
func (e *Entry) HTTPAddr() string { return e.settings.Listen.HTTP.String() }

// Kill ends the entry immediately, without a planned stop.
func (e *Entry) Kill() { e.kill() }

// Stop performs a planned stop of the entry.
func (e *Entry) Stop() error { return e.stop() }

// knowsSlots reports whether the live agents that the entry knows have at least
// this many slots in total.
func (e *Entry) knowsSlots(ctx context.Context, slots int) bool {
	s, err := e.daemon().Snapshot(ctx)
	if err != nil || !s.Synced {
		return false
	}
	sum := 0
	for _, a := range s.Agents {
		if !a.Dead {
			sum += a.Load.Slots
		}
	}
	return sum >= slots
}

// Agent is one agent of a cluster with its local upstream.
type Agent struct {
	restartable[*agentd.Daemon]
	ID       node.ID
	Domain   string
	Rack     string
	Upstream *upstream.Upstream

	cluster  *Cluster
	settings settings.Agent
	// upstreamAddr is the address of the local upstream. It stays the same when the
	// worker restarts.
	upstreamAddr string
}

func newAgent(c *Cluster, i int) *Agent {
	rack := i / c.cfg.RackSize
	a := &Agent{
		ID:           node.ID(fmt.Sprintf("agent-%d", i+1)),
		Domain:       domainName(rack % c.cfg.Domains),
		Rack:         fmt.Sprintf("rack-%d", rack+1),
		cluster:      c,
		upstreamAddr: loopback.String(),
	}
	s := settings.DefaultAgent()
	s.Node = settings.Node{Role: settings.RoleAgent, ID: a.ID, Domain: a.Domain}
	s.Worker.Name = "worker-" + fmt.Sprint(i+1)
	s.Listen = settings.AgentListen{Transport: loopback, Upstream: loopback}
	if c.cfg.Grace > 0 {
		s.Timing.Grace = c.cfg.Grace
	}
	if c.cfg.Placement != "" {
		s.Policy.Placement = settings.Placement(c.cfg.Placement)
	}
	a.settings = s
	c.setDomain(a.ID, a.Domain)
	c.agentIndex[a.ID] = i
	return a
}

// Start starts the worker: the agent and its upstream. A restarted worker uses its
// previous addresses.
func (a *Agent) Start() error {
	if err := a.StartAgent(); err != nil {
		return err
	}
	a.Upstream = upstream.New(upstream.Config{
		Name:        "upstream-" + string(a.ID),
		Listen:      a.upstreamAddr,
		Agent:       a.settings.Listen.Upstream.String(),
		Slots:       a.cluster.cfg.Slots,
		Connections: a.cluster.cfg.Connections,
		Labels:      map[string]string{"rack": a.Rack},
		Domain:      a.Domain,
		Ledger:      a.cluster.Ledger,
	})
	if err := a.Upstream.Start(); err != nil {
		return err
	}
	a.upstreamAddr = a.Upstream.Addr()
	return nil
}

// StartAgent starts only the agent. It is for use after Stop, which leaves the
// upstream running.
func (a *Agent) StartAgent() error {
	c := a.cluster
	d, err := agentd.New(agentd.Config{Settings: a.settings, Options: c.processOptions(a.ID)})
	if err != nil {
		return err
	}
	a.settings.Listen.Transport = netip.MustParseAddrPort(d.Addr())
	a.settings.Listen.Upstream = netip.MustParseAddrPort(d.HTTPAddr())
	a.run(d)
	return nil
}

// Kill ends the worker immediately, without a planned stop: the agent and its
// upstream.
func (a *Agent) Kill() {
	if a.Upstream != nil {
		_ = a.Upstream.Close()
	}
	a.kill()
}

// Stop performs a planned stop of the agent. Its upstream continues to run.
func (a *Agent) Stop() error { return a.stop() }
