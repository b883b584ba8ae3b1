package retry

import (
	"testing"
	"time"
)

// TestPacerPauses checks that the first failure causes no pause, that the pauses of further
// ones grow up to the limit, and that a success ends them.
func TestPacerPauses(t *testing.T) {
	const limit = 40 * time.Millisecond
	p := NewPacer(7, limit)
	now := time.Second
	p.Failed(now)
	if p.DueAt() != now {
		t.Errorf("after one failure: due after %v, want at once", p.DueAt()-now)
	}
	ceiling := baseDelay
	for range 8 {
		p.Failed(now)
		if pause := p.DueAt() - now; pause < min(ceiling/2, limit) || pause > min(ceiling, limit) {
			t.Errorf("failure %d: pause %v, want %v to %v", p.Failures(), pause, min(ceiling/2, limit), min(ceiling, limit))
		}
		ceiling *= 2
	}
	p.Succeeded()
	if p.Failures() != 0 || p.DueAt() != 0 {
		t.Errorf("after a success: %d failures, due at %v", p.Failures(), p.DueAt())
	}
}
