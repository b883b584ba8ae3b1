package lessee

import (
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// TestGivesItsStateWhenAsked: an agent gives its state to a dispatcher that asks for it
// and to no other.
func TestGivesItsStateWhenAsked(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(SiteChanged{State: &site.State{Revision: 2, Configured: true}})
	b.step(received(d0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, Revision: 1}}))
	if b.beats[d0.ID].Site != nil {
		t.Error("given without having been asked")
	}
	b.step(received(d0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, Revision: 1, WantSite: true}}))
	if s := b.beats[d0.ID].Site; s == nil || s.Revision != 2 {
		t.Errorf("answer to the request: %+v", s)
	}
}
