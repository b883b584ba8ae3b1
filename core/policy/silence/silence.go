// Package silence distinguishes an unresponsive process from one that has no
// message to send.
//
// The answer to work may take seconds, but a query is answered at once. So only an
// unanswered query shows that a process is unresponsive. A process gets a query
// when a message was sent to it and none has been received from it since. It is
// suspect when no message is received from it for SuspectAfter after a query. A
// suspect process may still be running: prefer another process for new tasks, but
// never start a task again because of a suspicion.
package silence

import "time"

const (
	// QueryAfter is how long after a message to a process, without any message from
	// it, the process gets a query.
	QueryAfter = 250 * time.Millisecond
	// SuspectAfter is how long after a query, without any message from the process,
	// the process is suspect. Queries are repeated meanwhile, so that a single lost
	// message makes no process suspect.
	SuspectAfter = 500 * time.Millisecond
	// RefuseAfter is how long after a query, without any message from the process,
	// requests that only this process can serve are refused.
	RefuseAfter = time.Second
)

// Watch tracks the messages to and from one other process. In the zero value no
// answer is expected. It is not safe for concurrent use.
type Watch struct {
	// sentAt and queriedAt are the times of the first message and of the first
	// query to the process since a message was received from it. They are valid if
	// awaiting and queried are true.
	awaiting, queried bool
	sentAt, queriedAt time.Duration
	// refused is true when the process has refused a connection since then.
	refused bool
}

// MessageSent records a message to the process at the monotonic time now.
func (w *Watch) MessageSent(now time.Duration) {
	if !w.awaiting {
		w.awaiting, w.sentAt = true, now
	}
}

// QuerySent records a query to the process at the monotonic time now.
func (w *Watch) QuerySent(now time.Duration) {
	if !w.queried {
		w.queried, w.queriedAt = true, now
	}
}

// ConnectionRefused records at the monotonic time now that the process has refused a
// connection. It is suspect at once, and queried.
func (w *Watch) ConnectionRefused(now time.Duration) {
	w.refused = true
	w.QuerySent(now)
}

// MessageReceived records that any message from the process was received.
func (w *Watch) MessageReceived() { *w = Watch{} }

// QueryDue reports whether a query should be sent to the process, first or
// repeated.
func (w *Watch) QueryDue(now time.Duration) bool {
	return w.queried || w.awaiting && now-w.sentAt >= QueryAfter
}

// UnresponsiveFor returns the time since the first query after the last message from
// the process, or zero when there is no such query.
func (w *Watch) UnresponsiveFor(now time.Duration) time.Duration {
	if !w.queried {
		return 0
	}
	return max(now-w.queriedAt, 0)
}

// Suspect reports whether the process has been unresponsive for SuspectAfter, or has refused a
// connection.
func (w *Watch) Suspect(now time.Duration) bool {
	return w.refused || w.UnresponsiveFor(now) >= SuspectAfter
}

// SuspicionCredible reports whether less than half of all processes are
// suspect, so that the suspects may be avoided. When half of them or more seem
// unresponsive, the fault may as well be in this process or its network, and
// the other processes could not carry the load.
func SuspicionCredible(suspects, all int) bool { return 2*suspects < all }

// SelfPaused reports whether a periodic check that was due at the given time
// happens so late that this process must have been paused itself. Messages that
// it did not receive during the pause are then no evidence against other
// processes.
func SelfPaused(now, due time.Duration) bool { return now-due >= QueryAfter }
