package dispatch

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestOtherEndsAreNoFailures checks that runs which ended otherwise than failed use up no
// attempts, also if a late report of the same offer says that it failed.
func TestOtherEndsAreNoFailures(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	call := b.submit("a", 0, 1, time.Millisecond)
	for _, result := range []message.RunResult{message.RunStopped, message.RunLost, "unknown", message.RunStopped, message.RunLost} {
		offers := b.takeOffers()
		if len(offers) != 1 {
			t.Fatalf("got %d offers, want 1", len(offers))
		}
		b.complete(offers[0], result, "")
		b.complete(offers[0], message.RunFailed, "")
	}
	if got, ok := b.answers[call]; ok {
		t.Errorf("got %+v, want no answer", got)
	}
}

// TestRepeatedFailureCountsOnce checks that a failure which is reported repeatedly uses up one
// attempt.
func TestRepeatedFailureCountsOnce(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	call := b.submit("a", 0, 1, time.Millisecond)
	offer := b.takeOffers()[0]
	for range 3 {
		b.complete(offer, message.RunFailed, "")
	}
	if got, ok := b.answers[call]; ok {
		t.Errorf("got %+v after one failure of two, want no answer", got)
	}
}
