package site

import (
	"testing"
	"time"
)

// TestRequestWaitsForTheStore guards against needless requests to peers: a process that
// gets new states from the store in time does not request them.
func TestRequestWaitsForTheStore(t *testing.T) {
	var r StateRequester
	now := time.Second
	if r.ShouldRequest(now, 5, 6) || r.ShouldRequest(now+requestDelay/2, 5, 6) {
		t.Error("state requested from a peer before the store had time to answer")
	}
	r.StateReceived()
	if r.ShouldRequest(now+requestDelay, 6, 7) {
		t.Error("state requested at once although a newer state has just been applied")
	}
	if r.ShouldRequest(now+2*requestDelay, 7, 7) || !r.ShouldRequest(now+2*requestDelay, 6, 7) {
		t.Error("state requested from a peer with the same revision, or not from the one with a higher revision")
	}
	if r.ShouldRequest(now+2*requestDelay+requestInterval/2, 6, 7) {
		t.Error("state requested again before an answer could arrive")
	}
	if !r.ShouldRequest(now+2*requestDelay+requestInterval, 6, 7) {
		t.Error("state not requested again after requestInterval")
	}
}

// TestRequestWithoutState checks that a process without any state requests it from the
// first peer that reports a revision.
func TestRequestWithoutState(t *testing.T) {
	var r StateRequester
	if !r.ShouldRequest(time.Second, 0, 1) {
		t.Error("state not requested from the first peer")
	}
	if r.ShouldRequest(time.Second+initialRequestInterval/2, 0, 1) || !r.ShouldRequest(time.Second+initialRequestInterval, 0, 1) {
		t.Error("state requested again before initialRequestInterval has passed, or not after it")
	}
}

// TestRelayKeepsItsRate guards against heartbeats that are delayed by states on a narrow
// link: for any number of requests, the states sent take no more than their share of the
// link.
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
			t.Errorf("state with %d routes: got %d bytes sent in %v, want more than 0 and at most %d", routes, sent, span, limit)
		}
	}
}
