// Package silence tells a process that does not answer from one that has nothing
// to say.
//
// Work may take seconds until it is answered, so that only a query, which is
// answered at once, shows silence. A process that was sent something and has not
// been heard since is asked; one that leaves a query without any word for
// SuspectAfter is suspect. Suspicion proves nothing: it is a reason to choose
// another process, never to start a task again.
package silence

import "time"

const (
	// AskAfter is how long a process that was sent something may go unheard
	// before it is asked.
	AskAfter = 250 * time.Millisecond
	// SuspectAfter is how long a query may go without any word. Queries are
	// repeated meanwhile, so that a single lost message makes nobody suspect.
	SuspectAfter = 500 * time.Millisecond
	// RefuseAfter is the silence after which requests that only this process can
	// serve are refused.
	RefuseAfter = time.Second
)

// Watch follows one process. The zero value has neither sent nor heard. It is not
// safe for concurrent use.
type Watch struct {
	sent, asked     bool
	sentAt, askedAt time.Duration
}

// Sent records a message to the process at the monotonic time now.
func (w *Watch) Sent(now time.Duration) {
	if !w.sent {
		w.sent, w.sentAt = true, now
	}
}

// Asked records a query, which is answered at once.
func (w *Watch) Asked(now time.Duration) {
	if !w.asked {
		w.asked, w.askedAt = true, now
	}
}

// Heard records any word from the process.
func (w *Watch) Heard() { *w = Watch{} }

// Due reports whether the process should be asked, or asked again.
func (w *Watch) Due(now time.Duration) bool {
	return w.asked || w.sent && now-w.sentAt >= AskAfter
}

// For returns how long the oldest query has gone without any word.
func (w *Watch) For(now time.Duration) time.Duration {
	if !w.asked {
		return 0
	}
	return max(now-w.askedAt, 0)
}

// Suspect reports whether the process has been silent for SuspectAfter.
func (w *Watch) Suspect(now time.Duration) bool { return w.For(now) >= SuspectAfter }

// Credible reports whether suspects among all processes are few enough to be left
// out. When half of them or more seem silent the fault is as likely on this side,
// and the rest could not carry the work.
func Credible(suspects, all int) bool { return 2*suspects < all }

// Late reports whether a periodic check that was due at the given time comes so
// late that this process has been stopped itself. What it has not heard
// meanwhile says nothing about others.
func Late(now, due time.Duration) bool { return now-due >= AskAfter }
