package site

import "time"

const (
	// requestDelay is how long a process stays behind a peer before it requests the peer's
	// state. A read of the store takes a hundredth of this time, and a change must be in
	// force within 2 s.
	requestDelay = 400 * time.Millisecond
	// requestInterval is the pause between two requests. Sending a state of 1 MB takes a
	// third of this time on a link of 25 Mbit/s.
	requestInterval = time.Second
	// initialRequestInterval is the same for a process that has no state yet, and so cannot
	// serve callers.
	initialRequestInterval = 250 * time.Millisecond
	// relayRate limits the bytes of states that a process sends in a second to a sixth of
	// a link of 25 Mbit/s, so that states do not delay heartbeats.
	relayRate = 500 << 10
	// routeBytes and stateBytes are the approximate encoded sizes of a route and of the
	// rest of a state.
	routeBytes = 200
	stateBytes = 200
)

// StateRequester decides when a process that has not read a newer state from the store
// requests it from a peer. The zero value is ready for use. Times are monotonic.
type StateRequester struct {
	behind      bool
	behindSince time.Duration
	requested   bool
	requestedAt time.Duration
}

// ShouldRequest processes the revision of a peer and reports whether to request the
// peer's state now. If it returns true, the caller must send a request.
func (r *StateRequester) ShouldRequest(now time.Duration, own, peer int64) bool {
	if peer <= own {
		return false
	}
	if !r.behind {
		r.behind, r.behindSince = true, now
	}
	delay, interval := requestDelay, requestInterval
	if own == 0 {
		delay, interval = 0, initialRequestInterval
	}
	if now-r.behindSince < delay || r.requested && now-r.requestedAt < interval {
		return false
	}
	r.requested, r.requestedAt = true, now
	return true
}

// StateReceived records that a newer state has been applied.
func (r *StateRequester) StateReceived() { r.behind = false }

// RelayLimiter limits the rate at which a process sends its state to peers that request
// it. The zero value is ready for use.
type RelayLimiter struct{ nextAt time.Duration }

// Allow reports whether s may be sent now, and counts it as sent if so.
func (r *RelayLimiter) Allow(now time.Duration, s *State) bool {
	if now < r.nextAt {
		return false
	}
	size := stateBytes + routeBytes*len(s.Routes)
	r.nextAt = now + time.Duration(size)*time.Second/relayRate
	return true
}
