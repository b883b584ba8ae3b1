package lessee

import (
	"math"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/retry"
)

const (
	// maxPollPause bounds the pause between two polls while polls fail. It is a fraction of a
	// short task's duration, by which the answer of a run can be late after a failure.
	maxPollPause = 40 * time.Millisecond
	// failingPolls is the number of failed polls in a row after which an upstream is failing.
	// A single failure may be that of one connection.
	failingPolls = 2
)

func (c *Core) newPacer() retry.Pacer { return retry.NewPacer(uint64(c.cfg.Token), maxPollPause) }

// failing reports whether the last polls have failed. With Config.RefuseFailing, no run starts
// then: a start call without an answer occupies its task until the lease has lapsed, since the
// upstream may have executed it.
func (u *upstreamState) failing() bool { return u.phase == open && u.polls.Failures() >= failingPolls }

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// nextRenewalAt returns when the next renewal is due, or never. An upstream that fails gets
// renewals, which are answered at once, in place of long polls.
func (c *Core) nextRenewalAt() time.Duration {
	u := &c.upstream
	switch {
	case u.suspected():
		return u.nextSuspectPollAt()
	case u.failing():
		return u.polls.DueAt()
	case len(c.runs) > 0 && u.leaseShortened && u.clockAt > u.lastRenewalSentAt:
		return u.clockAt
	case len(c.runs) > 0:
		return u.lastRenewalSentAt + lease.RenewalInterval
	default:
		return never
	}
}

// recordPollResult records whether a poll was answered by the present incarnation of the
// upstream. Dispatchers that know the upstream as not ready are notified when it no longer
// fails.
func (c *Core) recordPollResult(e PollCompleted) {
	u := &c.upstream
	if u.phase != open {
		return
	}
	wasFailing := u.failing()
	if e.Result == CallOK && e.Incarnation == u.incarnation {
		u.polls.Succeeded()
	} else {
		u.polls.Failed(c.now.Mono)
	}
	if u.failing() == wasFailing {
		return
	}
	c.capacityChanged()
	c.logEvent("upstream_failing", "", "upstream", u.id, "failing", u.failing(), "runs", len(c.runs), "result", e.Result.String())
	if wasFailing {
		c.reportReadiness()
	}
}

// reportReadiness sends a heartbeat to each dispatcher whose last report has another
// readiness.
func (c *Core) reportReadiness() {
	for _, h := range c.holderOrder {
		if h.reportedReady != c.Ready() {
			c.sendHeartbeat(h)
		}
	}
}

func (c *Core) poll(renewal bool) {
	u := &c.upstream
	a := Poll{Upstream: u.id, Renewal: renewal, SentAt: c.now.Mono, Token: c.token, AcknowledgedUpTo: u.processedUpTo}
	if u.phase == open && !c.upstreamSilent() && !u.refuses() {
		if c.leaseLeft() > 0 {
			a.LeaseUntil = c.extendLease(renewal)
			a.LeaseFrom = u.leaseFrom
		} else if renewal {
			c.logEvent("lease_not_extended", "", "upstream", u.id, "born", u.incarnation, "runs", len(c.runs), "why", "a run that was to be stopped has not ended")
		}
	}
	if renewal {
		u.renewalInFlight, u.lastRenewalSentAt = true, c.now.Mono
	} else {
		u.longPollInFlight, a.Wait = true, longPollWait
	}
	c.out = append(c.out, a)
}

// handlePollCompleted processes the result of a poll.
func (c *Core) handlePollCompleted(e PollCompleted) {
	u := &c.upstream
	if u.phase == absent {
		return
	}
	if e.Renewal {
		u.renewalInFlight = false
	} else {
		u.longPollInFlight = false
	}
	c.recordPollResult(e)
	switch e.Result {
	case CallOK:
	case CallNoListener:
		if e.SentAt >= u.discoveredAt {
			u.takeBackExtension(e)
			c.handleRefusedConnection()
		}
		return
	case CallFenced:
		c.token += tokenStep
		return
	case CallWrongIncarnation:
		u.refuted = u.refuted || e.SentAt >= u.discoveredAt
		return
	default:
		return
	}
	if e.Incarnation != u.incarnation {
		if e.Incarnation > u.incarnation {
			c.orphanRuns("a poll found a newer incarnation")
			// The upstream info comes with the announcement of the new incarnation.
			c.beginIncarnation(Announcement{ID: u.id, Incarnation: e.Incarnation})
		} else if e.Incarnation > 0 && e.SentAt >= u.discoveredAt {
			u.refuted = true
		}
		return
	}
	u.refuted = false
	u.observeClock(e.Clock, c.now.Mono)
	u.lastAnsweredSentAt = max(u.lastAnsweredSentAt, e.SentAt)
	c.refuteSuspicion(e.SentAt)
	if u.phase == probing {
		// Only a poll with the newest token proves that earlier calls can start no more runs.
		if e.Token == c.token {
			c.handleProbe(e)
		}
		return
	}
	if c.processCompletions(e) && e.Renewal {
		// The long poll should have returned these completions: its answer was lost.
		u.longPollInFlight = false
	}
	c.reconcileRuns(e)
}

// handleProbe stops the runs that a poll in phase probing has listed. Once the upstream
// lists none, handleProbe opens it.
func (c *Core) handleProbe(e PollCompleted) {
	for _, completion := range e.Completed {
		c.upstream.processedUpTo = max(c.upstream.processedUpTo, completion.Number)
	}
	if len(e.Running) == 0 {
		c.completeOrphans(true)
		c.upstream.phase, c.upstream.openedAt = open, c.now.Mono
		if proof, _ := c.upstream.life.Ended(); proof == liveness.Expired {
			// The runs of before have ended, but the upstream has not.
			c.upstream.life, c.upstream.withdrawn = liveness.Incarnation{}, false
		}
		c.upstream.polls.Succeeded()
		c.capacityChanged()
		c.logEvent("upstream_open", "", "upstream", c.upstream.id, "born", c.upstream.incarnation)
		return
	}
	c.logEvent("leftover_runs_stopped", "", "upstream", c.upstream.id, "runs", len(e.Running))
	for _, t := range e.Running {
		c.out = append(c.out, StopRun{Upstream: c.upstream.id, Name: t.Name, RunNumber: t.RunNumber, Token: c.token})
	}
}

// processCompletions processes the new completions and reports whether there were any.
func (c *Core) processCompletions(e PollCompleted) bool {
	found := false
	for _, completion := range e.Completed {
		if completion.Number <= c.upstream.processedUpTo {
			continue
		}
		found = true
		c.upstream.processedUpTo = completion.Number
		r, ok := c.runsByTask[completion.Name]
		if !ok || r.number != completion.RunNumber {
			continue
		}
		duration := c.now.Mono - r.startedAt
		switch {
		case completion.Completion == CompletionDone:
			c.recordDuration(r, duration)
			c.completeRun(r, message.RunDone, "", duration)
		case completion.Completion == CompletionFailed:
			c.completeRun(r, message.RunFailed, "", duration)
		case r.state == stopping:
			c.completeRun(r, message.RunStopped, r.stopReason, 0)
		default:
			c.completeRun(r, message.RunLost, "", 0)
		}
	}
	c.upstream.acknowledgedUpTo = max(c.upstream.acknowledgedUpTo, e.AcknowledgedUpTo)
	return found
}

// reconcileRuns compares the upstream's list of active runs with the lessee's own runs. It
// completes runs that the upstream does not list and stops runs that are not its own.
func (c *Core) reconcileRuns(e PollCompleted) {
	listed := make(map[message.TaskName]int, len(e.Running))
	for _, t := range e.Running {
		listed[t.Name] = t.RunNumber
		r, ok := c.runsByTask[t.Name]
		if ok && r.number == t.RunNumber {
			c.checkProgress(r, t.Percent)
			continue
		}
		if completedAt, justCompleted := c.completedAt[t.Name]; !ok && justCompleted && completedAt >= e.SentAt {
			continue // The poll was sent before the completion was processed.
		}
		if !ok || r.state != starting {
			c.logEvent("unknown_run_stopped", t.Name.Job, "task", t.Name.String(), "run", t.RunNumber)
			c.out = append(c.out, StopRun{Upstream: c.upstream.id, Name: t.Name, RunNumber: t.RunNumber, Token: c.token})
		}
	}
	for _, h := range c.holderOrder {
		for _, r := range c.unfinishedRuns(h) {
			if r.state == starting || r.confirmedAt == 0 || r.confirmedAt >= e.SentAt {
				continue
			}
			if number, ok := listed[r.name]; ok && number == r.number {
				continue
			}
			if r.state == stopping {
				c.completeRun(r, message.RunStopped, r.stopReason, 0)
			} else {
				c.completeRun(r, message.RunLost, "", 0)
			}
		}
	}
}
