// Package errkind defines the error kinds that a caller can receive, and for each
// its HTTP status, whether the caller may retry, and its meaning. The list is
// complete: no other kind is ever sent.
package errkind

// Kind is one of the error kinds below. The empty Kind means success.
type Kind string

// All error kinds.
const (
	None              Kind = ""
	BadRequest        Kind = "bad_request"
	TooLarge          Kind = "too_large"
	NotRun            Kind = "not_run"
	NoUpstreamMatches Kind = "no_upstream_matches"
	OverQuota         Kind = "over_quota"
	DeadlinePassed    Kind = "deadline_passed"
	Cancelled         Kind = "cancelled"
	UpstreamFailed    Kind = "upstream_failed"
	OutcomeUnknown    Kind = "outcome_unknown"
	Incomplete        Kind = "incomplete"
	NotFound          Kind = "not_found"
	Conflict          Kind = "conflict"
	Unavailable       Kind = "unavailable"
	Forbidden         Kind = "forbidden"
)

// Row describes one error kind.
type Row struct {
	Kind Kind
	// Status is the HTTP status code.
	Status int
	// NothingStarted is true when the kind guarantees that no task of the
	// submission has started or can start later.
	NothingStarted bool
	// Retryable is true when the caller may submit the job again with the next
	// attempt number under the same ID.
	Retryable bool
	// Meaning explains the kind in one sentence.
	Meaning string
}

// table lists the kinds in the order of the documentation.
var table = []Row{
	{BadRequest, 400, true, false, "the request is malformed; nothing of it has started"},
	{TooLarge, 413, true, false, "the request exceeds a stated limit; nothing of it has started"},
	{NotRun, 503, true, true, "nothing of this submission has started or can start later"},
	{NoUpstreamMatches, 422, true, true, "no upstream matches the labels of a task; nothing of this submission has started"},
	{OverQuota, 429, true, true, "the team is over its quota; nothing of this submission has started"},
	{DeadlinePassed, 504, false, false, "the deadline passed before the job was complete; the task states say what has started"},
	{Cancelled, 409, false, false, "the caller cancelled the job; the task states say what has started"},
	{UpstreamFailed, 502, false, false, "an upstream answered a task with a failure"},
	{OutcomeUnknown, 500, false, false, "a task may have started and its outcome is not known; nothing is started again"},
	{Incomplete, 500, false, false, "the job was given up after some of its tasks had started; the task states say which"},
	{NotFound, 404, false, false, "no record of this job is held; this does not say whether it ran"},
	{Conflict, 409, false, false, "the job ID is in use with different contents, or the change was made from an older revision"},
	{Unavailable, 503, false, true, "the request could not be served now; it changed nothing"},
	{Forbidden, 403, true, false, "the request is not permitted; it changed nothing"},
}

// Table returns a copy of the table in documentation order.
func Table() []Row {
	return append([]Row(nil), table...)
}

// Lookup returns the row of k. It reports false for None and for an undefined kind.
func Lookup(k Kind) (Row, bool) {
	for _, r := range table {
		if r.Kind == k {
			return r, true
		}
	}
	return Row{}, false
}
