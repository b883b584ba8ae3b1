package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// falseAnnouncement is one that another writer has sent: its values are possible, but wrong.
func falseAnnouncement(id string, incarnation, seq int64) Announcement {
	return Announcement{ID: id, Incarnation: incarnation, Seq: seq, Service: "s", Domain: "z0", Capacity: message.Resources{MilliCPU: 2000}}
}

// TestFalseIncarnation guards against an agent that ignores its upstream for good, as late,
// after another writer has announced a newer incarnation.
func TestFalseIncarnation(t *testing.T) {
	const born = 1 << 40
	otherID := PollCompleted{Renewal: true, Result: CallWrongIncarnation}
	sameID := PollCompleted{Renewal: true, Incarnation: 1}
	for name, tt := range map[string]struct {
		announcement any
		answer       PollCompleted
	}{
		"other ID":           {Announced{falseAnnouncement("odd", born, 1)}, otherID},
		"same ID":            {Announced{falseAnnouncement("u", born, 1)}, sameID},
		"restored":           {AnnouncementRestored{falseAnnouncement("odd", born, 1)}, otherID},
		"restored, same ID":  {AnnouncementRestored{falseAnnouncement("u", born, 1)}, sameID},
		"the poll is silent": {Announced{falseAnnouncement("odd", born, 1)}, PollCompleted{Renewal: true, Result: CallUnknown}},
	} {
		b := newTestBed(t)
		switch a := tt.announcement.(type) {
		case Announced:
			b.open()
			b.step(a)
		case AnnouncementRestored:
			b.step(a)
		}
		for seq := int64(2); seq < 7; seq++ {
			tt.answer.SentAt, tt.answer.Clock = b.now, b.now
			b.step(tt.answer)
			b.now += 1500 * time.Millisecond
			b.announce(1, seq, false)
		}
		b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now})
		if !b.core.Ready() {
			t.Errorf("%s: not ready although the upstream announces itself and answers", name)
		}
	}
}

// TestFalseSeq guards against an agent that follows its upstream no more after another writer
// has sent an announcement with a high Seq.
func TestFalseSeq(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "j")
	b.step(Announced{falseAnnouncement("u", 1, 1<<50)})
	b.announce(1, 2, true)
	if !b.core.Ready() {
		t.Error("a late announcement was applied")
	}
	b.now += announcementTTL + time.Millisecond
	b.announce(1, 6, true)
	if !b.core.upstream.draining {
		t.Errorf("an announcement was ignored as late for longer than %v", announcementTTL)
	}
}

// TestFalseClock guards against a lease that outlasts its time, in which the dispatchers would
// start its tasks elsewhere: the end of a lease follows from the upstream's own answers only.
func TestFalseClock(t *testing.T) {
	b := newTestBed(t)
	for seq := range int64(2) {
		a := falseAnnouncement("u", 1, seq+1)
		a.Clock = time.Hour
		b.step(Announced{a})
		b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now})
	}
	b.heartbeat(d0)
	if s := b.startRun(d0, "j"); s.LeaseUntil != b.now+lease.UpstreamLease {
		t.Errorf("got a lease until %v, want %v", s.LeaseUntil, b.now+lease.UpstreamLease)
	}
}
