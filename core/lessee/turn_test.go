package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Patterns of load: more dispatchers with waiting tasks than there is room for.

// full fills an upstream of two cores with two runs of d0 and lets the dispatchers of
// the list say that tasks of one core wait.
func full(b *bench, waiting map[node.Ref]int, order ...node.Ref) (first, second StartRun) {
	b.open()
	first, second = b.started(d0, "j1"), b.started(d0, "j2")
	for _, d := range order {
		b.now += time.Millisecond
		b.step(received(d, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, FirstWaiting: &message.WaitingTask{
			Priority: waiting[d], Demand: message.Resources{MilliCPU: 1000},
		}}}))
	}
	clear(b.beats)
	return first, second
}

// heardRoom reports whether a dispatcher was told of free room since the last call.
func (b *bench) heardRoom(d node.Ref) bool {
	beat, ok := b.beats[d.ID]
	delete(b.beats, d.ID)
	return ok && beat.Capacity != nil && beat.Capacity.Used.MilliCPU < 2000
}

// ended lets one run end while others go on.
func (b *bench) ended(number int64, s StartRun, others ...StartRun) {
	looked := PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: number, Name: s.Name, RunNumber: 1, Completion: CompletionDone}}}
	for _, o := range others {
		looked.Running = append(looked.Running, ActiveRun{Name: o.Name, RunNumber: o.RunNumber, Percent: 50})
	}
	b.step(looked)
}

var d2 = node.Ref{ID: "d2", Incarnation: 1}

// TestContestedRoomGoesToOne: when tasks of several dispatchers wait, one of them hears
// of freed room, and the next one when the first has not used it in time.
func TestContestedRoomGoesToOne(t *testing.T) {
	b := newBench(t)
	first, second := full(b, nil, d1, d2)
	b.ended(1, first, second)
	if b.ends[len(b.ends)-1].Capacity.Used.MilliCPU != 1000 {
		t.Errorf("a dispatcher without waiting tasks was told of %+v", b.ends[len(b.ends)-1].Capacity)
	}
	if !b.heardRoom(d1) || b.heardRoom(d2) {
		t.Fatal("not just the first one heard of the room")
	}
	b.now += turnTime
	b.step(received(d0, message.Message{}))
	if b.heardRoom(d1) || !b.heardRoom(d2) {
		t.Error("not just the second one heard of the room that the first has not used")
	}
}

// TestRoomIsKeptFromThoseWhoWait: the dispatcher of the ended run hears that there is no
// room when its own tasks wait and it is the turn of another.
func TestRoomIsKeptFromThoseWhoWait(t *testing.T) {
	b := newBench(t)
	first, second := full(b, map[node.Ref]int{d0: 1}, d0, d1)
	b.ended(1, first, second)
	if b.ends[len(b.ends)-1].Capacity.Used.MilliCPU != 2000 || !b.heardRoom(d1) {
		t.Error("the dispatcher of the ended run was told of room that is kept for another")
	}
}

// TestUrgentTasksGetContestedRoom: the dispatcher whose waiting task is the most urgent
// hears of freed room, although another has waited for longer.
func TestUrgentTasksGetContestedRoom(t *testing.T) {
	b := newBench(t)
	first, second := full(b, map[node.Ref]int{d1: 1, d2: 0}, d1, d2)
	b.ended(1, first, second)
	if b.heardRoom(d1) || !b.heardRoom(d2) {
		t.Error("the less urgent one heard of the room")
	}
}

// TestTurnsGoRound: those that use their turns get them one after the other.
func TestTurnsGoRound(t *testing.T) {
	b := newBench(t)
	first, second := full(b, nil, d1, d2)
	b.ended(1, first, second)
	if !b.heardRoom(d1) {
		t.Fatal("the first one heard nothing")
	}
	third := b.started(d1, "j3")
	b.ended(2, second, third)
	if b.heardRoom(d1) || !b.heardRoom(d2) {
		t.Error("the one that had its turn was told again before the other")
	}
}

// TestRoomThatNobodyCanUse: room that is too small for every task that waits is kept
// for none; the others hear of it with the next beat.
func TestRoomThatNobodyCanUse(t *testing.T) {
	b := newBench(t)
	b.open()
	s := b.started(d0, "j")
	b.step(received(d1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, FirstWaiting: &message.WaitingTask{
		Demand: message.Resources{MilliCPU: 5000},
	}}}))
	clear(b.beats)
	b.ended(1, s)
	if room := b.ends[len(b.ends)-1].Capacity; room.Used.MilliCPU != 0 {
		t.Errorf("the dispatcher of the ended run heard of %+v", room)
	}
}

// TestLostAnswerOfALook: when a renewal shows ends that the waiting look should have
// brought, another look is sent at once.
func TestLostAnswerOfALook(t *testing.T) {
	b := newBench(t)
	b.open()
	s := b.started(d0, "j1")
	other := b.started(d0, "j2")
	looks := len(b.looks)
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{
		Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}},
		Running: []ActiveRun{{Name: other.Name, RunNumber: other.RunNumber, Percent: 50}},
	})
	if len(b.looks) == looks || b.looks[len(b.looks)-1].Wait == 0 {
		t.Errorf("looks since then: %+v", b.looks[looks:])
	}
}

// TestOfferTellsWhatWaits: a dispatcher whose last waiting task has been offered gets no
// further turn, before its next beat says so.
func TestOfferTellsWhatWaits(t *testing.T) {
	b := newBench(t)
	first, second := full(b, nil, d1)
	b.ended(1, first, second)
	if !b.heardRoom(d1) {
		t.Fatal("the waiting dispatcher heard nothing")
	}
	third := b.started(d1, "j3")
	b.ended(2, second, third)
	if b.heardRoom(d1) {
		t.Error("told again of room, although nothing waits any more")
	}
}
