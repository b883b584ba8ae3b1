package site

import "time"

const (
	// askAfter is how long a process stays behind a peer before it asks for the peer's
	// state: a reading of the store takes a hundredth of it, and a change must be in
	// force within 2 s.
	askAfter = 400 * time.Millisecond
	// askPause is the pause between two requests. A state of 1 MB takes a third of it
	// on a link of 25 Mbit/s.
	askPause = time.Second
	// askPauseEmpty is the same for a process without any state, which serves nobody.
	askPauseEmpty = 250 * time.Millisecond
	// relayRate bounds the bytes of states that a process sends in a second: a sixth of
	// a link of 25 Mbit/s, so that beats are not held up behind them.
	relayRate = 500 << 10
	// routeBytes and stateBytes are about the encoded sizes of a route and of the rest.
	routeBytes = 200
	stateBytes = 200
)

// StateRequester decides when a process that has not read a newer state from the store
// requests it from a peer. The zero value is ready for use. Times are monotonic.
type StateRequester struct {
	behind  bool
	since   time.Duration
	asked   bool
	askedAt time.Duration
}

// ShouldRequest records the revision of a peer and reports whether to request its state.
func (a *StateRequester) ShouldRequest(now time.Duration, own, peer int64) bool {
	if peer <= own {
		return false
	}
	if !a.behind {
		a.behind, a.since = true, now
	}
	patience, pause := askAfter, askPause
	if own == 0 {
		patience, pause = 0, askPauseEmpty
	}
	if now-a.since < patience || a.asked && now-a.askedAt < pause {
		return false
	}
	a.asked, a.askedAt = true, now
	return true
}

// StateReceived records that a newer state has been applied.
func (a *StateRequester) StateReceived() { a.behind = false }

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
