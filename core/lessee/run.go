package lessee

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/interference"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
)

type runState uint8

const (
	starting runState = iota
	running
	stopping
	completed
)

// run is the state of an accepted offer.
type run struct {
	// handle identifies the run in StartRun and StartCallCompleted.
	handle uint64
	holder *leaseHolder
	seq    uint64
	name   message.TaskName
	number int
	// route is the name of the route of the task's job.
	route  string
	spec   string
	demand message.Resources
	// isolation is Offer.Isolation, and acceptedAt when the offer was accepted. receivedAt is the
	// same for the offer of the present dispatcher.
	isolation              message.Isolation
	acceptedAt, receivedAt time.Duration
	state                  runState
	// expectedDuration is the estimated duration, or zero if there is no estimate.
	expectedDuration time.Duration
	// slowdown is Offer.Slowdown.
	slowdown int
	// stopReason is why the run is being stopped, if the completion reports the reason.
	stopReason message.RefuseReason
	// startCalls is the number of start calls sent, and startsInFlight that of those without a
	// result.
	startCalls, startsInFlight int
	// orphaned is set when the upstream has ended, or may have, and its next incarnation may
	// execute a start call of the run. From orphanedUntil on it cannot.
	orphaned      bool
	orphanedUntil time.Duration
	// startUnanswered is set when a start call got no answer: the upstream may still
	// execute it.
	startUnanswered bool
	// witnesses are the other dispatchers that were told so, and witnessed is what they were told.
	witnesses []*leaseHolder
	witnessed latestart.Hold
	// confirmedAt is when the upstream last answered that it has executed a start or stop call,
	// or zero. From then on its polls list the run as active, unless the run has completed.
	confirmedAt time.Duration
	// leaseFrom is the time from which the lease of the last start call counts.
	leaseFrom time.Duration
	// startedAt is when the upstream confirmed the start or, before that, when the run was
	// accepted.
	startedAt time.Duration
	// observed is the run in observer, or nil.
	observed *interference.Run
	// lastStopSentAt is when the last stop call was sent.
	lastStopSentAt time.Duration
	// endBy is when the run must have ended at the latest, or zero if its task starts elsewhere
	// only after the run has ended: the lease is not extended beyond that.
	endBy time.Duration
	// refusedAsStale is set when the upstream has refused a start call since it knew an earlier run.
	refusedAsStale bool
}

func (r *run) offerKey() offerKey { return offerKey{r.holder.ref, r.seq} }

// handleOffer starts a task or refuses the offer with a reason. A repeated offer starts
// nothing. If the first one was answered, handleOffer repeats the answer, or states that it
// was forgotten.
func (c *Core) handleOffer(h *leaseHolder, m *message.Offer) {
	key := offerKey{h.ref, m.Seq}
	if a, ok := c.answers.byKey[key]; ok {
		c.logEvent("answer_repeated", m.Task.Job, "task", m.Task.String(), "run", m.RunNumber, "dispatcher", h.ref.String(),
			"result", a.completion.Result, "reason", a.completion.Reason, "answered_ms_ago", (c.now.Mono - a.answeredAt).Milliseconds())
		c.sendAnswer(h, a)
		return
	}
	if _, open := c.runsByOffer[key]; open {
		return
	}
	h.maxOfferSeq = max(h.maxOfferSeq, m.Seq)
	if !c.answers.coversSince(firstSentAt(m)) {
		c.answersForgotten++
		c.logEvent("answer_forgotten", m.Task.Job, "task", m.Task.String(), "run", m.RunNumber, "dispatcher", h.ref.String(),
			"first_sent_ms_ago", (c.now.Mono - firstSentAt(m)).Milliseconds())
		c.sendAnswer(h, c.recordAnswer(key, c.now.Mono, message.RunCompletion{Seq: m.Seq, Result: message.RunLost, Reason: message.LostForgotten}))
		return
	}
	h.offeredSinceReserved = true
	c.setWaiting(h, m.FirstWaiting)
	if reason := c.offerRefusal(m); reason != "" {
		if reason == message.RefusedStale {
			c.sendHeartbeat(h) // The next offer needs a newer timestamp.
		}
		c.refuseOffer(h, m, reason)
		return
	}
	h.renewLease(min(m.EchoedTimestamp+m.EchoAge, c.now.Mono))
	if other, ok := c.runsByTask[m.Task]; ok {
		c.adoptOrRefuse(h, m, other)
		return
	}
	if !m.Demand.Fits(c.upstream.capacity.Sub(c.used)) || c.precededOffer(h, m) {
		c.refuseOffer(h, m, message.RefusedNoCapacity)
		return
	}
	if c.proves(m) {
		c.refuseOffer(h, m, message.RefusedProving)
		return
	}
	c.lastHandle++
	r := &run{
		handle: c.lastHandle, holder: h, seq: m.Seq, name: m.Task, number: m.RunNumber,
		route: m.Route, spec: m.Spec, demand: m.Demand, expectedDuration: m.ExpectedDuration, startedAt: c.now.Mono,
		isolation: m.Isolation, acceptedAt: c.now.Mono, receivedAt: c.now.Mono, slowdown: m.Slowdown,
	}
	c.runs[r.handle] = r
	c.runsByTask[r.name] = r
	c.used = c.used.Add(r.demand)
	c.capacityChanged()
	c.runsByOffer[key] = r
	h.unfinished++
	c.observeStart(r)
	c.callStart(r)
}

// offerRefusal returns why an offer is refused regardless of free capacity, or an empty
// reason.
func (c *Core) offerRefusal(m *message.Offer) message.RefuseReason {
	if m.EchoedTimestamp == 0 || c.now.Mono-m.EchoedTimestamp-m.EchoAge > lease.MaxOfferDelay {
		return message.RefusedStale
	}
	if c.cancelled.Known(c.now.Mono, m.Task.Job) {
		return message.RefusedCancelled
	}
	if reason := c.refusal(); reason != "" {
		return reason
	}
	if len(c.runs) > 0 && c.upstreamSilent() {
		return message.RefusedNotReady
	}
	if m.Service != c.upstream.service {
		return message.RefusedOtherService
	}
	if m.RequiredLabel != "" && !slices.Contains(c.upstream.labels, m.RequiredLabel) {
		return message.RefusedMissingLabel
	}
	return ""
}

// adoptOrRefuse handles an offer of a task that already has a run from another offer: the
// job was submitted again. The sender of the new offer adopts the run, unless the run is
// being stopped or is that of another job with the same ID.
func (c *Core) adoptOrRefuse(h *leaseHolder, m *message.Offer, r *run) {
	if r.spec != m.Spec || r.demand != m.Demand {
		c.refuseOffer(h, m, message.RefusedIDInUse)
		return
	}
	if r.state == stopping {
		c.refuseOffer(h, m, message.RefusedStopping)
		return
	}
	c.logEvent("run_adopted", m.Task.Job, "task", m.Task.String(), "from", r.holder.ref.String(), "to", h.ref.String())
	delete(c.runsByOffer, r.offerKey())
	r.holder.unfinished--
	c.sendAnswer(r.holder, c.recordAnswer(r.offerKey(), r.receivedAt, message.RunCompletion{
		Seq: r.seq, Result: message.RunStopped, Reason: message.RefusedTakenOver,
	}))

	r.holder, r.seq, r.receivedAt = h, m.Seq, c.now.Mono
	c.runsByOffer[r.offerKey()] = r
	h.unfinished++
	c.capacityChanged()
	if r.startUnanswered {
		c.dismissWitnesses(r)
		c.tellUnanswered(r)
	}
}

// refuseOffer refuses an offer.
func (c *Core) refuseOffer(h *leaseHolder, m *message.Offer, reason message.RefuseReason) {
	mayHaveRun := reason == message.RefusedStopping || reason != message.RefusedIDInUse && c.mayHaveRun(m.Task.Job, h)
	c.logEvent("offer_refused", m.Task.Job, "task", m.Task.String(), "run", m.RunNumber, "reason", reason,
		"may_have_run", mayHaveRun, "dispatcher", h.ref.String(), "stamp_age_ms", (c.now.Mono - m.EchoedTimestamp).Milliseconds(),
		"free_mcpu", c.upstream.capacity.Sub(c.used).MilliCPU, "need_mcpu", m.Demand.MilliCPU)
	c.sendAnswer(h, c.recordAnswer(offerKey{h.ref, m.Seq}, c.now.Mono, message.RunCompletion{
		Seq: m.Seq, Result: message.RunRefused, Reason: reason, MayHaveRun: mayHaveRun,
	}))
}

// handleRevoke stops the run of an offer. An offer that has not been received yet is
// recorded as answered, so that it never starts.
func (c *Core) handleRevoke(h *leaseHolder, m *message.RevokeOffer) {
	key := offerKey{h.ref, m.Seq}
	if a, ok := c.answers.byKey[key]; ok {
		c.sendAnswer(h, a)
		return
	}
	r, ok := c.runsByOffer[key]
	if !ok {
		completion := message.RunCompletion{Seq: m.Seq, Result: message.RunRefused, Reason: message.RefusedAborted}
		if !c.answers.coversSince(0) {
			completion.Result, completion.Reason = message.RunLost, message.LostForgotten
		}
		c.sendAnswer(h, c.recordAnswer(key, c.now.Mono, completion))
		return
	}
	r.mustEndBy(c.now.Mono + lease.RevokeTime)
	c.stop(r)
}

// mustEndBy limits the time until the run must have ended.
func (r *run) mustEndBy(at time.Duration) {
	if r.endBy == 0 || at < r.endBy {
		r.endBy = at
	}
}

// stop calls the upstream to stop a run.
func (c *Core) stop(r *run) {
	if r.state == completed {
		return
	}
	r.state = stopping
	c.callStop(r)
}

func (c *Core) callStop(r *run) {
	r.lastStopSentAt = c.now.Mono
	c.out = append(c.out, StopRun{Upstream: c.upstream.id, Name: r.name, RunNumber: r.number, Token: c.token})
}

// handleStopCallCompleted processes the result of a stop call. The run completes later, when
// a poll lists it as completed or no longer lists it as active.
func (c *Core) handleStopCallCompleted(e StopCallCompleted) {
	r, ok := c.runsByTask[e.Name]
	if e.Result == CallNoListener {
		if !ok || !r.orphaned {
			c.handleRefusedConnection()
		}
		return
	}
	if ok && r.number == e.RunNumber && r.state == stopping && e.Result == CallOK {
		r.confirmedAt = c.now.Mono
	}
}

// completeRun completes a run and reports this to its dispatcher.
func (c *Core) completeRun(r *run, result message.RunResult, reason message.RefuseReason, duration time.Duration) {
	if r.state == completed {
		return
	}
	r.state = completed
	delete(c.runs, r.handle)
	delete(c.runsByTask, r.name)
	delete(c.runsByOffer, r.offerKey())
	completion := message.RunCompletion{Seq: r.seq, Result: result, Reason: reason, Duration: duration}
	if result == message.RunRefused {
		completion.MayHaveRun = r.refusedAsStale || c.mayHaveRun(r.name.Job, r.holder)
	} else if forgotten := c.ran.Renew(c.now.Mono, r.name.Job); forgotten != "" {
		c.logEvent("run_forgotten", forgotten, "limit", c.ran.Limit())
	}
	c.dismissWitnesses(r)
	c.completedAt[r.name] = c.now.Mono
	c.used = c.used.Sub(r.demand)
	c.observeEnd(r, result, duration)
	c.capacityChanged()
	r.holder.unfinished--
	c.logEvent("run_ended", r.name.Job, "task", r.name.String(), "run", r.number, "result", result, "reason", reason,
		"took_ms", duration.Milliseconds())
	// Update the reservation before sending the report, so that the report shows no free
	// capacity that is now reserved for another dispatcher.
	if c.updateReservation() && c.reservation.holder != r.holder {
		c.sendHeartbeat(c.reservation.holder)
	}
	c.sendAnswer(r.holder, c.recordAnswer(r.offerKey(), r.receivedAt, completion))
}
