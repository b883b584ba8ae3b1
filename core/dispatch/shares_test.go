package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"pgregory.net/rapid"
)

func newShareBed(t *testing.T, minShare float64) *testBed {
	b := newTestBed(t)
	b.core.cfg.MinShare, b.core.shares = minShare, newShareState(minShare)
	return b
}

// TestOrderWithoutContention guards against minimum shares that change the order while there
// is capacity for all jobs: random jobs get the same offers with and without them.
func TestOrderWithoutContention(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		strict, shared := newShareBed(t, 0), newShareBed(t, 0.3)
		for _, b := range []*testBed{strict, shared} {
			b.connectAgents(4, 64)
		}
		for i := range rapid.IntRange(1, 12).Draw(rt, "jobs") {
			priority, tasks := rapid.IntRange(0, 2).Draw(rt, "priority"), rapid.IntRange(1, 20).Draw(rt, "tasks")
			for _, b := range []*testBed{strict, shared} {
				b.submit(fmt.Sprint("j", i), priority, tasks, 100*time.Millisecond)
			}
		}
		if a, b := strict.takeOffers(), shared.takeOffers(); !slices.Equal(jobIDs(a), jobIDs(b)) || len(a) == 0 {
			rt.Errorf("got offers of %v with minimum shares, want %v", jobIDs(b), jobIDs(a))
		}
	})
}

// waitForBacklog lets n agents send heartbeats until the waiting jobs count as a backlog.
func (b *testBed) waitForBacklog(n int) {
	for range backlogOnset / (50 * time.Millisecond) {
		b.now += 50 * time.Millisecond
		b.sendHeartbeats(n)
	}
}

// TestShortQueueKeepsPriority guards against urgent jobs that wait for the shares of others
// below the capacity: in a queue that has formed just now, the order is that of priority.
func TestShortQueueKeepsPriority(t *testing.T) {
	b := newShareBed(t, 0.1)
	b.connectAgents(1, 1)
	b.submit("running", 0, 1, time.Second)
	b.submit("urgent-1", 0, 1, time.Second)
	b.submit("urgent-2", 0, 1, time.Second)
	b.submit("long", 2, 1, time.Second)
	for _, want := range []string{"urgent-1", "urgent-2", "long"} {
		b.complete(b.takeOffers()[0], message.RunDone, "")
		if got := jobIDs(b.offers); !slices.Equal(got, []string{want}) {
			t.Fatalf("got offers of %v, want %s", got, want)
		}
	}
}

// TestTurnByShareIsReported guards against turns by share that agents do not follow: while
// urgent jobs take all capacity, the report names the task of the other priority with the
// rank of the urgent one, and freed capacity goes to that task.
func TestTurnByShareIsReported(t *testing.T) {
	b := newShareBed(t, 0.1)
	b.connectAgents(1, 1)
	b.submit("running", 0, 1, time.Second)
	b.submit("urgent-1", 0, 1, time.Second)
	b.submit("urgent-2", 0, 1, time.Second)
	b.submit("long", 2, 1, time.Second)
	b.complete(b.takeOffers()[0], message.RunDone, "")
	first := b.takeOffers()
	if got := jobIDs(first); !slices.Equal(got, []string{"urgent-1"}) {
		t.Fatalf("got offers of %v, want the urgent job before any work is counted", got)
	}
	if w := first[0].FirstWaiting; w == nil || w.Priority != 0 {
		t.Errorf("got first waiting task %+v, want the rank of the urgent priority", w)
	}
	b.waitForBacklog(1)
	b.complete(first[0], message.RunDone, "")
	if got := jobIDs(b.takeOffers()); !slices.Equal(got, []string{"long"}) {
		t.Errorf("got offers of %v, want the priority below its minimum", got)
	}
	if b.core.Stats().ShareTurns != 1 {
		t.Errorf("got %d turns by share, want 1", b.core.Stats().ShareTurns)
	}
}

// TestTaskThatFitsNowhereKeepsNoTurn guards against idle capacity: a priority below its
// minimum whose tasks fit on no agent must not use up the placement.
func TestTaskThatFitsNowhereKeepsNoTurn(t *testing.T) {
	b := newShareBed(t, 0.5)
	b.connectAgents(1, 2)
	b.submit("running", 0, 2, time.Second)
	running := b.takeOffers()
	for i := range 2 * maxPlacementMisses {
		b.submitDemand(fmt.Sprint("large-", i), 1, 1, time.Second, 2*oneCore)
	}
	b.submit("urgent-1", 0, 1, time.Second)
	b.complete(running[0], message.RunDone, "")
	b.submit("urgent-2", 0, 1, time.Second)
	offers := b.takeOffers()
	b.complete(offers[0], message.RunDone, "")
	if got := jobIDs(append(offers, b.takeOffers()...)); !slices.Equal(got, []string{"urgent-1", "urgent-2"}) {
		t.Errorf("got offers of %v, want both urgent jobs", got)
	}
}

// TestWideJobWaitsForNarrowOnes guards against a wide job that takes the last free capacity
// without completing, and against one that waits for narrow jobs without a bound or starts
// and then loses its turn to others.
func TestWideJobWaitsForNarrowOnes(t *testing.T) {
	b := newShareBed(t, 0.1)
	b.connectAgents(1, 8)
	b.submit("running", 0, 8, 200*time.Millisecond)
	running := b.takeOffers()
	b.submit("a-wide", 0, 8, 200*time.Millisecond)
	for i := range 4 {
		b.submit(fmt.Sprint("narrow-", i), 0, 2, 200*time.Millisecond)
	}
	b.freeCores(running[:4])
	if got := slices.Compact(jobIDs(b.takeOffers())); !slices.Equal(got, []string{"narrow-0", "narrow-1"}) {
		t.Errorf("got offers of %v, want two narrow jobs", got)
	}
	// The wide job can start 180 ms after its arrival at the latest, a quarter of that is over.
	b.now += 50 * time.Millisecond
	b.freeCores(running[4:6])
	b.freeCores(running[6:])
	if got := slices.Compact(jobIDs(b.takeOffers())); !slices.Equal(got, []string{"a-wide"}) {
		t.Errorf("got offers of %v after the bounded wait, want the wide job alone", got)
	}
}

// freeCores lets the runs of these offers on the first agent complete at once.
func (b *testBed) freeCores(offers []message.Offer) {
	env := message.Envelope{From: ref(0)}
	for _, o := range offers {
		env.Messages = append(env.Messages, message.Message{RunCompletion: &message.RunCompletion{Seq: o.Seq, Result: message.RunDone}})
	}
	b.step(step.Received{Envelope: env})
}

// TestOrderIsNotChangedByLaziness guards against a search that examines jobs only as far as
// needed and thereby changes the strict order: waiting jobs of random priorities and
// objectives come by priority, then by urgency, then in the order of Core.waiting.
func TestOrderIsNotChangedByLaziness(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestBed(t)
		b.connectAgents(1, 1)
		b.submit("running", 0, 1, time.Second)
		for i := range rapid.IntRange(1, 30).Draw(rt, "jobs") {
			estimate := time.Duration(rapid.IntRange(20, 300).Draw(rt, "estimate")) * time.Millisecond
			b.submit(fmt.Sprint("j", i), rapid.IntRange(0, 2).Draw(rt, "priority"), 1, estimate)
			b.core.byID[fmt.Sprint("j", i)].mayHaveRun = rapid.Bool().Draw(rt, "started")
			b.now += 20 * time.Millisecond
			b.sendHeartbeats(1)
		}
		want := slices.Clone(b.core.waiting)
		slices.SortStableFunc(want, func(x, y *job) int {
			return cmp.Or(cmp.Compare(x.spec.Route.Priority, y.spec.Route.Priority), cmp.Compare(b.core.urgency(x), b.core.urgency(y)))
		})
		if got := slices.Collect(b.core.placementOrder(nil)); !slices.Equal(got, want) {
			rt.Errorf("got %d jobs in another order than the %d that wait", len(got), len(want))
		}
	})
}
