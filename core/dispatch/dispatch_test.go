package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

func TestJobIsCompletedWithItsLastTask(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	call := b.submit("j", 0, 3, 50*time.Millisecond)
	offers := b.takeOffers()
	if len(offers) != 3 {
		t.Fatalf("got %d offers, want 3", len(offers))
	}
	for i, o := range offers {
		if _, ok := b.answers[call]; ok {
			t.Fatalf("job with 3 tasks answered after %d of them", i)
		}
		b.complete(o, message.RunDone, "")
	}
	if a := b.answers[call]; a.Outcome != Completed {
		t.Errorf("got answer %+v, want a completed job", a)
	}
}

func TestRefusedAtOnce(t *testing.T) {
	b := newTestBed(t)
	b.advance(startGrace)
	if a := b.answers[b.submit("late", 0, 1, 0)]; a.Outcome != Refused || a.Reason != reasonNoUpstream || a.RetryAfter == 0 {
		t.Errorf("job without a known agent: got %+v, want a refusal with a retry delay", a)
	}
	b.connectAgents(1, 4)
	b.calls++
	b.step(Submit{Call: b.calls, Job: Job{
		ID: "large", Wait: time.Second, Route: &site.Route{Service: "s", MaxAttempts: 1},
		Steps: []Step{{Count: 1, Demand: message.Resources{MilliCPU: 5 * oneCore}}},
	}})
	if a := b.answers[b.calls]; a.Outcome != Refused || a.Reason != reasonTooLarge {
		t.Errorf("job larger than every upstream: got %+v, want a refusal", a)
	}
	if len(b.takeOffers()) != 0 {
		t.Error("got offers of a refused job, want none")
	}
}

// TestStartingDispatcher guards against refused jobs after a restart of all processes:
// callers return before the agents know their upstreams, so their jobs wait for a moment.
func TestStartingDispatcher(t *testing.T) {
	b := newTestBed(t)
	call := b.submit("early", 0, 1, 50*time.Millisecond)
	if a, ok := b.answers[call]; ok {
		t.Fatalf("got answer %+v before an agent could connect, want none", a)
	}
	b.advance(500 * time.Millisecond)
	b.connectAgents(1, 4)
	if len(b.takeOffers()) != 1 {
		t.Error("task of the waiting job not offered to the first agent")
	}
}

func TestFailedTaskIsTriedElsewhere(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	call := b.submit("j", 0, 1, 50*time.Millisecond)
	first := b.takeOffers()[0]
	b.complete(first, message.RunFailed, "")
	second := b.takeOffers()
	if len(second) != 1 || b.offeredTo[second[0].Seq] == b.offeredTo[first.Seq] || second[0].RunNumber <= first.RunNumber {
		t.Fatalf("got second offers %+v after %+v, want one to another agent with a higher run number", second, first)
	}
	b.complete(second[0], message.RunFailed, "")
	if a := b.answers[call]; a.Outcome != Failed {
		t.Errorf("got answer %+v after the last attempt, want a failed job", a)
	}
}

func TestLostRunIsNoAttempt(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	call := b.submit("j", 0, 1, 50*time.Millisecond)
	for range 3 {
		b.complete(b.takeOffers()[0], message.RunLost, "")
	}
	if a, ok := b.answers[call]; ok {
		t.Errorf("got answer %+v after lost runs, want another offer", a)
	}
}

func TestDomainOutGetsNoOffers(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	b.step(SiteChanged{State: &site.State{Revision: 2, Configured: true, DomainsOut: []string{"z0"}}})
	b.step(SiteChanged{State: &site.State{Revision: 1, Configured: true}}) // An older revision has no effect.
	b.submit("j", 0, 4, 50*time.Millisecond)
	for _, o := range b.takeOffers() {
		if b.offeredTo[o.Seq] == "a0" {
			t.Errorf("got offer %+v to an agent in a failure domain that is taken out", o)
		}
	}
}

// TestUnresponsiveAgent guards against two concurrent runs of one task: the task
// of an unresponsive agent must start elsewhere only when the agent's leases have lapsed,
// and soon after that.
func TestUnresponsiveAgent(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	b.submit("j", 0, 1, time.Millisecond)
	first := b.takeOffers()[0]
	b.confirmStart(first)
	unresponsive := b.offeredTo[first.Seq]
	lastHeartbeat := b.now
	other := 0
	if unresponsive == "a0" {
		other = 1
	}
	for b.now < lastHeartbeat+lease.RunExpiry+100*time.Millisecond {
		b.now += 50 * time.Millisecond
		b.receive(other, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1}})
		if len(b.takeOffers()) == 0 {
			continue
		}
		if b.now < lastHeartbeat+lease.RunExpiry {
			t.Errorf("task started elsewhere %v after the last heartbeat, before the leases lapse", b.now-lastHeartbeat)
		}
		return
	}
	t.Error("task not started elsewhere after the leases have lapsed")
}

func TestCallerGone(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	call := b.submit("j", 0, 2, 50*time.Millisecond)
	offered := b.takeOffers()
	b.step(CallerGone{Call: call})
	if !slices.Equal(b.revoked, []uint64{offered[0].Seq}) {
		t.Errorf("got revoked offers %v, want the one open offer", b.revoked)
	}
	b.complete(offered[0], message.RunStopped, "")
	if len(b.takeOffers()) != 0 {
		t.Error("the second task was offered although the caller is gone")
	}
}

// TestRefusedMeansNotRun checks that a job whose offers were all refused is refused at
// its deadline, and that a job that may have run is interrupted.
func TestRefusedMeansNotRun(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	neverStarted := b.submit("a", 0, 1, time.Millisecond)
	for _, reason := range []message.RefuseReason{message.RefusedNoCapacity, message.RefusedNotReady} {
		offers := b.takeOffers()
		if len(offers) != 1 {
			t.Fatalf("got %d offers, want 1", len(offers))
		}
		if reason == message.RefusedNotReady {
			b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{
				Version: uint64(b.now) + 1, InfoVersion: 1,
			}}})
		}
		b.complete(offers[0], message.RunRefused, reason)
	}
	b.step(step.PeerDead{Ref: ref(0)})
	b.advance(1600 * time.Millisecond)
	if offers := b.takeOffers(); len(offers) != 0 {
		t.Fatalf("got offers %+v to an agent that is not ready, want none", offers)
	}
	if got := b.answers[neverStarted]; got.Outcome != Refused {
		t.Errorf("job that was never started: got %+v, want it refused", got)
	}

	b = newTestBed(t)
	b.connectAgents(1, 1)
	started := b.submit("b", 0, 1, time.Millisecond)
	b.advance(1600 * time.Millisecond)
	if got := b.answers[started]; got.Outcome != Interrupted {
		t.Errorf("job that may have run: got %+v, want it interrupted", got)
	}
}

func TestSubmittedAgainHere(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 4)
	first := b.submit("j", 0, 1, 50*time.Millisecond)
	offer := b.takeOffers()[0]
	second := b.submit("j", 0, 1, 50*time.Millisecond)
	if len(b.takeOffers()) != 0 {
		t.Fatal("the resubmission led to a second offer of the task")
	}
	b.complete(offer, message.RunDone, "")
	if b.answers[first].Outcome != Interrupted || b.answers[second].Outcome != Completed {
		t.Errorf("got answers %+v, want the first call interrupted and the second completed", b.answers)
	}
}

// TestPausedProcess guards against a second run of a job after a pause of the process:
// jobs that were open, or that arrive right after the pause, may have been submitted to
// other dispatchers. They must be given up.
func TestPausedProcess(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 4)
	open := b.submit("open", 0, 1, 50*time.Millisecond)
	b.takeOffers()
	b.now += 2 * time.Second
	buffered := b.submit("buffered", 0, 1, 50*time.Millisecond)
	if b.answers[open].Outcome != Interrupted || b.answers[buffered].Outcome != Interrupted || len(b.takeOffers()) != 0 {
		t.Errorf("got answers %+v, want both jobs interrupted and no offer", b.answers)
	}
	b.advance(resumeGrace)
	b.reportIdle(1, 4)
	b.submit("later", 0, 1, 50*time.Millisecond)
	if len(b.takeOffers()) != 1 {
		t.Error("a job submitted after the pause was not offered")
	}
}
