package lessee

import (
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// TestSendsSiteStateOnRequest checks that an agent sends its site state to a dispatcher
// that requests it, and to no other.
func TestSendsSiteStateOnRequest(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.step(SiteChanged{State: &site.State{Revision: 2, Configured: true}})
	b.step(received(d0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, Revision: 1}}))
	if b.heartbeats[d0.ID].Site != nil {
		t.Error("got a site state without a request, want none")
	}
	b.step(received(d0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, Revision: 1, WantSite: true}}))
	if s := b.heartbeats[d0.ID].Site; s == nil || s.Revision != 2 {
		t.Errorf("site state after the request: got %+v, want revision 2", s)
	}
}
