package dispatchd

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
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
)

// agentConnector keeps a connection to every known agent.
type agentConnector struct {
	// domain is the failure domain of this process.
	domain    string
	transport *transport.Transport
	loop      *process.Loop
	logs      *telemetry.Logger

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
	// peerDied receives a value when the incarnation in ref has ended, and restarted when
	// the agent's record names another incarnation than before.
	peerDied, restarted chan struct{}
}

func newAgentConnection(agent sitestore.Agent) *agentConnection {
	return &agentConnection{agent: agent, peerDied: make(chan struct{}, 1), restarted: make(chan struct{}, 1)}
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
	return &agentConnector{domain: domain, transport: t, loop: l, logs: logs, known: make(map[netip.AddrPort]*agentConnection)}
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

// keepConnected connects to the agent, and connects again each time the agent's
// incarnation has ended.
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
		a.addPeer(c, ref)
		a.loop.Post(dispatch.AgentConnected{Agent: ref, Domain: c.agent.Domain})
		select {
		case <-ctx.Done():
		case <-c.peerDied:
		}
		connectedAt = time.Now()
	}
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

// addPeer stores the incarnation that answered at the address of c. It then passes all
// known incarnations to the transport, which reopens broken connections to them.
func (a *agentConnector) addPeer(c *agentConnection, ref node.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.ref = ref
	var peers []transport.Peer
	for _, o := range a.known {
		if !o.ref.IsZero() {
			peers = append(peers, transport.Peer{Ref: o.ref, Addr: o.agent.Addr.String()})
		}
	}
	a.transport.SetPeers(peers)
}

// peerDead makes keepConnected connect again after the incarnation ref has ended, because
// a new incarnation may answer at the same address.
func (a *agentConnector) peerDead(ref node.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.known {
		if c.ref == ref {
			notify(c.peerDied)
		}
	}
}
