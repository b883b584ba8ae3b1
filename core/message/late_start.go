package message

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
)

// LateStart states that a job is held, or no longer.
type LateStart struct {
	latestart.Hold
	// Left is the time until the hold expires.
	Left time.Duration `json:"left"`
}

// NewLateStart returns the statement of a hold, at the time now.
func NewLateStart(now time.Duration, h latestart.Hold) LateStart {
	return LateStart{Hold: h, Left: h.ExpiresAt - now}
}

// Received returns the hold on the clock of the receiver, which has received it at the time now. It
// expires after longest at the latest.
func (l LateStart) Received(now, longest time.Duration) latestart.Hold {
	h := l.Hold
	h.ExpiresAt = now + min(l.Left, longest)
	return h
}
