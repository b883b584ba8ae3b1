package site

import (
	"testing"
	"time"
)

// TestAskingWaitsForTheStore: a process that the store serves does not ask its peers.
func TestAskingWaitsForTheStore(t *testing.T) {
	var a StateRequester
	now := time.Second
	if a.ShouldRequest(now, 5, 6) || a.ShouldRequest(now+askAfter/2, 5, 6) {
		t.Error("asked before the store had time to answer")
	}
	a.StateReceived()
	if a.ShouldRequest(now+askAfter, 6, 7) {
		t.Error("asked at once after it has learned")
	}
	if a.ShouldRequest(now+2*askAfter, 7, 7) || !a.ShouldRequest(now+2*askAfter, 6, 7) {
		t.Error("asked a peer that is level, or not the one that is ahead")
	}
	if a.ShouldRequest(now+2*askAfter+askPause/2, 6, 7) {
		t.Error("asked again before an answer could come")
	}
	if !a.ShouldRequest(now+2*askAfter+askPause, 6, 7) {
		t.Error("not asked again")
	}
}

// TestAskingWithoutState: a process that knows nothing asks the first peer it hears.
func TestAskingWithoutState(t *testing.T) {
	var a StateRequester
	if !a.ShouldRequest(time.Second, 0, 1) {
		t.Error("not asked")
	}
	if a.ShouldRequest(time.Second+askPauseEmpty/2, 0, 1) || !a.ShouldRequest(time.Second+askPauseEmpty, 0, 1) {
		t.Error("asked again at the wrong time")
	}
}

// TestRelayKeepsItsRate: whatever the number of peers, states take no more than their
// share of the link.
func TestRelayKeepsItsRate(t *testing.T) {
	for _, routes := range []int{0, 10, 3000} {
		s := &State{Routes: make([]Route, routes)}
		size := stateBytes + routeBytes*routes
		var r RelayLimiter
		sent := 0
		const span = 10 * time.Second
		for now := time.Second; now < time.Second+span; now += time.Millisecond {
			if r.Allow(now, s) {
				sent += size
			}
		}
		if limit := relayRate*int(span/time.Second) + size; sent == 0 || sent > limit {
			t.Errorf("%d routes: %d bytes in %v, want at most %d", routes, sent, span, limit)
		}
	}
}
