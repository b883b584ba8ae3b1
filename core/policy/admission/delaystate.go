package admission

import "time"

// delayState tracks whether one class is over its target.
type delayState struct {
	// aboveTarget is true while every delay since aboveSince exceeded the target.
	aboveTarget bool
	aboveSince  time.Duration
	// limited is true once the delays have exceeded the target for an interval.
	// It has no effect when more than Recovery has passed since lastPressureAt, the
	// last time of a delay or an expected wait above the target.
	limited        bool
	lastPressureAt time.Duration
	// lastObservedAt is the time of the last observation.
	lastObservedAt time.Duration
}

// observe records at now whether a delay was above the target. After more than
// Recovery without an observation, aboveSince starts anew.
func (s *delayState) observe(now time.Duration, above bool) {
	stale := now-s.lastObservedAt > Recovery
	s.lastObservedAt = now
	if !above {
		s.aboveTarget = false
		return
	}
	if !s.aboveTarget || stale {
		s.aboveTarget = true
		s.aboveSince = now
	}
	if now-s.aboveSince >= interval {
		s.limited = true
		s.lastPressureAt = now
		return
	}
	s.recordPressure(now)
}

// over reports whether the class is over its target at now.
func (s *delayState) over(now time.Duration) bool {
	return s.limited && now-s.lastPressureAt <= Recovery
}

// recordPressure reports whether the class is over its target at now, and if so
// restarts its recovery time.
func (s *delayState) recordPressure(now time.Duration) bool {
	if !s.over(now) {
		return false
	}
	s.lastPressureAt = now
	return true
}
