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
	// retryDelay and maxRetryDelay bound the delay before a job is submitted
	// again when the answer names none.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// retryJitter is the largest share that is added to the pause of a retry, so
	// that jobs refused together do not return together.
	retryJitter = 0.5
)

// call is one job on its way.
type call struct {
	g       *generator
	arrival *Arrival
	request httpapi.JobRequest
	due     time.Time
	// tries counts submissions, to draw the next entry.
	mu    sync.Mutex
	tries int
	// sentAt is when the last submission but for repeats was sent, refusals the
	// number of submissions that were refused.
	sentAt   time.Time
	refusals int
}

// run submits one job until it has its outcome.
func (g *generator) run(ctx context.Context, start time.Time, a *Arrival) {
	due := start.Add(a.At)
	ctx, cancel := context.WithDeadline(ctx, due.Add(a.Kind.Timeout+settle))
	defer cancel()
	c := &call{g: g, arrival: a, due: due, request: g.request(a, due)}

	var others sync.WaitGroup
	answered := make(chan struct{})
	if a.Resubmit > 0 {
		others.Go(func() { c.resubmit(ctx, answered) })
	}
	if a.Cancel > 0 && c.request.ID != "" {
		others.Go(func() { c.cancel(ctx, answered) })
	}
	answer, ok := c.untilFinal(ctx)
	close(answered)
	g.recorder.outcome(c.outcome(answer, ok))
	others.Wait()
}

func (g *generator) request(a *Arrival, due time.Time) httpapi.JobRequest {
	r := httpapi.JobRequest{
		Team:          a.Kind.Team,
		TimeoutMillis: a.Kind.Timeout.Milliseconds(),
		Class:         a.Kind.Class,
		Idempotent:    a.Kind.Idempotent,
		Tasks:         make([]httpapi.TaskRequest, len(a.Payloads)),
	}
	for i, p := range a.Payloads {
		r.Tasks[i] = httpapi.TaskRequest{Labels: a.Kind.Labels, Payload: p}
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

// nextEntry returns the entry of the next submission. It waits while no entry
// is ready.
func (c *call) nextEntry(ctx context.Context) (string, bool) {
	c.mu.Lock()
	n := c.tries
	c.tries++
	c.mu.Unlock()
	if n > 0 {
		c.g.recorder.count(func(counts *Counts) { counts.Resubmissions++ })
	}
	for {
		if entry, ok := c.g.balancer.pick(c.arrival.Route, n); ok {
			return entry, true
		}
		if !sleep(ctx, retryDelay) {
			return "", false
		}
	}
}

// untilFinal submits until the job is complete or has failed for good. It
// reports false when no answer came in time.
func (c *call) untilFinal(ctx context.Context) (httpapi.JobAnswer, bool) {
	request := c.request
	delay := retryDelay
	for {
		entry, ok := c.nextEntry(ctx)
		if !ok {
			return httpapi.JobAnswer{}, false
		}
		c.setTimeout(&request)
		c.sentAt = time.Now()
		answer, err := c.g.client.submit(ctx, entry, &request)
		if err != nil {
			if !c.retryError(ctx, err, request.ID) {
				return httpapi.JobAnswer{}, false
			}
			continue
		}
		c.check(&request, &answer)
		if !retryable(&answer) {
			return answer, true
		}
		c.refused(&answer)
		wait := jitter(max(delay, time.Duration(answer.Error.RetryAfterMillis)*time.Millisecond))
		if time.Now().Add(wait).After(c.due.Add(c.arrival.Kind.Timeout)) || !sleep(ctx, wait) {
			return answer, true
		}
		delay = min(2*delay, maxRetryDelay)
		if nothingStarted(answer.Error.Kind) {
			request.Attempt++
		}
	}
}

// refused notes that the job was refused although it may be submitted again.
func (c *call) refused(answer *httpapi.JobAnswer) {
	c.refusals++
	c.g.recorder.refusal(time.Since(c.sentAt), answer.Error.RetryAfterMillis > 0)
}

// jitter returns a time between d and d with the jitter of a retry.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(retryJitter*rand.Float64()*float64(d))
}

// setTimeout asks for the time that is left until the deadline.
func (c *call) setTimeout(request *httpapi.JobRequest) {
	left := time.Until(c.due.Add(c.arrival.Kind.Timeout))
	request.TimeoutMillis = max(1, left.Milliseconds())
}

// retryError reports whether to submit again after an error of the connection.
// Without an ID of its own the job may have started and is not sent again.
func (c *call) retryError(ctx context.Context, err error, id job.ID) bool {
	if ctx.Err() != nil {
		return false
	}
	sent := !errors.Is(err, errNotSent)
	switch {
	case errors.Is(err, errNoAnswer):
		c.g.recorder.count(func(counts *Counts) { counts.CutOffRequests++ })
	case sent:
		c.g.recorder.fault(err.Error())
	}
	if sent && id == "" {
		return false
	}
	return sleep(ctx, retryDelay)
}

// retryable reports whether the caller submits the job again. Without a matching
// upstream it waits for an operator instead.
func retryable(a *httpapi.JobAnswer) bool {
	if a.Error == nil || a.Error.Kind == errkind.NoUpstreamMatches {
		return false
	}
	row, ok := errkind.Lookup(a.Error.Kind)
	return ok && row.Retryable
}

func nothingStarted(kind errkind.Kind) bool {
	row, ok := errkind.Lookup(kind)
	return ok && row.NothingStarted
}

// resubmit sends the job once more through another entry, as a caller does that
// believes it lost.
func (c *call) resubmit(ctx context.Context, answered <-chan struct{}) {
	if !waitUnless(ctx, time.Until(c.due.Add(c.arrival.Resubmit)), answered) {
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
		c.retryError(ctx, err, request.ID)
		return
	}
	c.check(&request, &answer)
}

// cancel cancels the job through another entry.
func (c *call) cancel(ctx context.Context, answered <-chan struct{}) {
	if !waitUnless(ctx, time.Until(c.due.Add(c.arrival.Cancel)), answered) {
		return
	}
	entry, ok := c.nextEntry(ctx)
	if !ok {
		return
	}
	request := c.request
	answer, err := c.g.client.cancel(ctx, entry, request.ID, request.Attempt)
	if err != nil {
		c.retryError(ctx, err, request.ID)
		return
	}
	c.check(&request, &answer)
}

// waitUnless waits for d and reports false when ctx or answered ended first.
func waitUnless(ctx context.Context, d time.Duration, answered <-chan struct{}) bool {
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

func (c *call) outcome(answer httpapi.JobAnswer, ok bool) Outcome {
	now := time.Now()
	o := Outcome{
		At:         c.arrival.At,
		Class:      c.arrival.Kind.Class,
		Tasks:      len(c.arrival.Payloads),
		Source:     c.arrival.Source,
		Unanswered: !ok,
		Cancelled:  c.arrival.Cancel > 0,
		NeverRuns:  c.arrival.Kind.NeverRuns,
		Refusals:   c.refusals,
		Response:   now.Sub(c.due),
		Admitted:   now.Sub(c.due),
		Ideal:      c.arrival.Longest + 2*c.g.target.ClientDelay,
	}
	if c.refusals > 0 {
		o.Admitted = now.Sub(c.sentAt)
	}
	if answer.Error != nil {
		o.Kind, o.Detail = answer.Error.Kind, answer.Error.Detail
	}
	return o
}
