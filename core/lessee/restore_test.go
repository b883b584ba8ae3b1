package lessee

import (
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

var persistedAnnouncement = Announcement{ID: "u", Incarnation: 7, Service: "s", Domain: "z0", Capacity: message.Resources{MilliCPU: 2000}}

// TestRestartedAgentRestoresUpstream checks that a restarted agent accepts work without an
// announcement, as soon as a poll has shown that the upstream is in the persisted
// incarnation and runs nothing.
func TestRestartedAgentRestoresUpstream(t *testing.T) {
	b := newTestBed(t)
	b.step(AnnouncementRestored{Announcement: persistedAnnouncement})
	if b.core.Ready() || len(b.polls) != 1 || b.polls[0].LeaseUntil != 0 {
		t.Fatalf("ready %t before the first poll was answered, want false; polls %+v, want one that extends no lease", b.core.Ready(), b.polls)
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 7, Clock: b.now})
	if !b.core.Ready() {
		t.Fatal("not ready after a poll that found no runs")
	}
	b.announce(7, 1, true)
	if b.core.Ready() {
		t.Error("the first announcement after the restart, which sets draining, was ignored as late")
	}
}

// TestRestoredAnnouncementIsOutdated checks that a restored announcement of an earlier
// incarnation of the upstream does not make the agent ready, and that one which is
// restored after an announcement was received is ignored.
func TestRestoredAnnouncementIsOutdated(t *testing.T) {
	b := newTestBed(t)
	b.step(AnnouncementRestored{Announcement: persistedAnnouncement})
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 8, Clock: b.now})
	if b.core.Ready() {
		t.Error("ready although the upstream is in a newer incarnation than the restored one")
	}
	b = newTestBed(t)
	b.announce(9, 1, false)
	b.step(AnnouncementRestored{Announcement: persistedAnnouncement})
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 9, Clock: b.now})
	if !b.core.Ready() {
		t.Error("not ready: a restored announcement replaced a received one")
	}
}

// TestAnnouncementIsPersistedOnce checks that the agent persists the announcement of an
// incarnation of the upstream once, and again only when the announced properties change.
func TestAnnouncementIsPersistedOnce(t *testing.T) {
	c := New(Config{Token: 1})
	persisted := func(a Announcement) (n int) {
		for _, action := range c.Step(clock.Now{Mono: 1}, Announced{Announcement: a}) {
			if _, ok := action.(PersistAnnouncement); ok {
				n++
			}
		}
		return n
	}
	a := persistedAnnouncement
	for i, want := range []int{1, 0, 1, 0, 1} {
		switch i {
		case 2:
			a.Capacity.MilliCPU = 1000
		case 3:
			a.Draining = true
		case 4:
			a.Draining, a.Incarnation = false, 8
		}
		a.Seq++
		if got := persisted(a); got != want {
			t.Errorf("announcement %d: persisted %d times, want %d", i, got, want)
		}
	}
}
