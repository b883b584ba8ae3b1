package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pace"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// largeFleetInterval is the interval of idle agents' heartbeats in a fleet of 35 dispatchers.
const largeFleetInterval = 1950 * time.Millisecond

// sendIdleHeartbeats lets n agents send heartbeats that announce largeFleetInterval.
func (b *testBed) sendIdleHeartbeats(n int) {
	for i := range n {
		b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, IdleInterval: largeFleetInterval}})
	}
}

// TestIdleAgentStaysUsable checks that an agent without runs, which has announced a long
// interval between its heartbeats, gets work until the second heartbeat in a row is overdue.
func TestIdleAgentStaysUsable(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 4)
	b.sendIdleHeartbeats(1)
	b.advance(2 * largeFleetInterval)
	b.submit("early", 0, 1, time.Millisecond)
	offers := b.takeOffers()
	if len(offers) != 1 {
		t.Fatalf("got %d offers %v after the last heartbeat, want 1", len(offers), 2*largeFleetInterval)
	}
	if offers[0].EchoAge != 2*largeFleetInterval {
		t.Errorf("got echo age %v, want %v", offers[0].EchoAge, 2*largeFleetInterval)
	}
	b.complete(offers[0], message.RunDone, "")
	b.advance(pace.SuspectAfter(largeFleetInterval) + 50*time.Millisecond)
	b.submit("late", 0, 1, time.Millisecond)
	if offers := b.takeOffers(); len(offers) != 0 {
		t.Errorf("got offers %+v to an agent whose heartbeats are overdue, want none", offers)
	}
}

// TestSilentAgentWithWork checks that an agent with an open offer is suspected as soon as
// heartbeats at the pace of the lease are overdue, counted from the offer, and that its task
// starts elsewhere only after the lease that the offer began.
func TestSilentAgentWithWork(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	b.sendIdleHeartbeats(2)
	b.advance(largeFleetInterval - 100*time.Millisecond)
	b.submit("j", 0, 1, time.Millisecond)
	first := b.takeOffers()[0]
	b.confirmStart(first)
	offeredAt, silent := b.now, 0
	if b.offeredTo[first.Seq] == "a1" {
		silent = 1
	}
	b.advance(pace.SuspectAfter(lease.HeartbeatInterval) + 50*time.Millisecond)
	if a := b.core.agents[ref(silent)]; !a.suspect {
		t.Errorf("agent %s is not suspected %v after the offer", a.ref, b.now-offeredAt)
	}
	for len(b.offers) == 0 && b.now < offeredAt+2*lease.RunExpiry {
		b.now += 10 * time.Millisecond
		b.receive(1-silent, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, IdleInterval: largeFleetInterval}})
	}
	if waited := b.now - offeredAt; len(b.offers) == 0 || waited <= lease.RunExpiry || waited > lease.RunExpiry+100*time.Millisecond {
		t.Errorf("got %d offers %v after the first one, want one soon after %v", len(b.offers), waited, lease.RunExpiry)
	}
}

// TestSilentDomain checks that, when an agent with work falls silent, the idle agents of its
// failure domain get no work until they have answered a heartbeat: the whole domain may be
// cut off or without power. Agents of other domains are not affected.
func TestSilentDomain(t *testing.T) {
	b := newTestBed(t)
	for i := range 4 {
		b.step(AgentConnected{Agent: ref(i), Domain: []string{"z0", "z0", "z0", "z1"}[i]})
	}
	b.reportIdle(4, 1)
	b.sendIdleHeartbeats(4)
	b.advance(time.Second)
	b.submit("j", 0, 1, time.Second)
	if to := b.offeredTo[b.takeOffers()[0].Seq]; to != "a0" {
		t.Fatalf("the task went to %s, want a0 in the domain of the dispatcher", to)
	}
	b.advance(pace.SuspectAfter(lease.HeartbeatInterval) + 50*time.Millisecond)
	for i, want := range []bool{false, true, true, false} {
		if got := b.heartbeats[ref(i).ID].WantReply; got != want {
			t.Errorf("agent a%d: got a request for a heartbeat %t, want %t", i, got, want)
		}
	}
	b.receive(2, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, IdleInterval: largeFleetInterval}})
	b.submit("next", 0, 3, time.Second)
	got := map[string]bool{}
	for _, o := range b.takeOffers() {
		got[string(b.offeredTo[o.Seq])] = true
	}
	if got["a0"] || got["a1"] || !got["a2"] || !got["a3"] {
		t.Errorf("got offers to %v, want a2, which has answered, and a3, which is in another domain", got)
	}
}

// TestCompletionIsASignOfLife checks that an agent that reports completions is not suspected.
func TestCompletionIsASignOfLife(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 4)
	for range 10 {
		b.submit("j", 0, 1, time.Millisecond)
		offers := b.takeOffers()
		if len(offers) != 1 {
			t.Fatalf("got %d offers to an agent that reports completions, want 1", len(offers))
		}
		b.advance(150 * time.Millisecond)
		b.complete(offers[0], message.RunDone, "")
	}
	b.step(step.Tick{})
	if a := b.core.agents[ref(0)]; a.suspect {
		t.Error("the agent is suspected")
	}
}

// TestDoubtedDomainRefusesNothing checks that a job is accepted while all agents have been
// asked for a heartbeat, and placed when the first of them answers.
func TestDoubtedDomainRefusesNothing(t *testing.T) {
	b := newTestBed(t)
	for i := range 2 {
		b.step(AgentConnected{Agent: ref(i), Domain: "z0"})
	}
	b.advance(startGrace) // Until then, jobs are accepted without any agent.
	b.reportIdle(2, 1)
	b.sendIdleHeartbeats(2)
	b.advance(time.Second)
	b.submit("first", 0, 1, time.Second)
	b.takeOffers()
	b.advance(pace.SuspectAfter(lease.HeartbeatInterval) + 50*time.Millisecond)
	call := b.submit("second", 0, 1, time.Millisecond)
	if a, ok := b.answers[call]; ok {
		t.Fatalf("got answer %+v while the domain is doubted, want the job to wait", a)
	}
	b.receive(1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, IdleInterval: largeFleetInterval}})
	if got := jobIDs(b.takeOffers()); len(got) != 1 || got[0] != "second" {
		t.Errorf("got offers of %v after the answer, want the second job", got)
	}
}

// TestFaultyInterval checks that an agent which states an endless interval is suspected all
// the same.
func TestFaultyInterval(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 4)
	b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, IdleInterval: math.MaxInt64}})
	b.advance(time.Minute)
	if a := b.core.agents[ref(0)]; !a.suspect {
		t.Error("the agent is not suspected after a minute without a message")
	}
}
