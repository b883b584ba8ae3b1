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
// begins the next. It picks the dispatcher with the most urgent waiting task, and among
// equals the one that has gone without a reservation for longest. It reports whether there
// is a new holder.
func (c *Core) updateReservation() bool {
	free := c.upstream.capacity.Sub(c.used)
	if holder := c.reservation.holder; holder != nil {
		switch {
		case holder.offeredSinceReserved:
		case c.now.Mono >= c.reservation.until:
			holder.skippedUntil, holder.skippedFree = c.now.Mono+skipTime, c.reservation.free
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

func compareWaiting(a, b *leaseHolder) int {
	return cmp.Or(cmp.Compare(a.firstWaiting.Priority, b.firstWaiting.Priority), cmp.Compare(a.lastReservedAt, b.lastReservedAt))
}

// endReservation ends the current reservation. The other dispatchers get a new capacity
// report, as the capacity is no longer hidden from them.
func (c *Core) endReservation() {
	c.reservation = reservation{}
	c.capacityChanged()
}

// reportedUse returns the capacity in use that is reported to a dispatcher. While free
// capacity is reserved for another dispatcher, a dispatcher with waiting tasks gets a report
// that all capacity is in use. Capacity that is announced but not usable counts as in use. A dispatcher without waiting tasks rarely competes for the
// reserved capacity, so it gets the actual value.
func (c *Core) reportedUse(h *leaseHolder) message.Resources {
	if c.reservation.holder == nil || c.reservation.holder == h || h.firstWaiting == nil || c.now.Mono >= h.waitingExpiresAt {
		return c.used.Add(c.unusable())
	}
	return c.upstream.estimate.announced
}
