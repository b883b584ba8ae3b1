package lessee

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pace"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// connectIdle connects n dispatchers that accept long intervals between heartbeats and know
// the upstream's info.
func (b *testBed) connectIdle(n int) {
	for i := range n {
		b.receiveIdle(i, message.Heartbeat{})
	}
}

func (b *testBed) receiveIdle(i int, hb message.Heartbeat) {
	hb.Timestamp, hb.AcceptsIdleInterval, hb.KnownInfoVersion = b.now, true, b.core.infoVersion
	b.step(received(node.Ref{ID: node.ID(fmt.Sprintf("i%d", i)), Incarnation: 1}, message.Message{Heartbeat: &hb}))
}

// TestIdleDispatchersGetFewHeartbeats checks that all dispatchers without runs together get
// pace.IdleRate heartbeats a second, each of them within the announced interval, while a
// dispatcher with a run gets every one.
func TestIdleDispatchersGetFewHeartbeats(t *testing.T) {
	const dispatchers = 40
	b := newTestBed(t)
	b.open()
	b.connectIdle(dispatchers)
	b.startRun(d0, "j")
	b.now += lease.HeartbeatInterval
	b.heartbeat(d0) // In this round, all dispatchers are told the interval.
	counts := map[node.ID]int{}
	interval := b.core.idleInterval()
	rounds := int(interval / lease.HeartbeatInterval)
	for range rounds {
		clear(b.heartbeats)
		b.now += lease.HeartbeatInterval
		b.heartbeat(d0)
		b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: message.TaskName{Job: "j"}, RunNumber: 1}}})
		for id := range b.heartbeats {
			counts[id]++
		}
	}
	if counts["d0"] != rounds {
		t.Errorf("the dispatcher with a run got %d heartbeats in %d rounds, want every one", counts["d0"], rounds)
	}
	idle := 0
	for i := range dispatchers {
		n := counts[node.ID(fmt.Sprintf("i%d", i))]
		idle += n
		if n < 1 {
			t.Errorf("dispatcher i%d got no heartbeat in %v", i, interval)
		}
	}
	if limit := int(pace.IdleRate*interval.Seconds()) + 1; idle > limit {
		t.Errorf("got %d heartbeats to idle dispatchers in %v, want at most %d", idle, interval, limit)
	}
}

// TestReadinessIsReportedToAll checks that every dispatcher learns in the next round that the
// upstream accepts no more work.
func TestReadinessIsReportedToAll(t *testing.T) {
	const dispatchers = 40
	b := newTestBed(t)
	b.open()
	b.connectIdle(dispatchers)
	b.now += lease.HeartbeatInterval
	b.step(SiteChanged{State: &site.State{}}) // In this round, all of them are told the interval.
	clear(b.heartbeats)
	b.announce(1, 2, true)
	b.now += lease.HeartbeatInterval
	b.step(SiteChanged{State: &site.State{}})
	for i := range dispatchers {
		hb, ok := b.heartbeats[node.ID(fmt.Sprintf("i%d", i))]
		if !ok || hb.Capacity == nil || hb.Capacity.Ready {
			t.Errorf("dispatcher i%d got %+v, want a heartbeat that states that the upstream is not ready", i, hb)
		}
	}
}

// TestOfferAfterLongSilence checks that an offer to an idle agent is accepted although the
// timestamp that it echoes is older than a lease, and that its run's lease counts from the
// time at which the offer was sent.
func TestOfferAfterLongSilence(t *testing.T) {
	b := newTestBed(t)
	b.open()
	timestamp := b.now
	b.now += 4 * lease.RunLease
	offer := func(seq uint64, age time.Duration) {
		b.step(received(d0, message.Message{Offer: &message.Offer{
			Seq: seq, Task: message.TaskName{Job: fmt.Sprint("j", seq)}, RunNumber: 1, Service: "s", EchoedTimestamp: timestamp, EchoAge: age,
		}}))
	}
	delete(b.heartbeats, d0.ID)
	offer(1, 4*lease.RunLease-lease.MaxOfferDelay-time.Millisecond)
	if e := b.lastCompletion(); e.Reason != message.RefusedStale || len(b.starts) != 0 {
		t.Errorf("got %+v for an offer that was long in transit, want a refusal as stale", e)
	}
	if hb, ok := b.heartbeats[d0.ID]; !ok || hb.Timestamp != b.now {
		t.Errorf("got heartbeat %+v with the refusal, want one with a new timestamp", hb)
	}
	const transit = 100 * time.Millisecond
	offer(2, 4*lease.RunLease-transit)
	if len(b.starts) != 1 {
		t.Fatalf("got %d starts, want 1", len(b.starts))
	}
	if got, want := b.core.holders[d0].leaseUntil, b.now-transit+lease.RunLease; got != want {
		t.Errorf("got a lease until %v, want %v: the offer was sent %v ago", got, want, transit)
	}
	offer(3, time.Hour)
	if got := b.core.holders[d0].leaseUntil; got > b.now+lease.RunLease {
		t.Errorf("got a lease until %v after an offer with an age that is not true, want at most %v", got, b.now+lease.RunLease)
	}
}

// TestWantReply checks that a dispatcher gets a heartbeat at once when it requests one.
func TestWantReply(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.connectIdle(1)
	clear(b.heartbeats)
	b.now += time.Millisecond
	b.receiveIdle(0, message.Heartbeat{WantReply: true})
	if _, ok := b.heartbeats["i0"]; !ok {
		t.Error("got no heartbeat, want one at once")
	}
}

// TestMoreDispatchersCome checks that dispatchers learn of a longer interval before their
// next heartbeat would be overdue: after a start of the whole fleet, the first ones were told
// the interval of a small fleet.
func TestMoreDispatchersCome(t *testing.T) {
	b := newTestBed(t)
	b.open()
	for i := range 40 {
		stated := b.heartbeats["i0"].IdleInterval
		b.receiveIdle(i, message.Heartbeat{})
		if i%10 != 9 {
			continue
		}
		sentAt := b.heartbeats["i0"].Timestamp
		b.now += lease.HeartbeatInterval
		b.step(SiteChanged{State: &site.State{}})
		hb := b.heartbeats["i0"]
		if b.core.idleInterval() > stated && (hb.Timestamp == sentAt || hb.IdleInterval != b.core.idleInterval()) {
			t.Errorf("%d dispatchers: the first one has been told %v and got no newer heartbeat, want one that states %v", i+1, stated, b.core.idleInterval())
		}
	}
}
