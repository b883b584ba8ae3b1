package lessee

import (
	"cmp"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

// witnessCount is the number of other dispatchers that are told of a start call without an answer:
// the one that has offered the task may be lost together with this host.
const witnessCount = 2

// noteUnanswered records that a start call of the run got no answer.
func (c *Core) noteUnanswered(r *run) {
	if !r.startUnanswered {
		r.startUnanswered = true
		c.tellUnanswered(r)
	}
}

// tellUnanswered tells the dispatcher of a run and the witnesses that a start call got no answer:
// should this process end, only its next incarnation can rule out that the call is executed.
func (c *Core) tellUnanswered(r *run) {
	c.sendHeartbeat(r.holder)
	r.witnesses = c.witnesses(r)
	r.witnessed = latestart.Hold{
		Key: latestart.Key{Job: r.name.Job, Dispatcher: r.holder.ref}, Offer: r.seq, ExpiresAt: c.now.Mono + lease.LateStartExpiry,
	}
	for _, h := range r.witnesses {
		h.holds.add(r.witnessed)
		h.witnessedRuns++
		c.sendHeartbeat(h)
	}
}

// dismissWitnesses tells the witnesses of a run, with their next heartbeats, that it has completed.
func (c *Core) dismissWitnesses(r *run) {
	for _, h := range r.witnesses {
		over := r.witnessed
		over.Released = true
		h.holds.add(over)
		h.witnessedRuns--
	}
	r.witnesses = nil
}

// witnesses returns the dispatchers that are told of the start calls without an answer of a run:
// always the same ones as far as possible, since they get heartbeats at a shorter interval.
func (c *Core) witnesses(r *run) []*leaseHolder {
	list := slices.DeleteFunc(slices.Clone(c.holderOrder), func(h *leaseHolder) bool { return h == r.holder || h.lastTimestamp == 0 })
	slices.SortStableFunc(list, func(x, y *leaseHolder) int {
		return cmp.Compare(rendezvous.Rank(c.upstream.id, y.ref.ID), rendezvous.Rank(c.upstream.id, x.ref.ID))
	})
	return list[:min(len(list), witnessCount)]
}

// startCalls returns the offers of a dispatcher with an open run of which a start call got no
// answer, and those of which every start call was answered.
func (c *Core) startCalls(h *leaseHolder) (unanswered, answered []uint64) {
	if h.unfinished == 0 {
		return nil, nil
	}
	for _, r := range c.runs {
		switch {
		case r.holder != h:
		case r.startUnanswered:
			unanswered = append(unanswered, r.seq)
		case r.startsInFlight == 0:
			answered = append(answered, r.seq)
		}
	}
	slices.Sort(unanswered)
	slices.Sort(answered)
	return unanswered, answered
}

// mayStartLate reports whether a newer incarnation of the upstream may execute a start call of
// the run.
func (r *run) mayStartLate() bool { return r.startUnanswered || r.startsInFlight > 0 }
