package lessee

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const announceInterval = 1500 * time.Millisecond

// capacityBed has an upstream that announces more capacity than it has in force.
type capacityBed struct {
	*testBed
	announced, inForce, seq int64
	// active holds the runs at the upstream, and refused counts the starts that it refused.
	active    []StartRun
	refused   int
	completed int64
}

func newCapacityBed(t *testing.T, cores int64) *capacityBed {
	b := &capacityBed{testBed: newTestBed(t), announced: cores, inForce: cores}
	b.core = New(Config{Token: 100, LearnCapacity: true})
	b.announceNext()
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now})
	b.heartbeat(d0)
	b.heartbeat(d1)
	return b
}

func (b *capacityBed) announceNext() {
	b.seq++
	b.announceAt(b.seq, b.announced, b.now)
}

func (b *capacityBed) announceAt(seq, cores int64, at time.Duration) {
	b.step(Announced{Announcement: Announcement{ID: "u", Incarnation: 1, Seq: seq, Clock: at, Service: "s", Capacity: message.Resources{MilliCPU: int(cores) * 1000}}})
}

// answer lets the upstream answer the start calls sent since the first n.
func (b *capacityBed) answer(n int) {
	for _, s := range b.starts[n:] {
		e := StartCallCompleted{Handle: s.Handle, Clock: b.now}
		if int64(len(b.active)) >= b.inForce {
			b.refused++
			e.Result = CallNoCapacity
		} else {
			b.active = append(b.active, s)
		}
		b.step(e)
	}
}

// offerMany offers tasks of one core each, before the upstream answers the first start.
func (b *capacityBed) offerMany(count int) {
	n := len(b.starts)
	for range count {
		b.offer(d0, fmt.Sprint("j", b.testBed.seq))
	}
	b.answer(n)
}

// complete lets the oldest run complete.
func (b *capacityBed) complete() {
	s := b.active[0]
	b.active = b.active[1:]
	b.completed++
	b.completeRun(b.completed, s, b.active...)
}

// awaitAnnouncement lets the time to the next announcement pass while runs go on.
func (b *capacityBed) awaitAnnouncement() {
	for until := b.now + announceInterval; b.now < until; {
		b.now += lease.HeartbeatInterval / 2
		b.heartbeat(d0)
		poll := PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now}
		for _, s := range b.active {
			poll.Running = append(poll.Running, ActiveRun{Name: s.Name, RunNumber: s.RunNumber, Percent: 50})
		}
		b.step(poll)
	}
	b.announceNext()
}

func (b *capacityBed) usable() int { return b.core.upstream.capacity.MilliCPU / 1000 }

// TestStaleOffersAfterAShrink guards against starts that the upstream is known to refuse: the
// capacity shrinks below what runs, twice, while dispatchers go on sending offers based on the
// announced capacity, and repeat some. The agent must not start more than the capacity in
// force, apart from the offers that were started before the first refusal and one start for
// each completion, which is the test whether the capacity is still short.
func TestStaleOffersAfterAShrink(t *testing.T) {
	b := newCapacityBed(t, 32)
	b.offerMany(20)
	b.inForce = 16
	b.offerMany(12)
	if b.refused != 12 || b.usable() != 20 {
		t.Fatalf("got %d refusals and %d usable cores, want 12 and the 20 in use", b.refused, b.usable())
	}
	if e := b.lastCompletion(); e.Capacity.Used.MilliCPU != 32000 {
		t.Errorf("the refusal reports %d mCPU in use, want all", e.Capacity.Used.MilliCPU)
	}
	b.offerMany(50)
	repeated := message.Offer{Seq: b.testBed.seq - 60, Task: message.TaskName{Job: "x"}, RunNumber: 1, Service: "s", EchoedTimestamp: b.now}
	b.step(received(d0, message.Message{Offer: &repeated}))
	if b.refused != 12 || len(b.starts) != 32 {
		t.Errorf("got %d refusals and %d starts after stale and repeated offers, want 12 and 32", b.refused, len(b.starts))
	}
	for completions, shrunk := 0, 16; shrunk >= 8; shrunk -= 8 {
		b.inForce = int64(shrunk) // The second shrinking begins before the first was announced.
		for len(b.active) > shrunk {
			b.complete()
			completions++
			b.offerMany(5)
		}
		if limit := 12 + completions; b.refused > limit || b.usable() != shrunk {
			t.Errorf("%d in force: got %d refusals and %d usable cores, want at most %d refusals", shrunk, b.refused, b.usable(), limit)
		}
	}
	if len(b.stops) != 0 {
		t.Errorf("%d runs were stopped because the capacity fell", len(b.stops))
	}
}

// TestAnnouncedReduction guards against wrong arithmetic while more runs than the announced
// capacity: dispatchers must see that nothing is free, and no run may be stopped.
func TestAnnouncedReduction(t *testing.T) {
	b := newCapacityBed(t, 32)
	b.offerMany(30)
	b.step(received(d1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, FirstWaiting: &message.WaitingTask{Demand: message.Resources{MilliCPU: 1000}}}}))
	b.announced, b.inForce = 16, 16
	for b.announceNext(); len(b.active) > 16; b.complete() {
		b.now += lease.HeartbeatInterval / 20
		b.heartbeat(d0)
		if b.offerMany(3); b.refused != 0 || b.core.reservation.holder != nil {
			t.Fatalf("%d runs: got %d refusals by the upstream and reservation %+v, want none", len(b.active), b.refused, b.core.reservation)
		}
		for _, h := range b.core.holderOrder {
			if used := b.core.reportedUse(h).MilliCPU; used != 1000*len(b.active) {
				t.Fatalf("%d runs: got %d mCPU reported in use", len(b.active), used)
			}
		}
	}
	if len(b.stops) != 0 || b.usable() != 16 {
		t.Errorf("got %d stops and %d usable cores, want none and 16", len(b.stops), b.usable())
	}
}

// TestRecoveryAfterARefusal guards against an idle upstream that stays unusable after a refusal
// for another reason: four announcements restore the announced capacity. It also guards
// against a jump back to the announced capacity while the capacity in force stays lower: each
// announcement costs at most as many refusals as the first step has cores.
func TestRecoveryAfterARefusal(t *testing.T) {
	b := newCapacityBed(t, 32)
	b.inForce = 0
	b.offerMany(1)
	if b.usable() != 0 {
		t.Fatalf("got %d usable cores after a refusal by an idle upstream, want 0", b.usable())
	}
	for _, want := range []int{4, 12, 28, 32} {
		b.awaitAnnouncement()
		if b.usable() != want {
			t.Errorf("got %d usable cores, want %d", b.usable(), want)
		}
	}
	b.inForce = 16
	b.offerMany(32)
	for range 20 {
		before := b.refused
		b.awaitAnnouncement()
		b.offerMany(32)
		if n := b.refused - before; n > 32/raiseSteps || b.usable() != 16 {
			t.Fatalf("got %d refusals and %d usable cores after an announcement that repeats a wrong value, want at most 4 and 16", n, b.usable())
		}
	}
}

// TestAnnouncementsAfterARefusal guards against a newly announced capacity that is ignored, and
// against one that the upstream announced before it refused a start.
func TestAnnouncementsAfterARefusal(t *testing.T) {
	b := newCapacityBed(t, 32)
	b.inForce = 8
	b.offerMany(32)
	b.announceAt(2, 24, b.now-time.Millisecond)
	if b.usable() != 8 || b.core.upstream.estimate.announced.MilliCPU != 24000 {
		t.Errorf("got %d usable cores after an announcement from before the refusal, want 8", b.usable())
	}
	b.announceAt(3, 16, b.now+time.Millisecond)
	if b.usable() != 16 {
		t.Errorf("got %d usable cores after a newer announcement of 16", b.usable())
	}
	b.announceAt(2, 32, b.now+time.Millisecond)
	if b.usable() != 16 {
		t.Errorf("got %d usable cores after a late announcement, want 16", b.usable())
	}
}

// TestLoweredCapacityIsReportedAtOnce guards against offers of other dispatchers that are based on
// the capacity before a refusal, and against a job that is refused as larger than every upstream:
// the reported total stays the announced one.
func TestLoweredCapacityIsReportedAtOnce(t *testing.T) {
	b := newCapacityBed(t, 4)
	b.inForce = 1
	b.startRun(d1, "of d1")
	b.active = append(b.active, b.starts[0])
	clear(b.heartbeats)
	b.offerMany(1)
	hb, ok := b.heartbeats[d1.ID]
	if !ok || hb.Capacity == nil || hb.Capacity.Used.MilliCPU != 4000 || hb.Capacity.Info.Capacity.MilliCPU != 4000 {
		t.Errorf("got heartbeat %+v to the other dispatcher, want one that reports 4 of 4 cores in use", hb)
	}
}
