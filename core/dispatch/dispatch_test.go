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
	b := newBench(t)
	b.agents(2, 4)
	call := b.submit("j", 0, 3, 50*time.Millisecond)
	offers := b.take()
	if len(offers) != 3 {
		t.Fatalf("%d offers, want 3", len(offers))
	}
	for i, o := range offers {
		if _, ok := b.answers[call]; ok {
			t.Fatalf("answered after %d tasks", i)
		}
		b.end(o, message.RunDone, "")
	}
	if a := b.answers[call]; a.Outcome != Completed {
		t.Errorf("answer: %+v", a)
	}
}

func TestRefusedAtOnce(t *testing.T) {
	b := newBench(t)
	b.pass(startGrace)
	if a := b.answers[b.submit("late", 0, 1, 0)]; a.Outcome != Refused || a.Reason != reasonNoUpstream || a.RetryAfter == 0 {
		t.Errorf("without an agent: %+v", a)
	}
	b.agents(1, 4)
	b.calls++
	b.step(Submit{Call: b.calls, Job: Job{
		ID: "large", Wait: time.Second, Route: &site.Route{Service: "s", MaxAttempts: 1},
		Steps: []Step{{Count: 1, Demand: message.Resources{MilliCPU: 5 * core1}}},
	}})
	if a := b.answers[b.calls]; a.Outcome != Refused || a.Reason != reasonTooLarge {
		t.Errorf("larger than every upstream: %+v", a)
	}
	if len(b.take()) != 0 {
		t.Error("a refused job was offered")
	}
}

// TestStartingDispatcher: after a loss of all processes, callers come back before the
// agents have heard of their upstreams. Their jobs wait for a moment.
func TestStartingDispatcher(t *testing.T) {
	b := newBench(t)
	call := b.submit("early", 0, 1, 50*time.Millisecond)
	if a, ok := b.answers[call]; ok {
		t.Fatalf("answered at once: %+v", a)
	}
	b.pass(500 * time.Millisecond)
	b.agents(1, 4)
	if len(b.take()) != 1 {
		t.Error("not offered to the first agent")
	}
}

func TestFailedTaskIsTriedElsewhere(t *testing.T) {
	b := newBench(t)
	b.agents(2, 4)
	call := b.submit("j", 0, 1, 50*time.Millisecond)
	first := b.take()[0]
	b.end(first, message.RunFailed, "")
	second := b.take()
	if len(second) != 1 || b.to[second[0].Seq] == b.to[first.Seq] || second[0].RunNumber <= first.RunNumber {
		t.Fatalf("second try: %+v after %+v", second, first)
	}
	b.end(second[0], message.RunFailed, "")
	if a := b.answers[call]; a.Outcome != Failed {
		t.Errorf("answer after the last attempt: %+v", a)
	}
}

func TestLostRunIsNoAttempt(t *testing.T) {
	b := newBench(t)
	b.agents(2, 4)
	call := b.submit("j", 0, 1, 50*time.Millisecond)
	for range 3 {
		b.end(b.take()[0], message.RunLost, "")
	}
	if a, ok := b.answers[call]; ok {
		t.Errorf("answered after losses: %+v", a)
	}
}

func TestDomainOutGetsNoOffers(t *testing.T) {
	b := newBench(t)
	b.agents(2, 4)
	b.step(SiteChanged{State: &site.State{Revision: 2, Configured: true, DomainsOut: []string{"z0"}}})
	b.step(SiteChanged{State: &site.State{Revision: 1, Configured: true}}) // Older: without effect.
	b.submit("j", 0, 4, 50*time.Millisecond)
	for _, o := range b.take() {
		if b.to[o.Seq] == "a0" {
			t.Errorf("offered in a domain that is out: %+v", o)
		}
	}
}

// TestSilentAgent holds the tasks of a silent agent back until its leases have
// lapsed, and no longer.
func TestSilentAgent(t *testing.T) {
	b := newBench(t)
	b.agents(2, 4)
	b.submit("j", 0, 1, time.Millisecond)
	first := b.take()[0]
	silent := b.to[first.Seq]
	heard := b.now
	other := 0
	if silent == "a0" {
		other = 1
	}
	for b.now < heard+lease.RunExpiry+100*time.Millisecond {
		b.now += 50 * time.Millisecond
		b.receive(other, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1}})
		if len(b.take()) == 0 {
			continue
		}
		if b.now < heard+lease.RunExpiry {
			t.Errorf("started elsewhere after %v, before the leases lapse", b.now-heard)
		}
		return
	}
	t.Error("not started elsewhere after the leases have lapsed")
}

// TestEndedAgent counts the upstream's lease from the moment at which the end of the
// agent was noticed: it may have renewed the lease until then.
func TestEndedAgent(t *testing.T) {
	b := newBench(t)
	b.agents(2, 4)
	b.submit("j", 0, 1, time.Millisecond)
	first := b.take()[0]
	dead := 0
	if b.to[first.Seq] == "a1" {
		dead = 1
	}
	b.now += 190 * time.Millisecond
	b.step(step.PeerDead{Ref: ref(dead)})
	noticed := b.now
	for b.now < noticed+lease.UpstreamExpiry {
		b.now += 10 * time.Millisecond
		b.receive(1-dead, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1}})
		if len(b.take()) > 0 && b.now < noticed+lease.UpstreamExpiry {
			t.Fatalf("started elsewhere %v after the agent's end", b.now-noticed)
		}
	}
}

func TestCallerGone(t *testing.T) {
	b := newBench(t)
	b.agents(1, 1)
	call := b.submit("j", 0, 2, 50*time.Millisecond)
	offered := b.take()
	b.step(CallerGone{Call: call})
	if !slices.Equal(b.recalls, []uint64{offered[0].Seq}) {
		t.Errorf("recalled %v, want the one that was offered", b.recalls)
	}
	b.end(offered[0], message.RunStopped, "")
	if len(b.take()) != 0 {
		t.Error("the other task was offered")
	}
}

// TestNotRunIsTrue: a job whose offers were all refused is refused at its deadline, one
// that may have run is interrupted.
func TestNotRunIsTrue(t *testing.T) {
	b := newBench(t)
	b.agents(1, 1)
	untouched := b.submit("a", 0, 1, time.Millisecond)
	b.end(b.take()[0], message.RunRefused, message.RefusedNotReady)
	first := b.take()
	if len(first) == 1 {
		b.end(first[0], message.RunRefused, message.RefusedNoCapacity)
	}
	b.step(step.PeerDead{Ref: ref(0)})
	b.pass(1600 * time.Millisecond)
	got := b.answers[untouched]
	if want := Refused; got.Outcome != want && len(b.take()) == 0 {
		t.Errorf("never started: %+v, want %s", got, want)
	}

	b = newBench(t)
	b.agents(1, 1)
	started := b.submit("b", 0, 1, time.Millisecond)
	b.pass(1600 * time.Millisecond)
	if got := b.answers[started]; got.Outcome != Interrupted {
		t.Errorf("may have run: %+v", got)
	}
}

func TestSubmittedAgainHere(t *testing.T) {
	b := newBench(t)
	b.agents(1, 4)
	first := b.submit("j", 0, 1, 50*time.Millisecond)
	offer := b.take()[0]
	second := b.submit("j", 0, 1, 50*time.Millisecond)
	if len(b.take()) != 0 {
		t.Fatal("the task was offered a second time")
	}
	b.end(offer, message.RunDone, "")
	if b.answers[first].Outcome != Interrupted || b.answers[second].Outcome != Completed {
		t.Errorf("answers: %+v", b.answers)
	}
}

// TestPausedProcess gives up what was open, and what arrives right after the pause: it
// may have been sent again elsewhere.
func TestPausedProcess(t *testing.T) {
	b := newBench(t)
	b.agents(1, 4)
	open := b.submit("open", 0, 1, 50*time.Millisecond)
	b.take()
	b.now += 2 * time.Second
	buffered := b.submit("buffered", 0, 1, 50*time.Millisecond)
	if b.answers[open].Outcome != Interrupted || b.answers[buffered].Outcome != Interrupted || len(b.take()) != 0 {
		t.Errorf("answers: %+v", b.answers)
	}
	b.pass(resumeGrace)
	b.beat(1, 4)
	b.submit("later", 0, 1, 50*time.Millisecond)
	if len(b.take()) != 1 {
		t.Error("a job that came after the pause was not offered")
	}
}
