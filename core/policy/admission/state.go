package admission

import "time"

// delayState is the state of one class.
type delayState struct {
	// above is true while every delay since the time since was above target.
	above bool
	since time.Duration
	// bounded is true once the delay has been above target for an interval. It
	// lapses a recovery time after pressure.
	bounded  bool
	pressure time.Duration
	// seen is the time of the last observation.
	seen time.Duration
}

// observe records a delay that was above target or not.
func (s *delayState) observe(now time.Duration, above bool) {
	stale := now-s.seen > Recovery
	s.seen = now
	if !above {
		s.above = false
		return
	}
	if !s.above || stale {
		s.above = true
		s.since = now
	}
	if now-s.since >= interval {
		s.bounded = true
		s.pressure = now
		return
	}
	s.press(now)
}

// over reports whether the class is over its target.
func (s *delayState) over(now time.Duration) bool {
	return s.bounded && now-s.pressure <= Recovery
}

// press records pressure on a class that is over its target, and reports
// whether it is.
func (s *delayState) press(now time.Duration) bool {
	if !s.over(now) {
		return false
	}
	s.pressure = now
	return true
}
