package lessee

import (
	"cmp"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// reservationTime is how long scarce capacity is reserved for one dispatcher. It covers
	// a round trip between failure domains and the response time of a busy process. It is
	// short compared to tasks, which take 60 ms and more.
	reservationTime = 12 * time.Millisecond
	// skipTime is how long a dispatcher that has not used its reservation gets no other,
	// unless more capacity becomes free or the dispatcher reports a waiting task again.
	skipTime = 100 * time.Millisecond
	// orderedSkipTime is the same for a dispatcher whose task is ordered by objective. The one
	// with the longest backlog is first at many agents at once and cannot use all of their
	// capacity; skipped for longer, it would get less than the others.
	orderedSkipTime = 20 * time.Millisecond
	// orderMargin is the difference of two objectives below which an offer is accepted before
	// the task that waits elsewhere. Reports of waiting tasks may be as old as that, and each
	// refused offer costs two messages.
	orderMargin = waitingTTL / 2
)

// reservation holds scarce free capacity for one dispatcher at a time. If all dispatchers
// with waiting tasks were notified of freed capacity at once, all but one of their offers
// would be refused, and the dispatchers on the slowest hosts would always be too late.
type reservation struct {
	holder *leaseHolder
	until  time.Duration
	// free is the free capacity at the time when the reservation began.
	free message.Resources
}

// hasFittingTask reports whether a dispatcher can get a reservation: its first waiting task
// fits into free, and it is not skipped for an unused reservation.
func (c *Core) hasFittingTask(h *leaseHolder, free message.Resources) bool {
	if h.firstWaiting == nil || c.now.Mono >= h.waitingExpiresAt || !h.firstWaiting.Demand.Fits(free) {
		return false
	}
	return c.now.Mono >= h.skippedUntil || !free.Fits(h.skippedFree)
}

// updateReservation ends a reservation that was used, has expired or no longer fits, and
// begins the next, for the first dispatcher by compareWaiting. It reports whether there is a
// new holder.
func (c *Core) updateReservation() bool {
	free := c.upstream.capacity.Sub(c.used)
	if holder := c.reservation.holder; holder != nil {
		switch {
		case holder.offeredSinceReserved:
		case c.now.Mono >= c.reservation.until:
			holder.skippedUntil, holder.skippedFree = c.now.Mono+holder.skipTime(), c.reservation.free
		case c.hasFittingTask(holder, free):
			return false
		}
		c.endReservation()
	}
	if c.refusal() != "" {
		return false
	}
	var next *leaseHolder
	for _, h := range c.holderOrder {
		if c.hasFittingTask(h, free) && (next == nil || compareWaiting(h, next) < 0) {
			next = h
		}
	}
	if next == nil {
		return false
	}
	next.lastReservedAt, next.offeredSinceReserved = c.now.Mono, false
	c.reservation = reservation{holder: next, until: c.now.Mono + reservationTime, free: free}
	return true
}

func (h *leaseHolder) skipTime() time.Duration {
	if h.ordered() {
		return orderedSkipTime
	}
	return skipTime
}

// ordered reports whether the first waiting task of the dispatcher is ordered by objective.
func (h *leaseHolder) ordered() bool { return h.firstWaiting != nil && h.firstWaiting.Due != 0 }

// setWaiting records the first waiting task that a dispatcher has reported, or that it has
// none, and reports whether it has one.
func (c *Core) setWaiting(h *leaseHolder, w *message.WaitingTask) bool {
	h.firstWaiting = w
	if w == nil {
		return false
	}
	h.waitingExpiresAt = c.now.Mono + waitingTTL
	h.waitingDue = c.now.Mono + w.Due
	return true
}

// compareWaiting orders dispatchers by their first waiting tasks: by priority, then those that
// can meet their objective, then by objective, as one dispatcher orders its own. By turns
// alone, a dispatcher with more callers than the others would get too little capacity.
// Dispatchers that do not report objectives take turns.
func compareWaiting(a, b *leaseHolder) int {
	if byPriority := cmp.Compare(a.firstWaiting.Priority, b.firstWaiting.Priority); byPriority != 0 {
		return byPriority
	}
	if a.ordered() && b.ordered() {
		return cmp.Or(compareBool(a.firstWaiting.Late, b.firstWaiting.Late), cmp.Compare(a.waitingDue, b.waitingDue),
			cmp.Compare(a.lastReservedAt, b.lastReservedAt))
	}
	return cmp.Compare(a.lastReservedAt, b.lastReservedAt)
}

// precededOffer reports whether an offer would take capacity for which the waiting task of
// another dispatcher comes first. A dispatcher does not know the tasks that wait elsewhere, so
// it would give capacity that was reserved for an urgent task to a less urgent one, once the
// urgent one has been placed on another upstream.
func (c *Core) precededOffer(h *leaseHolder, m *message.Offer) bool {
	if m.Due == 0 {
		return false
	}
	free := c.upstream.capacity.Sub(c.used)
	left := free.Sub(m.Demand)
	for _, o := range c.holderOrder {
		if o == h || !o.ordered() || !c.hasFittingTask(o, free) || o.firstWaiting.Demand.Fits(left) {
			continue
		}
		w := o.firstWaiting
		if w.Priority < m.Priority || w.Priority == m.Priority && !w.Late && (m.Late || o.waitingDue+orderMargin < c.now.Mono+m.Due) {
			return true
		}
	}
	return false
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// endReservation ends the current reservation. The other dispatchers get a new capacity
// report, as the capacity is no longer hidden from them.
func (c *Core) endReservation() {
	c.reservation = reservation{}
	c.capacityChanged()
}

// reportedUse returns the capacity in use that is reported to a dispatcher. While free
// capacity is reserved for another dispatcher, a dispatcher with waiting tasks gets a report
// that all capacity is in use. A dispatcher without waiting tasks rarely competes for the
// reserved capacity, so it gets the actual value. Capacity that is announced but not usable
// counts as in use.
//
// If the holder's task is ordered by objective, the capacity is hidden from all others: a
// dispatcher that has just placed all its tasks would give the capacity to newer ones.
func (c *Core) reportedUse(h *leaseHolder) message.Resources {
	used := c.used.Add(c.unusable())
	holder := c.reservation.holder
	if holder == nil || holder == h {
		return used
	}
	waiting := h.firstWaiting != nil && c.now.Mono < h.waitingExpiresAt
	if !waiting && !holder.ordered() {
		return used
	}
	return c.upstream.estimate.announced
}
