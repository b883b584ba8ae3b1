package lessee

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
)

// maxExtensions limits the calls that extensions remembers one by one.
const maxExtensions = 64

// extensions holds the times at which calls were sent that may have extended the lease of the
// upstream's runs. The zero value is empty.
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
	e.recent = append(e.recent, at)
}

// notReceived removes a call that was sent at this time: the upstream has not received it.
func (e *extensions) notReceived(at time.Duration) {
	if i, ok := slices.BinarySearch(e.recent, at); ok {
		e.recent = slices.Delete(e.recent, i, i+1)
	}
}

// last returns when the last call was sent that may have extended the lease, or zero.
func (e *extensions) last() time.Duration {
	if len(e.recent) == 0 {
		return e.earlier
	}
	return e.recent[len(e.recent)-1]
}

// maxShortening is by how much a lease may be shortened for want of a recent reading of the
// upstream's clock before a renewal is due at once.
const maxShortening = lease.UpstreamLease / 10

// extendLease returns the end, on the upstream's clock, of a lease that begins now. It
// records that a call which extends the lease is being sent. The lease counts from the least
// that the clock can read, and so is short after a long time without an answer.
func (c *Core) extendLease() time.Duration {
	u := &c.upstream
	u.extensions.sent(c.now.Mono)
	age := c.now.Mono - u.clockAt
	u.leaseShortened = lease.MaxDrift(age) > maxShortening
	return u.clock + age - lease.MaxDrift(age) + lease.UpstreamLease
}
