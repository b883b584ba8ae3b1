package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// The tests of this file have more dispatchers with waiting tasks than free capacity.

// fillUpstream fills an upstream of two cores with two runs of d0. Then the dispatchers in
// order report one waiting task of one core each; waiting holds the priorities.
func fillUpstream(b *testBed, waiting map[node.Ref]int, order ...node.Ref) (first, second StartRun) {
	b.open()
	first, second = b.startRun(d0, "j1"), b.startRun(d0, "j2")
	for _, d := range order {
		b.now += time.Millisecond
		b.step(received(d, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, FirstWaiting: &message.WaitingTask{
			Priority: waiting[d], Demand: message.Resources{MilliCPU: 1000},
		}}}))
	}
	clear(b.heartbeats)
	return first, second
}

// reportedFreeCapacity reports whether a heartbeat has reported free capacity to a
// dispatcher since the last call.
func (b *testBed) reportedFreeCapacity(d node.Ref) bool {
	hb, ok := b.heartbeats[d.ID]
	delete(b.heartbeats, d.ID)
	return ok && hb.Capacity != nil && hb.Capacity.Used.MilliCPU < 2000
}

// completeRun lets one run complete while others continue.
func (b *testBed) completeRun(number int64, s StartRun, others ...StartRun) {
	poll := PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: number, Name: s.Name, RunNumber: 1, Completion: CompletionDone}}}
	for _, o := range others {
		poll.Running = append(poll.Running, ActiveRun{Name: o.Name, RunNumber: o.RunNumber, Percent: 50})
	}
	b.step(poll)
}

var d2 = node.Ref{ID: "d2", Incarnation: 1}

// TestFreedCapacityIsReportedToOneHolder checks that freed capacity is reported to only one
// of several dispatchers with waiting tasks, and to the next one when the first has not
// used it in time. Otherwise all would make offers, and all but one would be refused.
func TestFreedCapacityIsReportedToOneHolder(t *testing.T) {
	b := newTestBed(t)
	first, second := fillUpstream(b, nil, d1, d2)
	b.completeRun(1, first, second)
	if b.completions[len(b.completions)-1].Capacity.Used.MilliCPU != 1000 {
		t.Errorf("capacity reported to a dispatcher without waiting tasks: got %+v, want 1000 mCPU in use", b.completions[len(b.completions)-1].Capacity)
	}
	if !b.reportedFreeCapacity(d1) || b.reportedFreeCapacity(d2) {
		t.Fatal("freed capacity was not reported to d1 alone")
	}
	b.now += reservationTime
	b.step(received(d0, message.Message{}))
	if b.reportedFreeCapacity(d1) || !b.reportedFreeCapacity(d2) {
		t.Error("capacity that d1 has not used was not reported to d2 alone")
	}
}

// TestReservedCapacityIsHiddenFromOtherWaiters checks that the dispatcher of the completed
// run gets a report without free capacity, when its own tasks wait and the capacity is
// reserved for another dispatcher.
func TestReservedCapacityIsHiddenFromOtherWaiters(t *testing.T) {
	b := newTestBed(t)
	first, second := fillUpstream(b, map[node.Ref]int{d0: 1}, d0, d1)
	b.completeRun(1, first, second)
	if b.completions[len(b.completions)-1].Capacity.Used.MilliCPU != 2000 || !b.reportedFreeCapacity(d1) {
		t.Error("freed capacity was reported to d0, or not to d1, for which it is reserved")
	}
}

// TestMostUrgentTaskGetsReservation checks that freed capacity is reported to the dispatcher
// with the most urgent waiting task, although another has waited for longer.
func TestMostUrgentTaskGetsReservation(t *testing.T) {
	b := newTestBed(t)
	first, second := fillUpstream(b, map[node.Ref]int{d1: 1, d2: 0}, d1, d2)
	b.completeRun(1, first, second)
	if b.reportedFreeCapacity(d1) || !b.reportedFreeCapacity(d2) {
		t.Error("freed capacity was not reported to d2 alone, whose task is the most urgent")
	}
}

// TestReservationsAlternate checks that dispatchers which use their reservations get them in
// turn.
func TestReservationsAlternate(t *testing.T) {
	b := newTestBed(t)
	first, second := fillUpstream(b, nil, d1, d2)
	b.completeRun(1, first, second)
	if !b.reportedFreeCapacity(d1) {
		t.Fatal("freed capacity was not reported to d1")
	}
	third := b.startRun(d1, "j3")
	b.completeRun(2, second, third)
	if b.reportedFreeCapacity(d1) || !b.reportedFreeCapacity(d2) {
		t.Error("freed capacity was not reported to d2 alone, although d1 had the last reservation")
	}
}

// TestNoReservationForTooLargeTask checks that free capacity which is too small for every
// waiting task is not reserved, so that it is reported to the other dispatchers.
func TestNoReservationForTooLargeTask(t *testing.T) {
	b := newTestBed(t)
	b.open()
	s := b.startRun(d0, "j")
	b.step(received(d1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, FirstWaiting: &message.WaitingTask{
		Demand: message.Resources{MilliCPU: 5000},
	}}}))
	clear(b.heartbeats)
	b.completeRun(1, s)
	if report := b.completions[len(b.completions)-1].Capacity; report.Used.MilliCPU != 0 {
		t.Errorf("capacity reported to the dispatcher of the completed run: got %+v, want 0 mCPU in use", report)
	}
}

// TestLostLongPollAnswer checks that a new long poll is sent at once when a renewal shows a
// completion that the pending long poll should have returned: its answer was lost.
func TestLostLongPollAnswer(t *testing.T) {
	b := newTestBed(t)
	b.open()
	s := b.startRun(d0, "j1")
	other := b.startRun(d0, "j2")
	polls := len(b.polls)
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{
		Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}},
		Running: []ActiveRun{{Name: other.Name, RunNumber: other.RunNumber, Percent: 50}},
	})
	if len(b.polls) == polls || b.polls[len(b.polls)-1].Wait == 0 {
		t.Errorf("polls after the renewal: got %+v, want a long poll last", b.polls[polls:])
	}
}

// TestOfferUpdatesFirstWaiting checks that a dispatcher which has offered its last waiting
// task gets no further reservation: the offer reports this before the next heartbeat does.
func TestOfferUpdatesFirstWaiting(t *testing.T) {
	b := newTestBed(t)
	first, second := fillUpstream(b, nil, d1)
	b.completeRun(1, first, second)
	if !b.reportedFreeCapacity(d1) {
		t.Fatal("freed capacity was not reported to d1, whose task waits")
	}
	third := b.startRun(d1, "j3")
	b.completeRun(2, second, third)
	if b.reportedFreeCapacity(d1) {
		t.Error("freed capacity was reported to d1, although no task of it waits any more")
	}
}

// TestOfferYieldsToMoreUrgentWaiter guards against capacity that a dispatcher without a backlog
// gives to a less urgent task than one that waits at another dispatcher, and against the same
// when offers and reports do not state objectives, as from earlier versions: then any offer
// that fits is accepted.
func TestOfferYieldsToMoreUrgentWaiter(t *testing.T) {
	const due = 200 * time.Millisecond
	tests := []struct {
		name     string
		waiting  message.WaitingTask
		offer    message.Offer
		accepted bool
	}{
		{"less urgent offer", message.WaitingTask{Priority: 1, Due: due}, message.Offer{Priority: 2, Due: due}, false},
		{"more urgent offer", message.WaitingTask{Priority: 1, Due: due}, message.Offer{Priority: 0, Due: due}, true},
		{"later objective", message.WaitingTask{Due: due}, message.Offer{Due: due + 2*orderMargin}, false},
		{"about the same objective", message.WaitingTask{Due: due}, message.Offer{Due: due + orderMargin/2}, true},
		{"late task waits", message.WaitingTask{Due: -due, Late: true}, message.Offer{Due: due}, true},
		{"no objectives", message.WaitingTask{Priority: 1}, message.Offer{Priority: 2}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t)
			b.open()
			b.startRun(d0, "j1")
			tt.waiting.Demand = message.Resources{MilliCPU: 1000}
			b.step(received(d1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, FirstWaiting: &tt.waiting}}))
			tt.offer.Seq, tt.offer.Task, tt.offer.RunNumber, tt.offer.Service = 99, message.TaskName{Job: "j9"}, 1, "s"
			tt.offer.Demand, tt.offer.EchoedTimestamp = message.Resources{MilliCPU: 1000}, b.now
			starts := len(b.starts)
			b.step(received(d0, message.Message{Offer: &tt.offer}))
			if got := len(b.starts) > starts; got != tt.accepted {
				t.Errorf("got accepted = %v, want %v", got, tt.accepted)
			}
		})
	}
}
