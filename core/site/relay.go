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

// Asking decides when a process that the store leaves behind asks a peer for its
// state. The zero value is ready for use. Times are monotonic.
type Asking struct {
	behind  bool
	since   time.Duration
	asked   bool
	askedAt time.Duration
}

// Heard notes the revision of a peer and reports whether to ask it for its state.
func (a *Asking) Heard(now time.Duration, own, peer int64) bool {
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

// Learned notes that a newer state has been taken.
func (a *Asking) Learned() { a.behind = false }

// Relay bounds what a process sends of its state to peers that ask for it. The zero
// value is ready for use.
type Relay struct{ nextAt time.Duration }

// Give reports whether s may be sent now.
func (r *Relay) Give(now time.Duration, s *State) bool {
	if now < r.nextAt {
		return false
	}
	size := stateBytes + routeBytes*len(s.Routes)
	r.nextAt = now + time.Duration(size)*time.Second/relayRate
	return true
}
