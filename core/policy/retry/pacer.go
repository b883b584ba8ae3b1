package retry

import "time"

// Pacer spaces out the calls to a peer while they fail. The call after the first failure is
// due at once, since one broken connection says nothing about the next. The pause doubles
// with each further failure in a row, up to a limit. It is not safe for concurrent use.
type Pacer struct {
	backoff  *Backoff
	limit    time.Duration
	failures int
	dueAt    time.Duration
}

// NewPacer returns a Pacer whose pauses are at most limit. The jitter of the pauses is
// determined by seed.
func NewPacer(seed uint64, limit time.Duration) Pacer {
	return Pacer{backoff: NewBackoff(seed), limit: limit}
}

// Failed records at the time now that a call has failed.
func (p *Pacer) Failed(now time.Duration) {
	p.failures++
	p.dueAt = now
	if p.failures > 1 {
		p.dueAt += min(p.backoff.Delay(p.failures-1, 0), p.limit)
	}
}

// Succeeded records that a call was answered.
func (p *Pacer) Succeeded() { p.failures, p.dueAt = 0, 0 }

// Failures returns the number of failures in a row.
func (p *Pacer) Failures() int { return p.failures }

// DueAt returns the time from which the next call may be sent. It is zero after a success.
func (p *Pacer) DueAt() time.Duration { return p.dueAt }
