package control

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Rollout tracks an accepted record until it is in force: until no process starts
// work without having applied it. It is not safe for concurrent use.
type Rollout struct {
	state  *State
	offset int64
	lease  time.Duration
	// reported is the highest next offset that each process has reported.
	reported map[node.Ref]int64
	// majority is true once a majority of the agents is known to have applied
	// the record, and majorityAt is when that was first known.
	majorityAt time.Duration
	majority   bool
}

// NewRollout returns a rollout of the record at offset. Lease is the duration of
// a process's freshness lease.
func NewRollout(s *State, offset int64, lease time.Duration) *Rollout {
	return &Rollout{state: s, offset: offset, lease: lease, reported: make(map[node.Ref]int64)}
}

// ObserveOffset records that ref reported, at the monotonic time now, that it has
// applied every record before the offset next.
func (r *Rollout) ObserveOffset(now time.Duration, ref node.Ref, next int64) {
	r.reported[ref] = max(r.reported[ref], next)
	r.checkMajority(now)
}

func (r *Rollout) checkMajority(now time.Duration) {
	if r.majority {
		return
	}
	if r.state.ConfirmedOffset() > r.offset || r.state.MajorityApplied(r.offset, r.hasApplied) {
		r.majority = true
		r.majorityAt = now
	}
}

func (r *Rollout) hasApplied(ref node.Ref) bool { return r.reported[ref] > r.offset }

// InForce reports whether no process starts work any more without having applied
// the record. That holds when every agent has reported that it applied the
// record, or when a majority has and the freshness leases of the others have
// expired since.
func (r *Rollout) InForce(now time.Duration) bool {
	r.checkMajority(now)
	if !r.majority {
		return false
	}
	return now-r.majorityAt >= r.lease || len(r.PendingAgents()) == 0
}

// PendingAgents returns the agents that have not reported that they applied the
// record.
func (r *Rollout) PendingAgents() []Member {
	var missing []Member
	for _, m := range r.state.Agents() {
		if !r.hasApplied(m.Ref) {
			missing = append(missing, m)
		}
	}
	return missing
}
