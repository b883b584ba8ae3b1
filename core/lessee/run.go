package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

type runState uint8

const (
	starting runState = iota
	running
	stopping
	ended
)

// startTries is how often a start without an answer is sent before the run is
// stopped instead.
const startTries = 4

// run is one accepted offer.
type run struct {
	handle uint64
	owner  *owner
	seq    uint64
	name   message.TaskName
	number int
	spec   string
	need   message.Resources
	state  runState
	// expected is the estimated duration, or zero.
	expected time.Duration
	// stopReason says why it is being stopped, if that is to be told.
	stopReason message.RefuseReason
	tries      int
	// stray is set when the upstream has begun another life since: the last call that
	// starts the run may have been carried out there.
	stray bool
	// unanswered is set when a start got no answer: it may be carried out yet.
	unanswered bool
	// confirmed is set once the upstream has answered a start or a stop, so that it
	// lists the run unless it has ended.
	confirmed bool
	// startedAt is when the start was answered.
	startedAt time.Duration
	// asked is when the last stop was sent.
	asked   time.Duration
	endedAt time.Duration
	end     message.RunCompletion
}

// offer starts a task, or says why not. A repeated offer is answered from what is
// known of the first.
func (c *Core) offer(o *owner, m *message.Offer) {
	if r, ok := o.bySeq[m.Seq]; ok {
		if r.state == ended {
			c.report(r)
		}
		return
	}
	o.seen = max(o.seen, m.Seq)
	o.offered = true
	o.waiting = m.FirstWaiting
	if m.FirstWaiting != nil {
		o.waitingUntil = c.now.Mono + waitingLife
	}
	if reason := c.refuses(m); reason != "" {
		c.refuse(o, m, reason)
		return
	}
	o.renew(m.EchoedTimestamp)
	if other, ok := c.byName[m.Task]; ok {
		c.offerAgain(o, m, other)
		return
	}
	if !m.Demand.Fits(c.life.capacity.Sub(c.used)) {
		c.refuse(o, m, message.RefusedNoCapacity)
		return
	}
	c.handles++
	r := &run{
		handle: c.handles, owner: o, seq: m.Seq, name: m.Task, number: m.RunNumber,
		spec: m.Spec, need: m.Demand, expected: m.ExpectedDuration, startedAt: c.now.Mono,
	}
	c.runs[r.handle] = r
	c.byName[r.name] = r
	c.used = c.used.Add(r.need)
	c.changed()
	o.bySeq[r.seq] = r
	o.runs++
	c.callStart(r)
}

// refuses returns why an offer starts nothing, whatever the room.
func (c *Core) refuses(m *message.Offer) message.RefuseReason {
	if held := c.now.Mono - m.EchoedTimestamp; held-m.EchoAge > lease.MaxOfferDelay || held > lease.RunLease {
		return message.RefusedStale
	}
	if reason := c.refusal(); reason != "" {
		return reason
	}
	if len(c.runs) > 0 && c.suspect() {
		return message.RefusedNotReady
	}
	if m.Service != c.life.service {
		return message.RefusedOtherService
	}
	return ""
}

// offerAgain handles an offer of a task that another offer has started. The run
// goes on for the new dispatcher: its job was submitted again.
func (c *Core) offerAgain(o *owner, m *message.Offer, r *run) {
	if r.state == stopping {
		c.refuse(o, m, message.RefusedStopping)
		return
	}
	c.logEvent("run_adopted", m.Task.Job, "task", m.Task.String(), "from", r.owner.ref.String(), "to", o.ref.String())
	former := *r
	former.state = ended
	former.endedAt = c.now.Mono
	former.end = message.RunCompletion{Seq: r.seq, Result: message.RunStopped, Reason: message.RefusedTakenOver}
	r.owner.bySeq[r.seq] = &former
	r.owner.ends = append(r.owner.ends, &former)
	r.owner.runs--
	c.report(&former)

	r.owner, r.seq = o, m.Seq
	o.bySeq[r.seq] = r
	o.runs++
	c.changed()
}

// refuse answers an offer that starts nothing. It is kept, so that a repeated one
// gets the same answer.
func (c *Core) refuse(o *owner, m *message.Offer, reason message.RefuseReason) {
	r := &run{owner: o, seq: m.Seq, name: m.Task, number: m.RunNumber, state: ended, endedAt: c.now.Mono}
	r.end = message.RunCompletion{Seq: m.Seq, Result: message.RunRefused, Reason: reason}
	o.bySeq[m.Seq] = r
	o.ends = append(o.ends, r)
	c.logEvent("offer_refused", m.Task.Job, "task", m.Task.String(), "run", m.RunNumber, "reason", reason,
		"dispatcher", o.ref.String(), "stamp_age_ms", (c.now.Mono - m.EchoedTimestamp).Milliseconds(),
		"free_mcpu", c.life.capacity.Sub(c.used).MilliCPU, "need_mcpu", m.Demand.MilliCPU)
	c.report(r)
}

// recall stops a run. An offer that has not come will never start.
func (c *Core) recall(o *owner, m *message.RevokeOffer) {
	r, ok := o.bySeq[m.Seq]
	if !ok {
		r = &run{owner: o, seq: m.Seq, state: ended, endedAt: c.now.Mono}
		r.end = message.RunCompletion{Seq: m.Seq, Result: message.RunRefused, Reason: message.RefusedAborted}
		o.bySeq[m.Seq] = r
		o.ends = append(o.ends, r)
	}
	if r.state == ended {
		c.report(r)
		return
	}
	c.stop(r)
}

// stop asks the upstream to stop a run.
func (c *Core) stop(r *run) {
	if r.state == ended {
		return
	}
	r.state = stopping
	c.callStop(r)
}

func (c *Core) callStart(r *run) {
	r.tries++
	c.out = append(c.out, StartRun{
		Handle: r.handle, Upstream: c.life.id, Name: r.name, RunNumber: r.number, Spec: r.spec,
		Token: c.token, LeaseUntil: c.until(), Try: r.tries,
	})
}

func (c *Core) callStop(r *run) {
	r.asked = c.now.Mono
	c.out = append(c.out, StopRun{Upstream: c.life.id, Name: r.name, RunNumber: r.number, Token: c.token})
}

// startEnded takes the answer to a start.
func (c *Core) startEnded(e StartCallCompleted) {
	r, ok := c.runs[e.Handle]
	if !ok {
		return
	}
	if r.stray {
		c.strayStartEnded(r, e.Result)
		return
	}
	c.life.heardClock(e.Clock, c.now.Mono)
	if e.Result == CallOK {
		r.confirmed = true
		r.startedAt = c.now.Mono
		if r.state == starting {
			r.state = running
		} else if r.state == stopping {
			c.callStop(r)
		}
		return
	}
	if r.state == stopping {
		c.startRefusedWhileStopping(r, e.Result)
		return
	}
	if r.state == running {
		return
	}
	c.startFailed(r, e.Result)
}

// strayStartEnded takes the answer to a start that was meant for a former life.
func (c *Core) strayStartEnded(r *run, result CallResult) {
	switch result {
	case CallUnknown, CallNoListener:
		r.unanswered = true
	case CallOK:
		c.callStop(r)
	default:
		if !r.unanswered {
			c.finish(r, message.RunStopped, "", 0)
		}
	}
}

// startRefusedWhileStopping ends a run that the upstream has provably not started.
func (c *Core) startRefusedWhileStopping(r *run, result CallResult) {
	if result == CallUnknown {
		r.unanswered = true
	}
	if r.unanswered || result == CallNoListener {
		return
	}
	c.finish(r, message.RunStopped, "", 0)
}

func (c *Core) startFailed(r *run, result CallResult) {
	switch result {
	case CallUnknown:
		c.startUnknown(r)
	case CallFenced:
		c.token += tokenStep
		c.logEvent("fencing_token_raised", r.name.Job, "token", c.token)
		c.retryStart(r, message.RefusedNotReady)
	case CallStaleRun:
		r.number++
		c.retryStart(r, message.RefusedNotReady)
	case CallLeaseExpired:
		c.retryStart(r, message.RefusedNotReady)
	case CallNoCapacity:
		c.logEvent("upstream_had_no_room", r.name.Job, "task", r.name.String(), "used_mcpu", c.used.MilliCPU,
			"capacity_mcpu", c.life.capacity.MilliCPU)
		c.notStarted(r, message.RefusedNoCapacity)
	case CallUnhealthy:
		c.notStarted(r, message.RefusedUnhealthy)
	case CallNoListener:
		c.lifeEnded("its port refused a connection")
	default:
		c.notStarted(r, message.RefusedNotReady)
	}
}

// notStarted ends a run that the upstream has refused. If an earlier start got no
// answer, the run is stopped, lest that be carried out yet.
func (c *Core) notStarted(r *run, reason message.RefuseReason) {
	if r.unanswered {
		c.stop(r)
		return
	}
	c.finish(r, message.RunRefused, reason, 0)
}

// startUnknown repeats a start without an answer; the run number makes that
// harmless. In the end the run is stopped.
func (c *Core) startUnknown(r *run) {
	r.unanswered = true
	c.logEvent("start_unanswered", r.name.Job, "task", r.name.String(), "run", r.number, "tries", r.tries)
	if r.tries < startTries {
		c.callStart(r)
		return
	}
	c.stop(r)
}

// startRetries bounds the starts that are repeated after a refusal which the next
// one avoids.
const startRetries = 8

func (c *Core) retryStart(r *run, reason message.RefuseReason) {
	if r.tries < startRetries {
		c.callStart(r)
		return
	}
	c.notStarted(r, reason)
}

// stopEnded takes the answer to a stop. The run has ended when the upstream lists
// its end, or lists it no longer.
func (c *Core) stopEnded(e StopCallCompleted) {
	r, ok := c.byName[e.Name]
	if e.Result == CallNoListener {
		if !ok || !r.stray {
			c.lifeEnded("its port refused a connection")
		}
		return
	}
	if ok && r.number == e.RunNumber && r.state == stopping && e.Result == CallOK {
		r.confirmed = true
		r.startedAt = c.now.Mono
	}
}

// finish ends a run and tells its dispatcher.
func (c *Core) finish(r *run, result message.RunResult, reason message.RefuseReason, took time.Duration) {
	if r.state == ended {
		return
	}
	r.state = ended
	r.endedAt = c.now.Mono
	r.spec = ""
	r.end = message.RunCompletion{Seq: r.seq, Result: result, Reason: reason, Duration: took}
	delete(c.runs, r.handle)
	delete(c.byName, r.name)
	c.endedAt[r.name] = c.now.Mono
	c.used = c.used.Sub(r.need)
	c.changed()
	r.owner.runs--
	r.owner.ends = append(r.owner.ends, r)
	c.logEvent("run_ended", r.name.Job, "task", r.name.String(), "run", r.number, "result", result, "reason", reason,
		"took_ms", took.Milliseconds())
	// The report is to say whether the freed room is kept for another dispatcher.
	if c.passTurn() && c.turn.holder != r.owner {
		c.beatTo(c.turn.holder)
	}
	c.report(r)
}

// report tells the dispatcher the end of an offer, with the room there is now.
func (c *Core) report(r *run) {
	end := r.end
	end.Capacity = c.room(r.owner)
	r.owner.told, r.owner.toldSeen = c.roomVersion, r.owner.seen
	c.send(r.owner.ref, message.Message{RunCompletion: &end})
}

const (
	// paceAfter is the age at which a run's progress says enough: it has been listed
	// by a renewal or two.
	paceAfter = lease.RenewalInterval
	// slowFactor is how many times the expected duration what is left of a run may
	// take. Estimates are off by up to 0.4, and slow workers take up to 1.3 times as
	// long; the rest keeps work from being thrown away for little.
	slowFactor = 3.5
)

// checkPace stops a run that would take far longer than expected.
func (c *Core) checkPace(r *run, percent int) {
	age := c.now.Mono - r.startedAt
	if r.state != running || r.expected == 0 || age < paceAfter || age < r.expected*3/10 {
		return
	}
	left := time.Duration(float64(age) * float64(100-percent) / max(float64(percent), 0.5))
	if float64(left) <= slowFactor*float64(r.expected) {
		return
	}
	c.logEvent("run_too_slow", r.name.Job, "task", r.name.String(), "run", r.number, "age_ms", age.Milliseconds(),
		"percent", percent, "expected_ms", r.expected.Milliseconds())
	r.stopReason = message.RefusedTooSlow
	c.stop(r)
}
