package control

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Rollout follows an accepted record until it is in force everywhere. It is not
// safe for concurrent use.
type Rollout struct {
	state  *State
	offset int64
	lease  time.Duration
	// reached is the highest next offset that each process has stated.
	reached map[node.Ref]int64
	// readAt is when a majority was first known to have read the record.
	readAt   time.Duration
	majority bool
}

// NewRollout returns a rollout of the record at offset. Lease is the duration
// of the freshness lease of every process.
func NewRollout(s *State, offset int64, lease time.Duration) *Rollout {
	return &Rollout{state: s, offset: offset, lease: lease, reached: make(map[node.Ref]int64)}
}

// Heard records at the monotonic time now that the run ref has applied every
// record before next.
func (r *Rollout) Heard(now time.Duration, ref node.Ref, next int64) {
	r.reached[ref] = max(r.reached[ref], next)
	r.check(now)
}

func (r *Rollout) check(now time.Duration) {
	if r.majority {
		return
	}
	if r.state.Confirmed() > r.offset || r.state.MajorityRead(r.offset, r.hasRead) {
		r.majority = true
		r.readAt = now
	}
}

func (r *Rollout) hasRead(ref node.Ref) bool { return r.reached[ref] > r.offset }

// InForce reports whether no process starts work without the record any more:
// every agent has stated that it applied the record, or a majority has and the
// leases of the others have expired since.
func (r *Rollout) InForce(now time.Duration) bool {
	r.check(now)
	if !r.majority {
		return false
	}
	return now-r.readAt >= r.lease || len(r.Missing()) == 0
}

// Missing returns the agents that have not stated that they applied the record.
func (r *Rollout) Missing() []Member {
	var missing []Member
	for _, m := range r.state.Agents() {
		if !r.hasRead(m.Ref) {
			missing = append(missing, m)
		}
	}
	return missing
}
