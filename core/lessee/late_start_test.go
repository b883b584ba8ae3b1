package lessee

import (
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
)

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
	tell(true)
	expect(d1, 1, true)
	expect(d2, 1, true)
	d3 := node.Ref{ID: "d3", Incarnation: 1}
	b.heartbeat(d3)
	expect(d3, 0, false)
}
