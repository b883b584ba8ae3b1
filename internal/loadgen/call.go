package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/go-faster/errors"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a job is submitted
	// again if the answer does not ask for a longer one. Jitter comes on top.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// retryJitter is the largest share of a retry delay that is added to it at
	// random, so that jobs refused together are not submitted again together.
	retryJitter = 0.5
)

// call submits one job and waits for its answer.
type call struct {
	g       *generator
	arrival *Arrival
	request httpapi.JobRequest
	// due is the intended arrival.
	due time.Time

	mu sync.Mutex
	// requestsSent counts submissions and cancellations, to choose the next entry. mu
	// guards it.
	requestsSent int
	// Only submitUntilFinal writes the following fields. lastSentAt is the time of its last
	// submission, refusals the number of its submissions that were refused.
	lastSentAt time.Time
	refusals   int
}

// runJob submits one job until it has an outcome, and records it.
func (g *generator) runJob(ctx context.Context, start time.Time, a *Arrival) {
	due := start.Add(a.At)
	ctx, cancel := context.WithDeadline(ctx, due.Add(a.JobType.Timeout+answerGrace))
	defer cancel()
	c := &call{g: g, arrival: a, due: due, request: g.request(a, due)}

	var concurrent sync.WaitGroup
	answered := make(chan struct{})
	if a.Resubmit > 0 {
		concurrent.Go(func() { c.submitAgain(ctx, answered) })
	}
	if a.Cancel > 0 && c.request.ID != "" {
		concurrent.Go(func() { c.cancel(ctx, answered) })
	}
	answer, ok := c.submitUntilFinal(ctx)
	close(answered)
	g.recorder.addOutcome(c.outcome(answer, ok))
	concurrent.Wait()
}

// request builds the request of a job, with an ID from the source that the plan sets. A
// job without a minted ID at hand gets a UUID.
func (g *generator) request(a *Arrival, due time.Time) httpapi.JobRequest {
	r := httpapi.JobRequest{
		Team:          a.JobType.Team,
		TimeoutMillis: a.JobType.Timeout.Milliseconds(),
		Class:         a.JobType.Class,
		Idempotent:    a.JobType.Idempotent,
		Tasks:         make([]httpapi.TaskRequest, len(a.Payloads)),
	}
	for i, p := range a.Payloads {
		r.Tasks[i] = httpapi.TaskRequest{Labels: a.JobType.Labels, Payload: p}
	}
	if a.Source == Absent {
		return r
	}
	if a.Source == Minted {
		if id, ok := g.ids.take(); ok {
			r.ID = id
			return r
		}
	}
	r.ID = job.ID(uuid.Must(uuid.NewV7()).String())
	return r
}

// nextEntry returns the entry for the next submission or cancellation. It waits while
// no entry is ready, and reports false if ctx ends first.
func (c *call) nextEntry(ctx context.Context) (string, bool) {
	c.mu.Lock()
	n := c.requestsSent
	c.requestsSent++
	c.mu.Unlock()
	if n > 0 {
		c.g.recorder.count(func(counts *Counts) { counts.Resubmissions++ })
	}
	for {
		if entry, ok := c.g.balancer.pick(c.arrival.FirstEntry, n); ok {
			return entry, true
		}
		if !sleep(ctx, minRetryDelay) {
			return "", false
		}
	}
}

// submitUntilFinal submits the job until it completes or fails with an error that is
// not retryable, or until a retry would come after the deadline. It reports false if no
// final answer came in time.
func (c *call) submitUntilFinal(ctx context.Context) (httpapi.JobAnswer, bool) {
	request := c.request
	delay := minRetryDelay
	for {
		entry, ok := c.nextEntry(ctx)
		if !ok {
			return httpapi.JobAnswer{}, false
		}
		c.setTimeout(&request)
		c.lastSentAt = time.Now()
		answer, err := c.g.client.submit(ctx, entry, &request)
		if err != nil {
			if !c.retryAfterError(ctx, err, request.ID) {
				return httpapi.JobAnswer{}, false
			}
			continue
		}
		c.checkAnswer(&request, &answer)
		if !retryable(&answer) {
			return answer, true
		}
		c.recordRefusal(&answer)
		wait := addJitter(max(delay, time.Duration(answer.Error.RetryAfterMillis)*time.Millisecond))
		if time.Now().Add(wait).After(c.due.Add(c.arrival.JobType.Timeout)) || !sleep(ctx, wait) {
			return answer, true
		}
		delay = min(2*delay, maxRetryDelay)
		if nothingStarted(answer.Error.Kind) {
			request.Attempt++
		}
	}
}

// recordRefusal records a refusal after which the job may be submitted again.
func (c *call) recordRefusal(answer *httpapi.JobAnswer) {
	c.refusals++
	c.g.recorder.addRefusal(time.Since(c.lastSentAt), answer.Error.RetryAfterMillis > 0)
}

// addJitter returns a random duration from d to d plus retryJitter of d.
func addJitter(d time.Duration) time.Duration {
	return d + time.Duration(retryJitter*rand.Float64()*float64(d))
}

// setTimeout sets the timeout of a request to the time until the job's deadline.
func (c *call) setTimeout(request *httpapi.JobRequest) {
	remaining := time.Until(c.due.Add(c.arrival.JobType.Timeout))
	request.TimeoutMillis = max(1, remaining.Milliseconds())
}

// retryAfterError records the error of a request, waits, and reports whether to submit
// again. The client does not repeat a request that was sent without a job ID: the job may
// have started, and an entry would start it once more under another ID.
func (c *call) retryAfterError(ctx context.Context, err error, id job.ID) bool {
	if ctx.Err() != nil {
		return false
	}
	sent := !errors.Is(err, errNotSent)
	switch {
	case errors.Is(err, errNoAnswer):
		c.g.recorder.count(func(counts *Counts) { counts.CutOffRequests++ })
	case sent:
		c.g.recorder.addError(err.Error())
	}
	if sent && id == "" {
		return false
	}
	return sleep(ctx, minRetryDelay)
}

// retryable reports whether to submit the job again. The client gives up a job that no
// upstream matches, although its error is retryable: an operator has to act first.
func retryable(a *httpapi.JobAnswer) bool {
	if a.Error == nil || a.Error.Kind == errkind.NoUpstreamMatches {
		return false
	}
	row, ok := errkind.Lookup(a.Error.Kind)
	return ok && row.Retryable
}

// nothingStarted reports whether an error guarantees that no task has started or will
// start later.
func nothingStarted(kind errkind.Kind) bool {
	row, ok := errkind.Lookup(kind)
	return ok && row.NothingStarted
}

// submitAgain submits the job once more through another entry at the time that the plan
// sets, unless the job is answered before. It acts like a caller that believes its first
// submission lost.
func (c *call) submitAgain(ctx context.Context, answered <-chan struct{}) {
	if !waitUnlessAnswered(ctx, time.Until(c.due.Add(c.arrival.Resubmit)), answered) {
		return
	}
	entry, ok := c.nextEntry(ctx)
	if !ok {
		return
	}
	request := c.request
	c.setTimeout(&request)
	answer, err := c.g.client.submit(ctx, entry, &request)
	if err != nil {
		c.retryAfterError(ctx, err, request.ID)
		return
	}
	c.checkAnswer(&request, &answer)
}

// cancel cancels the job through another entry at the time that the plan sets, unless the
// job is answered before.
func (c *call) cancel(ctx context.Context, answered <-chan struct{}) {
	if !waitUnlessAnswered(ctx, time.Until(c.due.Add(c.arrival.Cancel)), answered) {
		return
	}
	entry, ok := c.nextEntry(ctx)
	if !ok {
		return
	}
	request := c.request
	answer, err := c.g.client.cancel(ctx, entry, request.ID, request.Attempt)
	if err != nil {
		c.retryAfterError(ctx, err, request.ID)
		return
	}
	c.checkAnswer(&request, &answer)
}

// waitUnlessAnswered waits for d. It reports false if ctx ended or answered was closed
// first.
func waitUnlessAnswered(ctx context.Context, d time.Duration, answered <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-answered:
		return false
	case <-timer.C:
		return true
	}
}

// outcome returns the outcome of the job; ok is false if no final answer came.
func (c *call) outcome(answer httpapi.JobAnswer, ok bool) Outcome {
	now := time.Now()
	o := Outcome{
		At:               c.arrival.At,
		Class:            c.arrival.JobType.Class,
		Tasks:            len(c.arrival.Payloads),
		Source:           c.arrival.Source,
		Unanswered:       !ok,
		Cancelled:        c.arrival.Cancel > 0,
		NeverRuns:        c.arrival.JobType.NeverRuns,
		Refusals:         c.refusals,
		Response:         now.Sub(c.due),
		AdmittedResponse: now.Sub(c.due),
		IdealResponse:    c.arrival.Longest + 2*c.g.target.ClientDelay,
	}
	if c.refusals > 0 {
		o.AdmittedResponse = now.Sub(c.lastSentAt)
	}
	if answer.Error != nil {
		o.ErrorKind, o.Detail = answer.Error.Kind, answer.Error.Detail
	}
	return o
}
