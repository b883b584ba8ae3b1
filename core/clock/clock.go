// Package clock defines the time that callers pass to the core, which reads no
// clock itself.
package clock

import "time"

// Now is the time of one event, on two clocks.
type Now struct {
	// Mono is monotonic time since an arbitrary origin of this process. It must
	// advance while the process is paused.
	Mono time.Duration
	// Wall is wall-clock time in milliseconds since the Unix epoch.
	Wall int64
}

// After returns n plus d on both clocks.
func (n Now) After(d time.Duration) Now {
	return Now{Mono: n.Mono + d, Wall: n.Wall + d.Milliseconds()}
}

// Remaining returns how much of a timeout remains at n. The timeout began when a
// message was sent, at the wall-clock time sentAt of the sender. The clocks of
// sender and receiver may differ by up to bound, so only the part of the delay
// above bound is subtracted. Thus the result is never less
// than the time that really remains.
func (n Now) Remaining(timeout time.Duration, sentAt int64, bound time.Duration) time.Duration {
	late := time.Duration(n.Wall-sentAt)*time.Millisecond - bound
	return timeout - max(late, 0)
}
