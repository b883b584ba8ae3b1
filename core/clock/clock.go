// Package clock holds the time that a caller of the core passes in.
package clock

import "time"

// Now is the time of one event.
type Now struct {
	// Mono is monotonic time since an arbitrary origin of this process. It
	// must advance while the process is paused.
	Mono time.Duration
	// Wall is wall-clock time in milliseconds since the Unix epoch.
	Wall int64
}

// After returns the instant d after n on both scales.
func (n Now) After(d time.Duration) Now {
	return Now{Mono: n.Mono + d, Wall: n.Wall + d.Milliseconds()}
}
