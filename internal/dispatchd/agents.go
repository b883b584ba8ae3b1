package dispatchd

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/sitestore"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

const (
	// minConnectDelay and maxConnectDelay bound the delay between two attempts to
	// connect to an agent. A restarted agent must be found within a fraction of a second.
	minConnectDelay = 20 * time.Millisecond
	maxConnectDelay = 300 * time.Millisecond
	// After goneAfter without a connection, an agent has most likely left for good, and
	// maxGoneDelay bounds the delay. If it starts again, its new record ends the delay.
	goneAfter    = 15 * time.Second
	maxGoneDelay = 3 * time.Second
	// otherDomainDelay delays the first attempts to connect to agents of other failure
	// domains. After a start, a process on a slow host first connects to the agents that it
	// prefers.
	otherDomainDelay = 100 * time.Millisecond
	// defaultCheckInterval is the pause between two checks whether a connection is still open.
	defaultCheckInterval = 3 * time.Second
)

// agentConnector keeps a connection to every known agent.
type agentConnector struct {
	// domain is the failure domain of this process.
	domain    string
	transport *transport.Transport
	loop      *process.Loop
	logs      *telemetry.Logger
	// checkInterval is the pause between two checks whether a connection is still open.
	checkInterval time.Duration

	// addressesRead is set once the agents' addresses have been read from the store.
	addressesRead atomic.Bool

	mu sync.Mutex
	// ctx is the context of Run, or nil before Run is called.
	ctx context.Context
	// known holds the agents of the last call of setAgents.
	known map[netip.AddrPort]*agentConnection
}

// agentConnection is the connection to the agent at one address.
type agentConnection struct {
	agent sitestore.Agent
	// cancel stops keepConnected. It is nil until keepConnected is started.
	cancel context.CancelFunc
	// ref is the incarnation that answered last, or zero if none has answered yet.
	ref node.Ref
	// lost receives a value when the incarnation in ref has ended or may have, and restarted
	// when the agent's record names another incarnation than before.
	lost, restarted chan struct{}
}

func newAgentConnection(agent sitestore.Agent) *agentConnection {
	return &agentConnection{agent: agent, lost: make(chan struct{}, 1), restarted: make(chan struct{}, 1)}
}

// setRecord replaces the agent's record.
func (c *agentConnection) setRecord(agent sitestore.Agent) {
	restarted := agent.Incarnation != c.agent.Incarnation
	c.agent.Incarnation = agent.Incarnation
	if restarted {
		notify(c.restarted)
	}
}

// notify sends a value unless one is waiting already.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// nextConnectDelay returns the delay after a failed attempt to connect, given the one before
// it and the time for which there has been no connection.
func nextConnectDelay(delay, unreachableFor time.Duration) time.Duration {
	if unreachableFor > goneAfter {
		return min(2*delay, maxGoneDelay)
	}
	return min(2*delay, maxConnectDelay)
}

func newAgentConnector(domain string, t *transport.Transport, l *process.Loop, logs *telemetry.Logger) *agentConnector {
	return &agentConnector{
		domain: domain, transport: t, loop: l, logs: logs, checkInterval: defaultCheckInterval,
		known: make(map[netip.AddrPort]*agentConnection),
	}
}

// Run opens and reopens connections until ctx ends.
func (a *agentConnector) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	for _, c := range a.known {
		a.startLocked(c)
	}
	a.mu.Unlock()
	<-ctx.Done()
	return nil
}

// startLocked starts keepConnected for c. The caller holds a.mu.
func (a *agentConnector) startLocked(c *agentConnection) {
	ctx, cancel := context.WithCancel(a.ctx)
	c.cancel = cancel
	go a.keepConnected(ctx, c)
}

// setAgents replaces the known agents. Open connections to agents that are no longer
// listed stay open, but keepConnected no longer reopens them.
func (a *agentConnector) setAgents(list []sitestore.Agent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := make(map[netip.AddrPort]bool, len(list))
	for _, agent := range list {
		listed[agent.Addr] = true
		if c, ok := a.known[agent.Addr]; ok {
			c.setRecord(agent)
			continue
		}
		c := newAgentConnection(agent)
		a.known[agent.Addr] = c
		a.logs.LogEvent("agent_address", "", []any{"agent", agent.ID, "addr", agent.Addr, "domain", agent.Domain})
		if a.ctx != nil {
			a.startLocked(c)
		}
	}
	for addr, c := range a.known {
		if !listed[addr] {
			delete(a.known, addr)
			if c.cancel != nil {
				c.cancel()
			}
		}
	}
}

// keepConnected connects to the agent, and connects again each time its incarnation has ended
// or may have, its record has changed, or the connection was lost and nobody has reopened it.
func (a *agentConnector) keepConnected(ctx context.Context, c *agentConnection) {
	if d := c.agent.Domain; d != "" && d != a.domain {
		lifecycle.Wait(otherDomainDelay, ctx.Done())
	}
	delay, connectedAt := minConnectDelay, time.Now()
	for ctx.Err() == nil {
		ref, err := a.transport.Connect(ctx, c.agent.Addr.String())
		if err != nil {
			if c.waitToRetry(ctx, delay/2+rand.N(delay)) {
				delay = nextConnectDelay(delay, time.Since(connectedAt))
			} else {
				delay = minConnectDelay
			}
			continue
		}
		delay = minConnectDelay
		a.handleConnected(c, ref)
		a.waitUntilLost(ctx, c, ref)
		connectedAt = time.Now()
	}
}

// handleConnected passes the incarnation that has answered at the address of c to the
// transport and to the core.
func (a *agentConnector) handleConnected(c *agentConnection, ref node.Ref) {
	former := a.addPeer(c, ref)
	connected := dispatch.AgentConnected{Agent: ref, Domain: c.agent.Domain}
	switch {
	case former.IsZero() || former == ref:
	case former.ID == ref.ID:
		connected.Former = former
	default:
		a.loop.Post(step.PeerSuspect{Ref: former, Hint: liveness.Displaced})
	}
	a.loop.Post(connected)
}

// waitUntilLost waits until there is a reason to connect to the address of c again, where ref
// has answered.
func (a *agentConnector) waitUntilLost(ctx context.Context, c *agentConnection, ref node.Ref) {
	check := time.NewTicker(a.checkInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.lost:
			return
		case <-c.restarted:
			if a.recordedIncarnation(c) != ref.Incarnation {
				return
			}
		case <-check.C:
			if !a.transport.Connected(ref) {
				return
			}
		}
	}
}

func (a *agentConnector) recordedIncarnation(c *agentConnection) node.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.agent.Incarnation
}

// waitToRetry waits for the delay and returns true, or returns false as soon as the agent has
// restarted.
func (c *agentConnection) waitToRetry(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-c.restarted:
		return false
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// addPeer stores the incarnation that answered at the address of c, and returns the one that
// answered before. It passes all known incarnations to the transport, which reopens broken
// connections to them.
func (a *agentConnector) addPeer(c *agentConnection, ref node.Ref) (former node.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	former, c.ref = c.ref, ref
	var peers []transport.Peer
	for _, o := range a.known {
		if !o.ref.IsZero() {
			peers = append(peers, transport.Peer{Ref: o.ref, Addr: o.agent.Addr.String()})
		}
	}
	a.transport.SetPeers(peers)
	return former
}

// peerLost makes keepConnected connect again after the incarnation ref has ended or may have.
func (a *agentConnector) peerLost(ref node.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.known {
		if c.ref == ref {
			notify(c.lost)
		}
	}
}
