package dispatch

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// offerOne submits a job with one task to two agents, one of which starts it, and returns the time
// of the offer and the index of that agent.
func (b *testBed) offerOne() (offeredAt time.Duration, to int) {
	b.connectAgents(2, 4)
	b.submit("j", 0, 1, time.Millisecond)
	o := b.takeOffers()[0]
	b.confirmStart(o)
	if b.offeredTo[o.Seq] == "a1" {
		to = 1
	}
	return b.now, to
}

// untilOffered returns the time of the next offer. Meanwhile, the given agent sends
// heartbeats. It fails the test if there is no offer until the time limit.
func (b *testBed) untilOffered(heard int, limit time.Duration) time.Duration {
	b.t.Helper()
	for len(b.takeOffers()) == 0 {
		if b.now > limit {
			b.t.Fatalf("no task offered until %v", b.now)
		}
		b.now += 10 * time.Millisecond
		b.receive(heard, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1}})
	}
	return b.now
}

// TestRefusedConnectionIsNoProof guards against two concurrent runs of one task: an agent
// whose port refuses connections may be cut off, and keeps its runs until their leases lapse.
func TestRefusedConnectionIsNoProof(t *testing.T) {
	b := newTestBed(t)
	offeredAt, refused := b.offerOne()
	b.now += 30 * time.Millisecond
	b.step(step.PeerSuspect{Ref: ref(refused), Hint: liveness.Refused})
	if at := b.untilOffered(1-refused, offeredAt+2*lease.RunExpiry); at <= offeredAt+lease.RunExpiry {
		t.Errorf("task offered elsewhere %v after the first offer, want none within %v", at-offeredAt, lease.RunExpiry)
	}
}

// TestRefusingAgentGetsNoWork checks that an agent whose port refuses connections gets no new
// work until it is heard again, and then does.
func TestRefusingAgentGetsNoWork(t *testing.T) {
	for _, connects := range []bool{false, true} {
		b := newTestBed(t)
		b.connectAgents(1, 4)
		b.step(step.PeerSuspect{Ref: ref(0), Hint: liveness.Refused})
		b.submit("j", 0, 1, time.Millisecond)
		if offers := b.takeOffers(); len(offers) != 0 {
			t.Errorf("got offers %+v to an agent that refuses connections, want none", offers)
		}
		b.now += 50 * time.Millisecond
		if connects {
			b.step(AgentConnected{Agent: ref(0), Domain: "z0"})
			if !b.heartbeats[ref(0).ID].WantReply {
				t.Error("the agent that has connected again was not asked for a heartbeat")
			}
		} else {
			b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1}})
		}
		if offers := b.takeOffers(); len(offers) != 1 {
			t.Errorf("got %d offers once the agent was heard again, want 1", len(offers))
		}
	}
}

// TestEndedAgent guards against two concurrent runs of one task: an agent may renew the
// upstream's lease right until its process ends, and the upstream may execute its last start
// call late. The lease counts from the time at which the end was proven.
func TestEndedAgent(t *testing.T) {
	b := newTestBed(t)
	offeredAt, ended := b.offerOne()
	b.now += 20 * time.Millisecond
	proven := b.now
	b.step(step.PeerDead{Ref: ref(ended)})
	at := b.untilOffered(1-ended, offeredAt+2*lease.RunExpiry)
	if at <= proven+lease.MaxUpstreamExpiry || at >= offeredAt+lease.RunExpiry {
		t.Errorf("task offered elsewhere %v after the proof of the agent's end, want right after %v", at-proven, lease.MaxUpstreamExpiry)
	}
}

// TestRestartedAgentProvesTheEndOfRuns checks that the task of an ended agent starts again as
// soon as the next incarnation is ready, which proves that no run is left at the upstream, and
// not before, nor without the proof that the agent has ended.
func TestRestartedAgentProvesTheEndOfRuns(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		b := newTestBed(t)
		offeredAt, ended := b.offerOne()
		b.now += 100 * time.Millisecond
		next := node.Ref{ID: ref(ended).ID, Incarnation: 2}
		connected := AgentConnected{Agent: next, Domain: "z"}
		if restarted {
			connected.Former = ref(ended)
		}
		b.step(connected)
		report := func(ready bool) {
			b.step(step.Received{Envelope: message.Envelope{From: next, Messages: []message.Message{{Heartbeat: &message.Heartbeat{
				Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{Version: uint64(b.now), Ready: ready, InfoVersion: 1},
			}}}}})
			b.now += 30 * time.Millisecond
			b.receive(1-ended, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1}})
		}
		report(false)
		if offers := b.takeOffers(); len(offers) != 0 {
			t.Errorf("got offers %+v before the next incarnation was ready, want none", offers)
		}
		report(true)
		if offers := b.takeOffers(); (len(offers) == 1) != restarted {
			t.Errorf("restarted %t: got %d offers once the next incarnation was ready", restarted, len(offers))
		}
		if !restarted {
			if at := b.untilOffered(1-ended, offeredAt+2*lease.RunExpiry); at <= offeredAt+lease.RunExpiry {
				t.Errorf("task offered %v after the first offer without a proof, want none within %v", at-offeredAt, lease.RunExpiry)
			}
		}
	}
}

// TestForgottenAgentIsDisconnected guards against agents that are lost for good: the connection
// of an agent that is forgotten after a long silence is closed, so that it is connected anew.
func TestForgottenAgentIsDisconnected(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 4)
	var last []step.Action
	for b.core.agents[ref(0)] != nil {
		b.now += 300 * time.Millisecond
		last = b.core.Step(clock.Now{Mono: b.now}, step.Tick{})
		if b.now > 2*forgetUnresponsive {
			t.Fatalf("the agent is not forgotten after %v of silence", b.now)
		}
	}
	// The last action for the agent must be the one that closes its connection.
	closed := false
	for _, action := range last {
		switch a := action.(type) {
		case AgentUnresponsive:
			closed = true
		case step.Send:
			closed = closed && a.To != ref(0)
		}
	}
	if !closed {
		t.Errorf("got actions %+v when the agent was forgotten, want its connection closed", last)
	}
	b.step(AgentConnected{Agent: ref(0), Domain: "z0"})
	b.reportIdle(1, 4)
	b.submit("j", 0, 1, time.Millisecond)
	if len(b.takeOffers()) != 1 {
		t.Error("no offer to the agent after it was connected anew")
	}
}
