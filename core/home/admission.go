package home

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// undecidedRetryAfter is the retry delay sent to a caller whose job may be
// admitted soon.
const undecidedRetryAfter = 250 * time.Millisecond

// mayCreate reports whether a record may be created for a job that has none. If
// not, it answers the subscriber.
func (c *Core) mayCreate(j *job.Job, sub subscriber) bool {
	if c.expired(j.Created) {
		c.answerUnknown(j, sub, "the job is older than the admission window; whether it ran is no longer known")
		return false
	}
	if m, ok := j.ID.Minted(); ok {
		if m.Home == c.cfg.Self && m.Created == j.Created {
			return true
		}
		c.answerUnknown(j, sub, "the ID names another home incarnation")
		return false
	}
	a := c.cfg.Ownership.Admit(c.now, j.ID, j.Created)
	switch {
	case a.Granted:
		return true
	case !a.Home.IsZero() || a.FormerHome:
		c.reply(sub.entry, message.Message{NotHome: &message.NotHome{
			Request: sub.request, Home: a.Home, Detail: a.Detail,
		}})
	case a.RetryLater:
		c.answerWithoutRecord(j, sub, job.Answer{Kind: errkind.Unavailable, Detail: a.Detail, RetryAfter: undecidedRetryAfter})
	default:
		c.answerUnknown(j, sub, a.Detail)
	}
	return false
}

// expired reports whether a job created at this wall-clock time (milliseconds) is
// too old to be admitted, or not newer than a record that was evicted: the job's own
// record may have been evicted too.
func (c *Core) expired(created int64) bool {
	return c.now.Wall-created > c.cfg.AdmissionWindow.Milliseconds() || created <= c.records.evictedThrough
}

// answerUnknown answers OutcomeUnknown to one request for a job without a record.
func (c *Core) answerUnknown(j *job.Job, sub subscriber, detail string) {
	c.answerWithoutRecord(j, sub, job.Answer{Kind: errkind.OutcomeUnknown, Detail: detail})
}

// answerWithoutRecord answers one request for a job that has no record.
func (c *Core) answerWithoutRecord(j *job.Job, sub subscriber, a job.Answer) {
	a.ID, a.Attempt = j.ID, j.Attempt
	c.reply(sub.entry, message.Message{Answer: &message.Answer{Request: sub.request, Answer: a}})
}

// handleResubmission handles a submission whose ID already has a record.
func (c *Core) handleResubmission(r *record, j *job.Job, sub subscriber, s *message.Submit) {
	if j.Attempt <= r.attempt {
		if j.Attempt == r.attempt && r.digest != 0 && r.digest != digest(j) {
			c.answerConflict(j, sub, "the ID is in use for a job with other contents")
			return
		}
		c.answerOrSubscribe(r, j.Attempt, sub)
		return
	}
	if r.final == nil {
		c.answerConflict(j, sub, "an earlier attempt is not final")
		return
	}
	row, _ := errkind.Lookup(r.final.Kind)
	if !row.Retryable || j.Attempt != r.attempt+1 {
		c.answerOrSubscribe(r, r.attempt, sub)
		return
	}
	if s.Refuse != errkind.None {
		c.refuseAttempt(r, j, sub, s)
		return
	}
	c.startNextAttempt(r, j, sub, s.Trace)
}

// refuseAttempt moves the record on to an attempt that the entry has refused, with
// that refusal as its final answer.
func (c *Core) refuseAttempt(r *record, j *job.Job, sub subscriber, s *message.Submit) {
	r.attempt = j.Attempt
	a := *r.final
	a.Attempt = j.Attempt
	a.Kind = s.Refuse
	a.RetryAfter = s.RetryAfter
	r.final = &a
	c.answerOrSubscribe(r, j.Attempt, sub)
}

// startNextAttempt opens the next attempt of a job. No task of the previous
// attempts has started.
func (c *Core) startNextAttempt(r *record, j *job.Job, sub subscriber, trace string) {
	c.records.reopen(r)
	c.resetForAttempt(r, j, trace)
	r.subscribe(sub)
	c.openAttempt(r)
}

// answerConflict answers Conflict to one request.
func (c *Core) answerConflict(j *job.Job, sub subscriber, detail string) {
	a := job.Answer{ID: j.ID, Attempt: j.Attempt, Kind: errkind.Conflict, Detail: detail}
	c.reply(sub.entry, message.Message{Answer: &message.Answer{Request: sub.request, Answer: a}})
}

// answerOrSubscribe sends the final answer of the record. If there is none yet, it
// sends Pending and subscribes the request. A request for an attempt below that of
// the record is answered NotRun: that attempt started no task, or the record would
// not have moved on to the next one.
func (c *Core) answerOrSubscribe(r *record, attempt int, sub subscriber) {
	switch {
	case attempt < r.attempt:
		a := job.Answer{ID: r.id, Attempt: attempt, Kind: errkind.NotRun, Detail: "a later attempt replaced this one"}
		c.reply(sub.entry, message.Message{Answer: &message.Answer{Request: sub.request, Answer: a}})
	case r.final != nil:
		c.reply(sub.entry, message.Message{Answer: &message.Answer{Request: sub.request, Answer: *r.final}})
	default:
		r.subscribe(sub)
		c.reply(sub.entry, message.Message{Pending: &message.Pending{Request: sub.request}})
	}
}

// createRecord adds a record for j.
func (c *Core) createRecord(j *job.Job, trace string) *record {
	r := &record{id: j.ID}
	c.resetForAttempt(r, j, trace)
	c.records.add(r)
	return r
}

// resetForAttempt resets the record to the start of a new attempt with job j.
func (c *Core) resetForAttempt(r *record, j *job.Job, trace string) {
	r.attempt = j.Attempt
	r.created = j.Created
	r.digest = digest(j)
	r.job = j
	r.trace = trace
	r.deadline = c.now.Mono + j.Timeout
	r.failure = errkind.None
	r.failureDetail = ""
	r.retryAfter = 0
	r.settling = false
	r.groups = nil
	r.final = nil
	r.tasks = make([]task, len(j.Tasks))
	r.unresolved = len(j.Tasks)
	r.firstWaiting = 0
	r.resultBytes = 0
	for i := range r.tasks {
		r.tasks[i].record = r
		r.tasks[i].index = i
	}
}
