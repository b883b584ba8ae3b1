package home

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// laterRetry is the pause told to a caller whose job may be admitted soon.
const laterRetry = 250 * time.Millisecond

// mayCreate reports whether a job without a record may be given one. When not,
// it answers the subscriber.
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
	case !a.Home.IsZero() || a.Former:
		c.reply(sub.entry, message.Message{NotHome: &message.NotHome{
			Request: sub.request, Home: a.Home, Detail: a.Detail,
		}})
	case a.Later:
		c.answerAlone(j, sub, job.Answer{Kind: errkind.Unavailable, Detail: a.Detail, RetryAfter: laterRetry})
	default:
		c.answerUnknown(j, sub, a.Detail)
	}
	return false
}

// expired reports whether a job created at this time can no longer be admitted.
func (c *Core) expired(created int64) bool {
	return c.now.Wall-created > c.cfg.Window.Milliseconds() || created <= c.records.evictedThrough
}

func (c *Core) answerUnknown(j *job.Job, sub subscriber, detail string) {
	c.answerAlone(j, sub, job.Answer{Kind: errkind.OutcomeUnknown, Detail: detail})
}

// answerAlone answers one request for a job that gets no record.
func (c *Core) answerAlone(j *job.Job, sub subscriber, a job.Answer) {
	a.ID, a.Attempt = j.ID, j.Attempt
	c.reply(sub.entry, message.Message{Answer: &message.Answer{Request: sub.request, Answer: a}})
}

// resubmit handles a submission whose ID has a record.
func (c *Core) resubmit(r *record, j *job.Job, sub subscriber, s *message.Submit) {
	if j.Attempt <= r.attempt {
		if j.Attempt == r.attempt && r.digest != 0 && r.digest != digest(j) {
			c.answerConflict(j, sub, "the ID is in use for a job with other contents")
			return
		}
		c.attach(r, j.Attempt, sub)
		return
	}
	if r.final == nil {
		c.answerConflict(j, sub, "an earlier attempt is not final")
		return
	}
	row, _ := errkind.Lookup(r.final.Kind)
	if !row.Retryable || j.Attempt != r.attempt+1 {
		c.attach(r, r.attempt, sub)
		return
	}
	if s.Refuse != errkind.None {
		c.refuseAttempt(r, j, sub, s)
		return
	}
	c.restart(r, j, sub, s.Trace)
}

// refuseAttempt makes a refused attempt the record's last one.
func (c *Core) refuseAttempt(r *record, j *job.Job, sub subscriber, s *message.Submit) {
	r.attempt = j.Attempt
	a := *r.final
	a.Attempt = j.Attempt
	a.Kind = s.Refuse
	a.RetryAfter = s.RetryAfter
	r.final = &a
	c.attach(r, j.Attempt, sub)
}

// restart begins the next attempt of a job of which nothing has started.
func (c *Core) restart(r *record, j *job.Job, sub subscriber, trace string) {
	c.records.reopen(r)
	c.fill(r, j, trace)
	r.subscribe(sub)
	c.open(r)
}

func (c *Core) answerConflict(j *job.Job, sub subscriber, detail string) {
	a := job.Answer{ID: j.ID, Attempt: j.Attempt, Kind: errkind.Conflict, Detail: detail}
	c.reply(sub.entry, message.Message{Answer: &message.Answer{Request: sub.request, Answer: a}})
}

// attach answers a subscriber from the record, or makes it wait. An attempt
// below the record's was refused: the record could not have moved on otherwise.
func (c *Core) attach(r *record, attempt int, sub subscriber) {
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

// create adds a record of j.
func (c *Core) create(j *job.Job, trace string) *record {
	r := &record{id: j.ID}
	c.fill(r, j, trace)
	c.records.add(r)
	return r
}

// fill sets the record's contents for a new attempt.
func (c *Core) fill(r *record, j *job.Job, trace string) {
	r.attempt = j.Attempt
	r.created = j.Created
	r.digest = digest(j)
	r.job = j
	r.trace = trace
	r.deadline = c.now.Mono + j.Timeout
	r.failing = errkind.None
	r.detail = ""
	r.retryAfter = 0
	r.settling = false
	r.groups = nil
	r.final = nil
	r.tasks = make([]task, len(j.Tasks))
	r.left = len(j.Tasks)
	r.next = 0
	r.bytes = 0
	for i := range r.tasks {
		r.tasks[i].record = r
		r.tasks[i].index = i
	}
}
