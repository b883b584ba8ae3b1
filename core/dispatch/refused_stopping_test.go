package dispatch

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestStoppingRunIsNoRefusal checks a job whose offer is refused because an earlier run of the
// task is being stopped: the job has run, so its caller is not told otherwise.
func TestStoppingRunIsNoRefusal(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	call := b.submit("a", 0, 1, time.Millisecond)
	offers := b.takeOffers()
	b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{
		Version: uint64(b.now) + 1, InfoVersion: 1,
	}}})
	b.complete(offers[0], message.RunRefused, message.RefusedStopping)
	b.advance(1600 * time.Millisecond)
	if got := b.answers[call]; got.Outcome != Interrupted {
		t.Errorf("got %+v, want it interrupted: another run of the task has been started", got)
	}
}
