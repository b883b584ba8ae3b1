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
	// minConnectPause and maxConnectPause bound the pause between two attempts to
	// reach an agent: an agent that restarts is found within a fraction of a second,
	// and one that has gone for good costs little.
	minConnectPause = 20 * time.Millisecond
	maxConnectPause = 300 * time.Millisecond
)

// agents keeps a connection with every agent that is known.
type agents struct {
	transport *transport.Transport
	loop      *process.Loop
	logs      *telemetry.Logger

	// informed is set once the store has said which agents there are.
	informed atomic.Bool

	mu    sync.Mutex
	ctx   context.Context
	known map[netip.AddrPort]*keeper
}

// keeper keeps the connection with the agent at one address.
type keeper struct {
	agent  sitestore.Agent
	cancel context.CancelFunc
	// ref is the run that answered last, or zero.
	ref  node.Ref
	gone chan struct{}
}

func newAgents(t *transport.Transport, l *process.Loop, logs *telemetry.Logger) *agents {
	return &agents{transport: t, loop: l, logs: logs, known: make(map[netip.AddrPort]*keeper)}
}

// Run lets connections be opened until ctx ends.
func (a *agents) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	for _, k := range a.known {
		a.startLocked(k)
	}
	a.mu.Unlock()
	<-ctx.Done()
	return nil
}

func (a *agents) startLocked(k *keeper) {
	ctx, cancel := context.WithCancel(a.ctx)
	k.cancel = cancel
	go a.keep(ctx, k)
}

// set replaces the agents that are known. Connections with others are kept as long
// as they last, and not opened again.
func (a *agents) set(list []sitestore.Agent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	named := make(map[netip.AddrPort]bool, len(list))
	for _, agent := range list {
		named[agent.Addr] = true
		if _, ok := a.known[agent.Addr]; ok {
			continue
		}
		k := &keeper{agent: agent, gone: make(chan struct{}, 1)}
		a.known[agent.Addr] = k
		a.logs.LogEvent("agent_address", "", []any{"agent", agent.ID, "addr", agent.Addr, "domain", agent.Domain})
		if a.ctx != nil {
			a.startLocked(k)
		}
	}
	for addr, k := range a.known {
		if !named[addr] {
			delete(a.known, addr)
			if k.cancel != nil {
				k.cancel()
			}
		}
	}
}

// keep opens a connection, and again each time the agent's run has ended.
func (a *agents) keep(ctx context.Context, k *keeper) {
	wait := minConnectPause
	for ctx.Err() == nil {
		ref, err := a.transport.Connect(ctx, k.agent.Addr.String())
		if err != nil {
			lifecycle.Wait(wait/2+rand.N(wait), ctx.Done())
			wait = min(2*wait, maxConnectPause)
			continue
		}
		wait = minConnectPause
		a.found(k, ref)
		a.loop.Post(dispatch.AgentConnected{Agent: ref, Domain: k.agent.Domain})
		select {
		case <-ctx.Done():
		case <-k.gone:
		}
	}
}

// found tells the transport the address of a run, so that it opens connections
// with it by itself.
func (a *agents) found(k *keeper, ref node.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k.ref = ref
	var peers []transport.Peer
	for _, o := range a.known {
		if !o.ref.IsZero() {
			peers = append(peers, transport.Peer{Ref: o.ref, Addr: o.agent.Addr.String()})
		}
	}
	a.transport.SetPeers(peers)
}

// lost says that a run has ended: another one may answer at its address.
func (a *agents) lost(ref node.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, k := range a.known {
		if k.ref == ref {
			select {
			case k.gone <- struct{}{}:
			default:
			}
		}
	}
}
