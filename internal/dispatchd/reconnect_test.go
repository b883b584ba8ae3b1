package dispatchd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loop"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/sitestore"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// testWait bounds every wait of a test; only a failing test reaches it.
const testWait = 10 * time.Second

// discard is the transport.Handler of an agent that answers nothing.
type discard struct{}

func (discard) Deliver(message.Envelope)            {}
func (discard) PeerReset(node.Ref)                  {}
func (discard) PeerSuspect(node.Ref, liveness.Sign) {}
func (discard) PeerDead(node.Ref)                   {}

// reconnectTest is a dispatcher's connector and transport, and one agent behind a relay.
type reconnectTest struct {
	t      *testing.T
	d      *Daemon
	relay  *relay
	record sitestore.Agent
	// agent is the live process, and live its incarnation.
	agent *transport.Transport
	live  node.Ref
	// connected is the incarnation that the core has last been told to be connected.
	connected atomic.Pointer[node.Ref]
	// ended holds the incarnations of which a proof of their end was reported.
	ended chan node.Ref
}

func newReconnectTest(t *testing.T) *reconnectTest {
	r := &reconnectTest{t: t, relay: newRelay(t), ended: make(chan node.Ref, 1000)}
	r.connected.Store(&node.Ref{})
	r.d = &Daemon{loop: process.NewLoop(loop.Config[step.Event, step.Action]{
		Step: func(_ clock.Now, event step.Event) []step.Action {
			switch e := event.(type) {
			case dispatch.AgentConnected:
				r.connected.Store(&e.Agent)
				if !e.Former.IsZero() {
					r.ended <- e.Former
				}
			case step.PeerDead:
				r.ended <- e.Ref
			}
			return nil
		},
		Execute: func(step.Action) {},
	})}
	r.d.transport = r.listen(node.Ref{ID: "d", Incarnation: 1}, handler{r.d})
	r.d.agents = newAgentConnector("z", r.d.transport, r.d.loop, telemetry.NewLogger("test"))
	r.d.agents.checkInterval = 20 * time.Millisecond
	r.restart("a")
	r.record = sitestore.Agent{ID: "a", Addr: netip.MustParseAddrPort(r.relay.addr), Domain: "z", Incarnation: r.live.Incarnation}
	r.d.agents.setAgents([]sitestore.Agent{r.record})
	for _, run := range []func(context.Context) error{r.d.loop.Run, r.d.agents.Run} {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
	return r
}

func (r *reconnectTest) listen(self node.Ref, h transport.Handler) *transport.Transport {
	tr, err := transport.Listen(transport.Config{Self: self, Listen: "127.0.0.1:0", Handler: h, DialTimeout: 50 * time.Millisecond})
	if err != nil {
		r.t.Fatal(err)
	}
	go func() { _ = tr.Run(context.Background()) }()
	r.t.Cleanup(func() { _ = tr.Close() })
	return tr
}

// restart ends the live process, if any, and starts one with this ID at the same address.
func (r *reconnectTest) restart(id node.ID) {
	if r.agent != nil {
		_ = r.agent.Close()
	}
	r.live = node.Ref{ID: id, Incarnation: r.live.Incarnation + 1}
	r.agent = r.listen(r.live, discard{})
	r.relay.setTarget(r.agent.Addr())
}

// send sends a message to the incarnation that was connected last, as the core does.
func (r *reconnectTest) send() {
	r.d.transport.Send(*r.connected.Load(), message.Message{Heartbeat: &message.Heartbeat{Timestamp: 1}})
}

// expectConnected waits until the live process is connected. Meanwhile it sends messages to
// the incarnation that was connected last, unless the core has forgotten it.
func (r *reconnectTest) expectConnected(forgotten bool) {
	r.t.Helper()
	for end := time.Now().Add(testWait); *r.connected.Load() != r.live || !r.d.transport.Connected(r.live); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("the live agent %s is not connected, the last one connected was %s", r.live, *r.connected.Load())
		}
		if !forgotten {
			r.send()
		}
	}
	// The live process must not have been reported to have ended.
	for {
		select {
		case ref := <-r.ended:
			if ref == r.live {
				r.t.Fatalf("the live agent %s was reported to have ended", ref)
			}
		default:
			return
		}
	}
}

// TestLiveAgentIsConnected guards against agents that are lost for good: whatever the order of
// refused and reset connections, silence, restarts and other machines at the address, the
// agent that is alive in the end is connected.
func TestLiveAgentIsConnected(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 1))
			r := newReconnectTest(t)
			r.expectConnected(false)
			faults := []func(){
				r.relay.refuse, r.relay.refuse, r.relay.open, r.relay.open, r.relay.reset,
				func() { r.relay.setSilent(true) },
				func() { r.relay.setSilent(false) },
				func() { r.restart("a") },
				func() { r.restart("b") },
				func() { r.d.transport.Reset(*r.connected.Load()) },
				r.send, r.send,
				func() {
					r.record.Incarnation = r.live.Incarnation
					r.d.agents.setAgents([]sitestore.Agent{r.record})
				},
			}
			for range 3 + rnd.IntN(12) {
				faults[rnd.IntN(len(faults))]()
				time.Sleep(time.Duration(rnd.Int64N(int64(15 * time.Millisecond))))
			}
			r.relay.open()
			r.relay.setSilent(false)
			r.expectConnected(rnd.IntN(2) == 0)
		})
	}
}

// TestAgentIsFoundAgain plays the orders of events that have lost agents for good.
func TestAgentIsFoundAgain(t *testing.T) {
	tests := map[string]func(r *reconnectTest){
		"refused twice": func(r *reconnectTest) {
			for range 2 {
				r.relay.refuse()
				r.send()
				time.Sleep(20 * time.Millisecond)
				r.relay.open()
				r.expectConnected(false)
			}
			r.d.transport.Reset(r.live)
			r.expectConnected(false)
		},
		"forgotten after a long silence": func(r *reconnectTest) {
			r.d.transport.Reset(r.live)
			r.expectConnected(true)
		},
		"another machine at the address": func(r *reconnectTest) {
			r.relay.setSilent(true)
			former := r.live
			r.restart("b")
			r.relay.reset()
			r.relay.setSilent(false)
			r.expectConnected(false)
			if len(r.ended) != 0 {
				r.t.Errorf("got a proof that %s has ended, want none", former)
			}
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReconnectTest(t)
			r.expectConnected(false)
			play(r)
		})
	}
}
