package lessee

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
)

// confirmHolds lets dispatchers confirm what they were told of holds.
func (b *testBed) confirmHolds(dispatchers ...node.Ref) {
	for _, d := range dispatchers {
		b.step(received(d, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, KnownLateStart: b.heartbeats[d.ID].LateStartSeq}}))
	}
}

// TestHoldIsPassedOn guards against a dispatcher that is not told which jobs others hold: one that
// is known, and one that has just started. The dispatcher that holds a job is not told.
func TestHoldIsPassedOn(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.heartbeat(d0)
	b.heartbeat(d1)
	clear(b.heartbeats)
	tell := func(released bool) {
		b.step(received(d0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, LateStarts: []message.LateStart{{
			Hold: latestart.Hold{Key: latestart.Key{Job: "j", Agent: node.Ref{ID: "a9", Incarnation: 1}, Dispatcher: d0}, Offer: 1, Released: released},
			Left: lease.LateStartExpiry,
		}}}}))
	}
	expect := func(to node.Ref, want int, released bool) {
		t.Helper()
		got := b.heartbeats[to.ID].LateStarts
		if len(got) != want || want > 0 && (got[0].Job != "j" || got[0].Released != released) {
			t.Errorf("%s was told %+v, want %d holds, released %t", to, got, want, released)
		}
	}
	tell(false)
	expect(d1, 1, false)
	expect(d0, 0, false)
	d2 := node.Ref{ID: "d2", Incarnation: 1}
	b.heartbeat(d2)
	expect(d2, 1, false)
	b.confirmHolds(d1, d2)
	tell(true)
	expect(d1, 1, true)
	expect(d2, 1, true)
	d3 := node.Ref{ID: "d3", Incarnation: 1}
	b.heartbeat(d3)
	expect(d3, 0, false)
}

// TestWitnessesOfUnansweredStart guards against a start call without an answer that nobody knows of
// once the host and the dispatcher of the run are lost together, and against a job that is held by
// a witness after the run has ended.
func TestWitnessesOfUnansweredStart(t *testing.T) {
	b := newTestBed(t)
	b.open()
	dispatchers := []node.Ref{d0, d1, {ID: "d2", Incarnation: 1}, {ID: "d3", Incarnation: 1}}
	for _, d := range dispatchers {
		b.heartbeat(d)
	}
	told := func() (released, held []node.ID) {
		for _, d := range dispatchers {
			for _, l := range b.heartbeats[d.ID].LateStarts {
				if l.Job != "j" || l.Dispatcher != d0 || !l.Agent.IsZero() {
					t.Errorf("%s was told %+v, want the run of j for %s here", d, l, d0)
				}
				if l.Released {
					released = append(released, d.ID)
				} else {
					held = append(held, d.ID)
				}
			}
		}
		b.confirmHolds(dispatchers...)
		clear(b.heartbeats)
		return released, held
	}
	b.offer(d0, "j")
	told()
	b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallUnknown})
	_, witnesses := told()
	if len(witnesses) != witnessCount || slices.Contains(witnesses, d0.ID) {
		t.Fatalf("%v were told of the call, want %d besides %s", witnesses, witnessCount, d0)
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{
		{Number: 1, Name: message.TaskName{Job: "j"}, RunNumber: 1, Completion: CompletionDone},
	}})
	b.now += lease.HeartbeatInterval
	b.heartbeat(d0)
	if released, held := told(); !slices.Equal(released, witnesses) || len(held) != 0 {
		t.Errorf("%v were told that the run has ended, want %v", released, witnesses)
	}
}

// TestHoldIsRepeatedUntilConfirmed guards against a dispatcher that starts a held job since it was
// cut off when it was told, and against heartbeats that repeat holds for ever or without a pause.
func TestHoldIsRepeatedUntilConfirmed(t *testing.T) {
	var l holdLog
	hold := func(i int) latestart.Hold {
		return latestart.Hold{Key: latestart.Key{Job: fmt.Sprint(i)}, Offer: 1, ExpiresAt: lease.LateStartExpiry}
	}
	for i := range maxToldHolds + 1 {
		l.add(hold(i))
	}
	expect := func(now time.Duration, count int, first string, last uint64) {
		t.Helper()
		list, seq := l.due(now)
		if len(list) != count || seq != last || count > 0 && list[0].Job != first {
			t.Errorf("%v: got %d holds up to %d, want %d from job %q up to %d", now, len(list), seq, count, first, last)
		}
	}
	const start = time.Second
	expect(start, maxToldHolds, "0", maxToldHolds)
	expect(start+holdRetryInterval-1, 0, "", 0)
	l.confirm(3)
	expect(start+holdRetryInterval-1, maxToldHolds-2, "3", maxToldHolds+1)
	expect(start+2*holdRetryInterval-1, maxToldHolds-2, "3", maxToldHolds+1)
	l.add(hold(99)) // Those before it may be lost.
	expect(start+2*holdRetryInterval-1, maxToldHolds-1, "3", maxToldHolds+2)
	l.confirm(maxToldHolds + 2)
	l.confirm(2) // A late message.
	expect(start+4*holdRetryInterval, 0, "", 0)
	l.add(hold(100))
	expect(lease.LateStartExpiry, 0, "", 0)
}
