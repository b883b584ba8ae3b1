package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pace"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

var otherDispatcher = node.Ref{ID: "d9", Incarnation: 1}

// learnHold lets agent 0 pass on that another dispatcher holds a job for agent 1, or no longer.
func (b *testBed) learnHold(job string, released bool, left time.Duration) {
	b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, LateStarts: []message.LateStart{{
		Hold: latestart.Hold{Key: latestart.Key{Job: job, Agent: ref(1), Dispatcher: otherDispatcher}, Offer: 1, Released: released}, Left: left,
	}}}})
}

// reportReady connects an agent, which reports that it is ready.
func (b *testBed) reportReady(e AgentConnected) {
	b.step(e)
	b.step(step.Received{Envelope: message.Envelope{From: e.Agent, Messages: []message.Message{{Heartbeat: &message.Heartbeat{
		Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{Version: 1, Ready: true, InfoVersion: 1},
	}}}}})
}

// TestHeldJobIsNotStarted guards against starting a job of which a start call of an earlier
// submission may still be executed, and against one that is held although that is ruled out.
func TestHeldJobIsNotStarted(t *testing.T) {
	for name, end := range map[string]func(b *testBed){
		"the other dispatcher releases it": func(b *testBed) { b.learnHold("j", true, lease.LateStartExpiry) },
		"the next incarnation is ready": func(b *testBed) {
			b.reportReady(AgentConnected{Agent: node.Ref{ID: ref(1).ID, Incarnation: 2}, Former: ref(1), Domain: "z1"})
		},
		"it expires": func(b *testBed) {
			b.advance(450 * time.Millisecond)
			b.sendHeartbeats(2)
			b.advance(100 * time.Millisecond)
		},
	} {
		b := newTestBed(t)
		b.connectAgents(2, 4)
		b.learnHold("j", false, 600*time.Millisecond)
		call := b.submit("j", 0, 2, 100*time.Millisecond)
		b.submit("other", 0, 1, 100*time.Millisecond)
		b.advance(100 * time.Millisecond)
		if offers := b.takeOffers(); len(offers) != 1 || offers[0].Task.Job != "other" {
			t.Errorf("%s: got offers of %q while the job was held, want only the other job", name, jobIDs(offers))
		}
		end(b)
		// The open offer of the other job may be repeated after the silence.
		offers := slices.DeleteFunc(b.takeOffers(), func(o message.Offer) bool { return o.FirstSentAt != 0 && o.Task.Job == "other" })
		if len(offers) != 2 || offers[0].Task.Job != "j" || offers[1].Task.Job != "j" {
			t.Errorf("%s: got offers of %q after that, want 2 of the job; answer %+v", name, jobIDs(offers), b.answers[call])
		}
	}
}

// TestHostAtAnotherAddressReleasesNothing guards against taking a process with the ID of a lost agent
// for its next incarnation: it answers at another address, and the former host may only be cut off.
func TestHostAtAnotherAddressReleasesNothing(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	b.learnHold("j", false, lease.LateStartExpiry)
	b.submit("j", 0, 1, 100*time.Millisecond)
	b.reportReady(AgentConnected{Agent: node.Ref{ID: ref(1).ID, Incarnation: 2}, Domain: "z1"})
	if offers := b.takeOffers(); len(offers) != 0 {
		t.Errorf("got %d offers, want none", len(offers))
	}
}

// TestHeldJobIsNeverSaidNotToHaveRun guards against an answer that promises that nothing of a job
// runs while a start call of an earlier submission may be executed, and against a caller that waits
// although its job can no longer be done in time.
func TestHeldJobIsNeverSaidNotToHaveRun(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	b.learnHold("j", false, lease.LateStartExpiry)
	call := b.submit("j", 0, 1, time.Second)
	for range 10 {
		b.advance(100 * time.Millisecond)
		b.sendHeartbeats(2)
	}
	if a := b.answers[call]; a.Outcome != Interrupted || a.Reason != reasonMayStartLate {
		t.Errorf("got %+v once a task of 1 s could not be done within 1.5 s, want %s", a, Interrupted)
	}
	b.step(step.Drain{}) // refuses all jobs
	if a := b.answers[b.submit("j", 0, 1, time.Millisecond)]; a.Outcome != Interrupted {
		t.Errorf("got %+v for the held job, want %s", a, Interrupted)
	}
	if a := b.answers[b.submit("k", 0, 1, time.Millisecond)]; a.Outcome != Refused {
		t.Errorf("got %+v for another job, want %s", a, Refused)
	}
}

// TestOpenJobThatIsHeld guards against two runs of a task whose job was submitted here before the
// hold was learned: by a dispatcher that has just started, or after a delayed message.
func TestOpenJobThatIsHeld(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 1)
	running, waiting := b.submit("running", 0, 2, time.Second), b.submit("waiting", 0, 1, 100*time.Millisecond)
	offers := b.takeOffers()
	b.learnHold("running", false, lease.LateStartExpiry)
	b.learnHold("waiting", false, lease.LateStartExpiry)
	if a := b.answers[running]; a.Outcome != Interrupted || len(b.revoked) != len(offers) {
		t.Errorf("got %+v and %d revoked offers for the running job, want %s and %d", a, len(b.revoked), Interrupted, len(offers))
	}
	for _, o := range offers {
		b.complete(o, message.RunStopped, "")
	}
	if got := b.takeOffers(); len(got) != 0 || b.answers[waiting].Outcome != "" {
		t.Errorf("got offers of %q and answer %+v for the waiting job, want it held", jobIDs(got), b.answers[waiting])
	}
	b.learnHold("waiting", true, lease.LateStartExpiry)
	if got := b.takeOffers(); len(got) != 1 {
		t.Errorf("got %d offers of the waiting job once it was released, want 1", len(got))
	}
}

// TestHoldsAreAnnounced guards against another dispatcher that starts a job since nobody has told it
// that a start call may be executed, or that holds it although the run has ended.
func TestHoldsAreAnnounced(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(4, 1)
	told := func() (agents int, last message.LateStart) {
		for _, hb := range b.heartbeats {
			if n := len(hb.LateStarts); n > 0 {
				agents, last = agents+1, hb.LateStarts[n-1]
			}
		}
		return agents, last
	}
	call := b.submit("j", 0, 1, 100*time.Millisecond)
	o := b.takeOffers()[0]
	at := int(b.offeredTo[o.Seq][1] - '0')
	b.receive(at, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Unanswered: []uint64{o.Seq}}})
	if agents, _ := told(); agents != 0 {
		t.Errorf("%d agents were told of a job that is open at an agent in reach, want none", agents)
	}
	clear(b.heartbeats)
	b.step(CallerGone{Call: call})
	if agents, l := told(); agents != relayCount || l.Job != "j" || l.Agent != ref(at) || l.Released || l.Left != lease.LateStartExpiry {
		t.Errorf("%d agents were told of %+v, want %d of the hold", agents, l, relayCount)
	}
	b.submit("j", 0, 1, 100*time.Millisecond)
	if got := b.takeOffers(); len(got) != 0 {
		t.Errorf("got %d offers of the job that was submitted again here, want none", len(got))
	}
	clear(b.heartbeats)
	b.advance(50 * time.Millisecond)
	b.complete(o, message.RunStopped, "")
	if agents, l := told(); agents != relayCount || l.Job != "j" || !l.Released {
		t.Errorf("%d agents were told of %+v once the run had ended, want %d of the release", agents, l, relayCount)
	}
	if got := b.takeOffers(); len(got) != 1 {
		t.Errorf("got %d offers once the run had ended, want 1", len(got))
	}
}

// TestWitnessHoldsTheJobOfALostAgent guards against a job that is started elsewhere although an agent
// that may have ended has stated that a start call got no answer: the dispatcher that had offered
// the task may be lost too.
func TestWitnessHoldsTheJobOfALostAgent(t *testing.T) {
	for name, tt := range map[string]struct {
		released, held bool
		lose           func(b *testBed)
	}{
		"the agent lives":               {false, false, func(*testBed) {}},
		"the agent refuses connections": {false, true, func(b *testBed) { b.step(step.PeerSuspect{Ref: ref(1), Hint: liveness.Refused}) }},
		"the agent has restarted":       {false, true, func(b *testBed) { b.step(step.PeerDead{Ref: ref(1)}) }},
		"the agent is silent":           {false, true, func(b *testBed) { b.advance(pace.SuspectAfter(lease.HeartbeatInterval) + 50*time.Millisecond) }},
		"the run has ended before":      {true, false, func(b *testBed) { b.step(step.PeerDead{Ref: ref(1)}) }},
	} {
		b := newTestBed(t)
		b.connectAgents(4, 4)
		b.sendIdleHeartbeats(4)
		for _, released := range []bool{false, true} {
			if released && !tt.released {
				continue
			}
			b.receive(1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, IdleInterval: largeFleetInterval, LateStarts: []message.LateStart{{
				Hold: latestart.Hold{Key: latestart.Key{Job: "j", Dispatcher: otherDispatcher}, Offer: 3, Released: released}, Left: lease.LateStartExpiry,
			}}}})
		}
		clear(b.heartbeats)
		tt.lose(b)
		announced := 0
		for _, hb := range b.heartbeats {
			announced += len(hb.LateStarts)
		}
		if want := map[bool]int{true: relayCount}[tt.held]; announced != want {
			t.Errorf("%s: got %d announcements, want %d", name, announced, want)
		}
		b.submit("j", 0, 1, 100*time.Millisecond)
		if offers := b.takeOffers(); (len(offers) == 0) != tt.held {
			t.Errorf("%s: got %d offers of the job, want it held: %t", name, len(offers), tt.held)
		}
	}
}

// TestGivenUpJobsDisplaceNoHold guards against a hold that is forgotten, for lack of memory, in a wave
// of callers that leave: their runs end at once, and nobody needs to know of them.
func TestGivenUpJobsDisplaceNoHold(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	b.learnHold("held", false, lease.LateStartExpiry)
	for i := range latestart.MaxHolds + 1 {
		call := b.submit(fmt.Sprint(i), 0, 1, 100*time.Millisecond)
		o := b.takeOffers()[0]
		b.step(CallerGone{Call: call})
		b.complete(o, message.RunStopped, "")
	}
	b.submit("held", 0, 1, 100*time.Millisecond)
	if offers := b.takeOffers(); len(offers) != 0 {
		t.Errorf("got %d offers of the held job, want none", len(offers))
	}
}

// TestHoldsOfALostHostEnd guards against memory that grows with each host that never comes back.
func TestHoldsOfALostHostEnd(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	call := b.submit("j", 0, 1, 100*time.Millisecond)
	lost := b.core.agents[node.Ref{ID: b.offeredTo[b.takeOffers()[0].Seq], Incarnation: 1}]
	b.step(CallerGone{Call: call})
	b.step(step.PeerSuspect{Ref: lost.ref, Hint: liveness.Refused})
	if len(b.core.holds.own) != 1 {
		t.Fatalf("got %d holds, want 1", len(b.core.holds.own))
	}
	b.advance(lease.LateStartExpiry + forgetDead)
	if s := b.core.Stats(); len(b.core.holds.own) != 0 || s.JobsMayStartLate != 0 || b.core.agents[lost.ref] != nil {
		t.Errorf("%v after the loss of the host: %d holds, %d jobs, want none", lease.LateStartExpiry+forgetDead, len(b.core.holds.own), s.JobsMayStartLate)
	}
}

// TestNewAgentLearnsOfReleases guards against an agent that passes on that a job is held although it
// was released before the agent started.
func TestNewAgentLearnsOfReleases(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(4, 1)
	call := b.submit("j", 0, 1, 100*time.Millisecond)
	o := b.takeOffers()[0]
	at := int(b.offeredTo[o.Seq][1] - '0')
	b.receive(at, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Unanswered: []uint64{o.Seq}}})
	b.step(CallerGone{Call: call})
	b.complete(o, message.RunStopped, "")
	b.step(AgentConnected{Agent: ref(7), Domain: "z7"})
	list := b.heartbeats[ref(7).ID].LateStarts
	for _, l := range list {
		if !l.Released {
			t.Errorf("a new agent was told of %+v, which was released", l)
		}
	}
	if len(list) == 0 {
		t.Error("a new agent was told nothing, want the release")
	}
}
