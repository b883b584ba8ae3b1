package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/recent"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// cancel cancels a job at the dispatcher.
func (b *testBed) cancel(id string) {
	b.calls++
	b.step(Cancel{Call: b.calls, ID: id})
}

// expectWithdrawn submits a job of one task again, and checks that it is answered as cancelled at once
// and that nothing of it is offered.
func (b *testBed) expectWithdrawn(id string) {
	b.t.Helper()
	b.takeOffers()
	call := b.submit(id, 0, 1, 100*time.Millisecond)
	if a := b.answers[call]; a.Outcome != Withdrawn || a.Reason != reasonCancelled {
		b.t.Errorf("resubmission of %s: got answer %+v, want outcome %s", id, a, Withdrawn)
	}
	if offers := b.takeOffers(); len(offers) != 0 {
		b.t.Errorf("resubmission of %s: tasks of %q were offered, want none", id, jobIDs(offers))
	}
}

// TestCancelledJobGetsFinalAnswer guards against an answer that asks the caller to submit a
// cancelled job again, whether a task of it has started or not.
func TestCancelledJobGetsFinalAnswer(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	calls := []uint64{b.submit("running", 0, 1, 100*time.Millisecond), b.submit("waiting", 0, 1, 100*time.Millisecond)}
	offers := b.takeOffers()
	if len(offers) != 1 {
		t.Fatalf("got offers of %q, want one", jobIDs(offers))
	}
	b.cancel("waiting")
	b.cancel("running")
	for _, call := range calls {
		if a := b.answers[call]; a.Outcome != Withdrawn || a.Reason != reasonCancelled {
			t.Errorf("call %d: got answer %+v, want outcome %s", call, a, Withdrawn)
		}
	}
	if !slices.Equal(b.revoked, []uint64{offers[0].Seq}) {
		t.Errorf("revoked %v, want the offer %d", b.revoked, offers[0].Seq)
	}
}

// TestResubmissionOfCancelledJob guards against starting a cancelled job anew at the dispatcher
// that has cancelled it, and against refusing its ID for ever.
func TestResubmissionOfCancelledJob(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	b.submit("j", 0, 1, 100*time.Millisecond)
	o := b.takeOffers()[0]
	b.cancel("j")
	b.complete(o, message.RunStopped, "")
	b.now += 300 * time.Millisecond
	b.sendHeartbeats(2)
	b.expectWithdrawn("j")
	for range 2 * recent.Retention / time.Second {
		b.now += 500 * time.Millisecond
		b.sendHeartbeats(2)
	}
	b.now += 300 * time.Millisecond
	b.reportIdle(2, 4)
	b.takeOffers()
	b.submit("j", 0, 1, 100*time.Millisecond)
	if offers := b.takeOffers(); len(offers) != 1 {
		t.Errorf("%v after its cancelling: got %d offers, want the job to be served", recent.Retention, len(offers))
	}
}

// TestCancelledElsewhere guards against running a job that another dispatcher has cancelled:
// one that is submitted later, and one that is open.
func TestCancelledElsewhere(t *testing.T) {
	for name, learn := range map[string]func(b *testBed, o message.Offer){
		"by a heartbeat": func(b *testBed, _ message.Offer) {
			b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Cancelled: []string{"j"}}})
		},
		"by a refused offer": func(b *testBed, o message.Offer) { b.complete(o, message.RunRefused, message.RefusedCancelled) },
	} {
		b := newTestBed(t)
		b.connectAgents(2, 4)
		call := b.submit("j", 0, 2, 100*time.Millisecond)
		offers := b.takeOffers()
		learn(b, offers[0])
		if a := b.answers[call]; a.Outcome != Withdrawn || a.Reason != reasonCancelled {
			t.Errorf("%s: got answer %+v, want outcome %s", name, a, Withdrawn)
		}
		if !slices.Contains(b.revoked, offers[1].Seq) {
			t.Errorf("%s: revoked %v, want also the offer %d", name, b.revoked, offers[1].Seq)
		}
		b.expectWithdrawn("j")
	}
}

// TestCancellationIsAnnounced guards against other dispatchers that learn of a cancellation
// too late or never, and against announcements without bound in a wave of cancellations.
func TestCancellationIsAnnounced(t *testing.T) {
	b := newTestBed(t)
	const agentCount = 30
	b.connectAgents(agentCount, 100)
	told := func() (agents int, jobs []string) {
		for _, hb := range b.heartbeats {
			if len(hb.Cancelled) > 0 {
				agents++
				jobs = append(jobs, hb.Cancelled...)
			}
		}
		return agents, jobs
	}
	b.submit("first", 0, 1, 100*time.Millisecond)
	clear(b.heartbeats)
	b.cancel("first")
	if agents, jobs := told(); agents != relayCount || len(jobs) != relayCount || jobs[0] != "first" {
		t.Errorf("%d agents were told at once of %q, want %d of the job", agents, jobs, relayCount)
	}
	const wave, step = 400, 10 * time.Millisecond
	for i := range wave {
		b.submit(fmt.Sprint("w", i), 0, 1, 100*time.Millisecond)
	}
	sent := 0
	for i := range wave {
		clear(b.heartbeats)
		b.cancel(fmt.Sprint("w", i))
		agents, jobs := told()
		sent += agents
		if len(jobs) > agents*maxAnnounced {
			t.Errorf("%d jobs in %d announcements, want %d each at most", len(jobs), agents, maxAnnounced)
		}
	}
	if limit := relayCount * announceBurst; sent == 0 || sent > limit {
		t.Errorf("got %d announcements at once, want 1 to %d", sent, limit)
	}
	sent = 0
	for range 3 * time.Second / step {
		clear(b.heartbeats)
		b.now += step
		b.sendHeartbeats(agentCount)
		agents, _ := told()
		sent += agents
	}
	if limit := relayCount * int(3*time.Second/(agentCount*announcePause)); sent == 0 || sent > limit {
		t.Errorf("got %d announcements within 3 s, want 1 to %d", sent, limit)
	}
	if n := b.core.Stats().CancelsForgotten; n == 0 || len(b.core.announcements.queue) != 0 {
		t.Errorf("%d jobs counted as not announced, %d still wait; want them dropped and counted", n, len(b.core.announcements.queue))
	}
}

// TestNewAgentLearnsOfCancellations guards against a cancellation that is forgotten when its
// relays restart, and against one that is remembered for ever.
func TestNewAgentLearnsOfCancellations(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 100)
	for i := range maxAnnounced + 1 {
		b.submit(fmt.Sprint(i), 0, 1, 100*time.Millisecond)
		b.cancel(fmt.Sprint(i))
		b.advance(100 * time.Millisecond)
		b.sendHeartbeats(1)
	}
	b.step(AgentConnected{Agent: ref(7), Domain: "z7"})
	if got := b.heartbeats[ref(7).ID].Cancelled; len(got) != maxAnnounced || got[maxAnnounced-1] != fmt.Sprint(maxAnnounced) {
		t.Errorf("a new agent was told of %q, want the last %d jobs", got, maxAnnounced)
	}
	b.advance(recent.Retention + 100*time.Millisecond)
	b.step(AgentConnected{Agent: ref(8), Domain: "z8"})
	if got := b.heartbeats[ref(8).ID].Cancelled; len(got) != 0 {
		t.Errorf("a new agent was told of %q, which were cancelled long ago", got)
	}
}

// TestRelayThatEndsIsReplaced guards against a cancellation that no agent knows any more when a
// dispatcher starts.
func TestRelayThatEndsIsReplaced(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(4, 100)
	b.submit("j", 0, 1, 100*time.Millisecond)
	b.cancel("j")
	first := b.core.relays("j")
	clear(b.heartbeats)
	b.step(step.PeerDead{Ref: first[0].ref})
	told := 0
	for id, hb := range b.heartbeats {
		if len(hb.Cancelled) > 0 && id != first[0].ref.ID && id != first[1].ref.ID {
			told++
		}
	}
	if told != 1 {
		t.Errorf("%d other agents were told after a relay had ended, want 1", told)
	}
}

// TestRelaysAreInDifferentDomains guards against a cancellation that is lost with one failure
// domain, or with an agent that is silent already.
func TestRelaysAreInDifferentDomains(t *testing.T) {
	b := newTestBed(t)
	for i := range 6 {
		b.step(AgentConnected{Agent: ref(i), Domain: []string{"east", "west"}[i%2]})
	}
	b.reportIdle(6, 4)
	b.now += 300 * time.Millisecond
	b.sendHeartbeats(4)
	b.now += 300 * time.Millisecond
	b.sendHeartbeats(4)
	for i := range 50 {
		relays := b.core.relays(fmt.Sprint(i))
		if len(relays) != relayCount || relays[0].domain == relays[1].domain {
			t.Fatalf("job %d: got relays %v, want %d in different domains", i, relays, relayCount)
		}
		for _, a := range relays {
			if a.ref == ref(4) || a.ref == ref(5) {
				t.Errorf("job %d: relay %s is silent", i, a.ref)
			}
		}
	}
}
