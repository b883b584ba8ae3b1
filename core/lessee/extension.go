package lessee

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
)

// maxExtensions limits the calls that extensions remembers one by one.
const maxExtensions = 64

// extensions holds, for each call that may have extended the lease of the upstream's runs, the
// time from which that lease counts. The zero value is empty.
type extensions struct {
	// recent holds the latest times in ascending order, and earlier the last one before them.
	recent  []time.Duration
	earlier time.Duration
}

// sent adds a call.
func (e *extensions) sent(at time.Duration) {
	if len(e.recent) == maxExtensions {
		e.earlier = e.recent[0]
		e.recent = slices.Delete(e.recent, 0, 1)
	}
	i, _ := slices.BinarySearch(e.recent, at)
	e.recent = slices.Insert(e.recent, i, at)
}

// notReceived removes a call with a lease from this time on: the upstream has not received it.
func (e *extensions) notReceived(at time.Duration) {
	if i, ok := slices.BinarySearch(e.recent, at); ok {
		e.recent = slices.Delete(e.recent, i, i+1)
	}
}

// last returns the time from which the last lease counts that the upstream may have got, or zero.
func (e *extensions) last() time.Duration {
	if len(e.recent) == 0 {
		return e.earlier
	}
	return e.recent[len(e.recent)-1]
}

// maxShortening is by how much a lease may be shortened for want of a recent reading of the
// upstream's clock before a renewal is due at once.
const maxShortening = lease.UpstreamLease / 10

// extendLease returns the end of the lease, on the upstream's clock, that a call states which is
// being sent. A lease counts from the least that the clock can read, and so is short after a
// long time without an answer. Calls that are no renewals state the end of the present lease
// while half of it is left: the later a lease ends, the later its runs start elsewhere if the
// upstream has crashed.
func (c *Core) extendLease(renewal bool) time.Duration {
	u := &c.upstream
	age := c.now.Mono - u.clockAt
	clock := u.clock + age - lease.MaxDrift(age)
	if renewal || u.leaseEnd-clock < lease.UpstreamLease/2 {
		u.leaseEnd, u.leaseFrom = clock+c.leaseLeft(), c.now.Mono
		u.leaseShortened = lease.MaxDrift(age) > maxShortening
	}
	u.extensions.sent(u.leaseFrom)
	return u.leaseEnd
}

// leaseLeft returns the length of a lease that begins now, or zero: no run may outlast its
// endBy, and the lease is that of all runs.
func (c *Core) leaseLeft() time.Duration {
	left := lease.UpstreamLease
	for _, r := range c.runs {
		if r.endBy > 0 {
			left = min(left, max(r.endBy-c.now.Mono, 0))
		}
	}
	return left
}
