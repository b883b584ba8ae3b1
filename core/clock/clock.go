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

// Left returns what is left at n of a timeout that a message sent at wall-clock
// time sentAt carries. Only delay beyond the bound on the difference of two
// clocks is counted, so that it never returns too little.
func (n Now) Left(timeout time.Duration, sentAt int64, bound time.Duration) time.Duration {
	late := time.Duration(n.Wall-sentAt)*time.Millisecond - bound
	return timeout - max(late, 0)
}
