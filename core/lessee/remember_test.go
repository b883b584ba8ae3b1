package lessee

import (
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

var remembered = Announcement{ID: "u", Incarnation: 7, Service: "s", Domain: "z0", Capacity: message.Resources{MilliCPU: 2000}}

// TestRestartedAgentTakesUpItsUpstream: a new run of an agent takes work as soon as a
// look has shown that the upstream of the earlier run is in the same life and idle.
func TestRestartedAgentTakesUpItsUpstream(t *testing.T) {
	b := newBench(t)
	b.step(AnnouncementRestored{Announcement: remembered})
	if b.core.Ready() || len(b.looks) != 1 || b.looks[0].LeaseUntil != 0 {
		t.Fatalf("ready %t before a look; looks %+v", b.core.Ready(), b.looks)
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 7, Clock: b.now})
	if !b.core.Ready() {
		t.Fatal("not ready after a look that found nothing")
	}
	b.announce(7, 1, true)
	if b.core.Ready() {
		t.Error("the first announcement of a later sequence was taken for a late one")
	}
}

// TestRememberedUpstreamIsGone: a note of an earlier life is of no use, and one that
// comes after an announcement changes nothing.
func TestRememberedUpstreamIsGone(t *testing.T) {
	b := newBench(t)
	b.step(AnnouncementRestored{Announcement: remembered})
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 8, Clock: b.now})
	if b.core.Ready() {
		t.Error("ready with an upstream that has begun another life")
	}
	b = newBench(t)
	b.announce(9, 1, false)
	b.step(AnnouncementRestored{Announcement: remembered})
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 9, Clock: b.now})
	if !b.core.Ready() {
		t.Error("a note took the place of an announcement")
	}
}

// TestAnnouncementIsNotedOnce: a life is noted once for later runs of the agent, and
// again when it offers something else.
func TestAnnouncementIsNotedOnce(t *testing.T) {
	c := New(Config{Token: 1})
	notes := func(a Announcement) (n int) {
		for _, action := range c.Step(clock.Now{Mono: 1}, Announced{Announcement: a}) {
			if _, ok := action.(PersistAnnouncement); ok {
				n++
			}
		}
		return n
	}
	a := remembered
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
		if got := notes(a); got != want {
			t.Errorf("announcement %d: noted %d times, want %d", i, got, want)
		}
	}
}
