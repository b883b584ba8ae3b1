package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/policy/backlog"
)

// reviewInterval is the pause between two reviews of all waiting jobs: the longest time for
// which the caller of a job whose outlook has worsened is not told.
const reviewInterval = 100 * time.Millisecond

// backlogState holds what predictions are made from.
type backlogState struct {
	// byService holds the demand that waits and its rate, by service.
	byService map[string]*backlog.Backlog
	// fresh lists the jobs that were accepted since the last placement.
	fresh      []*job
	reviewedAt time.Duration
}

func newBacklogState() backlogState {
	return backlogState{byService: make(map[string]*backlog.Backlog)}
}

// backlogOf returns the backlog of the job's service. It is nil unless the wait of the job depends
// on the capacity of the service alone. A job that only some upstreams may run waits for those,
// and others pass it.
func (c *Core) backlogOf(j *job) *backlog.Backlog {
	if !c.cfg.Predict || j.crashed || slices.ContainsFunc(j.spec.Steps, func(s Step) bool {
		return s.RequiredLabel != "" || s.MaxPerUpstream > 0 || s.Demand.Accelerators > 0
	}) {
		return nil
	}
	b := c.backlogs.byService[j.spec.Route.Service]
	if b == nil {
		b = &backlog.Backlog{}
		c.backlogs.byService[j.spec.Route.Service] = b
	}
	return b
}

// recordArrival notes a job that has been accepted.
func (c *Core) recordArrival(j *job) {
	if b := j.backlog; b != nil {
		b.Arrived(c.now.Mono, j.spec.Route.Priority, j.unplacedDemand())
		c.backlogs.fresh = append(c.backlogs.fresh, j)
	}
}

// recordWithdrawal notes that an accepted job is refused after all. Its demand is no longer
// ahead of less urgent jobs.
func (c *Core) recordWithdrawal(j *job) {
	if b := j.backlog; b != nil {
		b.Arrived(c.now.Mono, j.spec.Route.Priority, -j.unplacedDemand())
	}
}

// recordPlaced notes that a task was placed, with sign 1, or that its agent has refused it,
// with sign -1.
func (c *Core) recordPlaced(t *task, sign int) {
	if b := t.job.backlog; b != nil {
		b.Placed(c.now.Mono, sign*t.stepSpec().expectedWork())
	}
}

// recount updates the sums of waiting demand after a change of the job.
func (c *Core) recount(j *job) {
	b := j.backlog
	if b == nil {
		return
	}
	var e backlog.Entry
	if j.queued && !j.crashed {
		e = backlog.Entry{
			Priority: j.spec.Route.Priority, Class: c.backlogClass(j), Objective: j.objective, Demand: j.unplacedDemand(),
		}
	}
	if e != j.counted {
		b.Remove(j.counted)
		b.Add(e)
		j.counted = e
	}
}

// backlogClass returns the standing of a job with unplaced tasks.
func (c *Core) backlogClass(j *job) backlog.Class {
	switch {
	case j.mayHaveRun:
		return backlog.Started
	case c.missesObjective(j):
		return backlog.Late
	default:
		return backlog.OnTime
	}
}

// expectedWork returns the demand of a task times its estimate, in core milliseconds.
func (s *Step) expectedWork() int {
	return int(int64(s.Demand.MilliCPU) * cmp.Or(s.Estimate, defaultEstimate).Milliseconds() / 1000)
}

// unplacedDemand returns the work of the unplaced tasks, in core milliseconds.
func (j *job) unplacedDemand() int {
	if j.unplaced == 0 {
		return 0
	}
	n := 0
	for _, t := range j.tasks {
		if t.state == unplaced {
			n += t.stepSpec().expectedWork()
		}
	}
	return n
}

// refuseHopeless ends the waiting jobs whose answers would come too late: those that the last
// placement has passed over since they arrived, and at each review all others.
func (c *Core) refuseHopeless() {
	for _, b := range c.backlogs.byService {
		b.Update(c.now.Mono, b.Total() > 0)
	}
	fresh := c.backlogs.fresh
	c.backlogs.fresh = c.backlogs.fresh[:0]
	c.refuseLateStarts(fresh)
	if c.cfg.UsefulFactor > 0 || c.cfg.Predict {
		if c.now.Mono-c.backlogs.reviewedAt >= reviewInterval {
			c.backlogs.reviewedAt = c.now.Mono
			fresh = slices.Clone(c.waiting)
		}
	}
	for _, j := range fresh {
		if j.queued && c.jobs[j.call] == j {
			c.recount(j)
			c.reviewJob(j)
		}
	}
	clear(fresh)
}

// excessOnset is how long jobs must have waited without a pause until arriving ones are refused
// that would start late. The queue absorbs shorter bursts, and most of their jobs start in time.
const excessOnset = time.Second

// refuseLateStarts refuses, under lasting overload, the jobs that have just arrived and are
// predicted to start too late in their turn to meet their objectives. Otherwise as much demand
// waits as can become late before it starts, and callers that cannot be served are told only
// after they have waited in vain.
func (c *Core) refuseLateStarts(fresh []*job) {
	if !c.cfg.RefuseLateStarts || c.waitingSince == 0 || c.now.Mono-c.waitingSince < excessOnset {
		return
	}
	for _, j := range fresh {
		if !j.queued || c.jobs[j.call] != j || j.mayHaveRun || j.backlog == nil {
			continue
		}
		c.recount(j)
		if j.counted.Class != backlog.OnTime {
			continue
		}
		if f, ok := c.forecastInTurn(j); ok && f.Wait > c.slack(j) {
			c.giveUp(j, reasonStartsLate)
		}
	}
}

// forecastInTurn predicts the start of a job that has just arrived if none before it becomes late.
func (c *Core) forecastInTurn(j *job) (backlog.Forecast, bool) {
	return j.backlog.ForecastInTurn(c.now.Mono, j.counted, c.cfg.MinShare)
}

// slack returns the time within which a job must start to meet its objective.
func (c *Core) slack(j *job) time.Duration { return j.objective - j.longestEstimate - c.now.Mono }

// reviewJob ends a waiting job if its answer would come too late.
func (c *Core) reviewJob(j *job) {
	if j.mayHaveRun && c.cfg.UsefulFactor == 0 {
		return
	}
	latest := j.latestStart(c.cfg.UsefulFactor)
	if j.mayHaveRun {
		latest = j.latestCompletion(c.cfg.UsefulFactor)
	}
	if c.now.Mono > latest {
		c.giveUp(j, j.lateReason(c.cfg.UsefulFactor))
		return
	}
	if f, ok := c.forecast(j); ok && f.Exceeds(latest-c.now.Mono) {
		c.giveUp(j, reasonPredicted)
	}
}

// forecast predicts when the unplaced tasks of a waiting job start. It reports false if that is
// not known.
func (c *Core) forecast(j *job) (backlog.Forecast, bool) {
	b := j.backlog
	if b == nil || !j.queued || j.crashed {
		return backlog.Forecast{}, false
	}
	return b.Forecast(c.now.Mono, j.counted, c.slack(j))
}

// usefulUntil returns the time after which the answer is of no use to the caller, if its tasks
// take longest. Without an estimate, that is the deadline.
func (j *job) usefulUntil(factor float64, longest time.Duration) time.Duration {
	objective := j.spec.Route.Objective(longest)
	if factor == 0 || objective <= 0 || !slices.ContainsFunc(j.spec.Steps, func(s Step) bool { return s.Estimate > 0 }) {
		return j.deadline
	}
	return min(j.deadline, j.submittedAt+time.Duration(factor*float64(objective)))
}

// latestCompletion returns the time from which a job that has started and has unplaced tasks
// cannot be answered while that is of use, whatever the error of its estimate: by an estimate
// that is too short, the objective would be too early.
func (j *job) latestCompletion(factor float64) time.Duration {
	var longest time.Duration
	for _, t := range j.tasks {
		if t.state == unplaced {
			longest = max(longest, t.stepSpec().Estimate)
		}
	}
	return j.usefulUntil(factor, time.Duration(float64(j.longestEstimate)/(1-estimateError))) - leastDuration(longest)
}

// lateReason returns why a job is given up whose answer would come too late.
func (j *job) lateReason(factor float64) string {
	if j.usefulUntil(factor, j.longestEstimate) < j.deadline {
		return reasonNoUse
	}
	return reasonDeadline
}

// retryDelay returns the retry delay of a job that is refused while it waits.
func (c *Core) retryDelay(j *job) time.Duration {
	b := j.backlog
	if b == nil {
		return transientRetryDelay
	}
	return backlog.RetryAfter(b.Drain(c.now.Mono, j.spec.Route.Priority), c.now.Mono-j.submittedAt, j.spec.ID)
}

// outlookFields returns the fields of the log line of an ended job that state what its start was
// predicted from.
func (c *Core) outlookFields(j *job, reason string) []any {
	f, ok := c.forecast(j)
	limit := j.latestStart(c.cfg.UsefulFactor) - c.now.Mono
	if reason == reasonStartsLate {
		f, ok = c.forecastInTurn(j)
		limit = c.slack(j)
	}
	if !ok {
		return nil
	}
	return []any{
		"predicted_start_ms", f.Wait.Milliseconds(), "ahead_core_ms", f.Ahead, "rate_mcpu", int(f.Rate), "limit_ms", limit.Milliseconds(),
	}
}

// predictedWait returns the longest time until the waiting demand of a service will have been
// placed. It is zero if that is not known.
func (c *Core) predictedWait() time.Duration {
	var longest time.Duration
	for _, b := range c.backlogs.byService {
		longest = max(longest, b.Drain(c.now.Mono, leastUrgent))
	}
	return longest
}
