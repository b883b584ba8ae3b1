package lessee

import "github.com/dogwoodgauge/dogwoodgauge/core/message"

// maxStartCallsUnanswered limits the start calls of a run. When that many were sent and the
// last one got no answer, the lessee stops the run instead of calling again.
const maxStartCallsUnanswered = 4

func (c *Core) callStart(r *run) {
	r.startCalls++
	r.startsInFlight++
	c.out = append(c.out, StartRun{
		Handle: r.handle, Upstream: c.upstream.id, Name: r.name, RunNumber: r.number, Spec: r.spec,
		Token: c.token, LeaseUntil: c.extendLease(false), Try: r.startCalls,
	})
	r.leaseFrom = c.upstream.leaseFrom
}

// handleStartCallCompleted processes the result of a start call.
func (c *Core) handleStartCallCompleted(e StartCallCompleted) {
	r, ok := c.runs[e.Handle]
	if !ok {
		return
	}
	r.startsInFlight--
	if r.orphaned {
		c.handleOrphanStartCompleted(r, e.Result)
		return
	}
	c.upstream.observeClock(e.Clock, c.now.Mono)
	if e.Result == CallNoListener {
		c.upstream.extensions.notReceived(r.leaseFrom)
	}
	if e.Result == CallNoCapacity && r.state != running {
		c.lowerCapacity(r, e.Clock)
	}
	if e.Result == CallOK {
		r.confirmedAt = c.now.Mono
		if r.state == starting {
			r.state, r.startedAt = running, c.now.Mono
		} else if r.state == stopping {
			c.callStop(r)
		}
		return
	}
	if r.state == stopping {
		c.handleStartFailureWhileStopping(r, e.Result)
		return
	}
	if r.state == running {
		return
	}
	c.handleStartFailure(r, e.Result)
}

// handleOrphanStartCompleted processes the result of a start call for an orphaned run. A
// refusal completes the run, unless an earlier call got no answer and may still be executed.
func (c *Core) handleOrphanStartCompleted(r *run, result CallResult) {
	switch result {
	case CallUnknown:
		c.noteUnanswered(r)
	case CallOK:
		c.callStop(r)
	default:
		if !r.startUnanswered {
			c.completeRun(r, message.RunStopped, "", 0)
		}
	}
}

// handleStartFailureWhileStopping completes a run that is being stopped, if the result of the
// start call proves that the upstream has not started it.
func (c *Core) handleStartFailureWhileStopping(r *run, result CallResult) {
	switch {
	case result == CallUnknown:
		c.noteUnanswered(r)
	case !r.startUnanswered:
		c.completeRun(r, message.RunStopped, "", 0)
	}
	if result == CallNoListener {
		c.handleRefusedConnection()
	}
}

func (c *Core) handleStartFailure(r *run, result CallResult) {
	if result != CallNoListener && c.leaseLeft() == 0 {
		if result == CallUnknown {
			c.noteUnanswered(r)
		}
		c.giveUpStart(r, message.RefusedNotReady)
		return
	}
	switch result {
	case CallUnknown:
		c.retryUnansweredStart(r)
	case CallFenced:
		c.token += tokenStep
		c.logEvent("fencing_token_raised", r.name.Job, "token", c.token)
		c.retryRefusedStart(r, message.RefusedNotReady)
	case CallStaleRun:
		c.handleStaleRun(r)
	case CallLeaseExpired:
		c.retryRefusedStart(r, message.RefusedNotReady)
	case CallNoCapacity:
		c.logEvent("upstream_had_no_room", r.name.Job, "task", r.name.String(), "used_mcpu", c.used.MilliCPU,
			"capacity_mcpu", c.upstream.capacity.MilliCPU)
		c.giveUpStart(r, message.RefusedNoCapacity)
	case CallUnhealthy:
		c.giveUpStart(r, message.RefusedUnhealthy)
	case CallNoListener:
		c.giveUpStart(r, message.RefusedNotReady)
		c.handleRefusedConnection()
	default:
		c.giveUpStart(r, message.RefusedNotReady)
	}
}

// handleStaleRun handles the refusal of a run number. If an earlier call got no answer, that call
// may have started the run, and polls will show how it has ended. Otherwise the number is one of
// an earlier submission of the job.
func (c *Core) handleStaleRun(r *run) {
	if r.startUnanswered {
		r.state, r.confirmedAt = running, c.now.Mono
		return
	}
	r.refusedAsStale = true
	r.number++
	c.retryRefusedStart(r, message.RefusedNotReady)
}

// giveUpStart completes a run whose start the upstream has refused. If an earlier start
// call got no answer, the run is stopped instead, since the upstream may still execute
// that call.
func (c *Core) giveUpStart(r *run, reason message.RefuseReason) {
	if r.startUnanswered {
		c.stop(r)
		return
	}
	c.completeRun(r, message.RunRefused, reason, 0)
}

// retryUnansweredStart repeats a start call that got no answer. This is safe, since the
// upstream starts a run number only once. After maxStartCallsUnanswered calls the run is
// stopped.
func (c *Core) retryUnansweredStart(r *run) {
	c.noteUnanswered(r)
	c.logEvent("start_unanswered", r.name.Job, "task", r.name.String(), "run", r.number, "tries", r.startCalls)
	if r.startCalls < maxStartCallsUnanswered && !c.upstream.refuses() {
		c.callStart(r)
		return
	}
	c.stop(r)
}

// maxStartCallsRefused limits the start calls of a run. When that many were sent and the
// last one was refused, the lessee gives up, even if another call would avoid the reason
// of the refusal.
const maxStartCallsRefused = 8

func (c *Core) retryRefusedStart(r *run, reason message.RefuseReason) {
	if r.startCalls < maxStartCallsRefused {
		c.callStart(r)
		return
	}
	c.giveUpStart(r, reason)
}
