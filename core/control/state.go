// Package control folds the control stream into a state: the configuration and
// the membership. The effect of a record depends only on the records before it,
// so all readers have the same state at the same offset. Snapshots in the stream
// let readers start after the first record.
package control

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/config"
)

// Effect is what a record changed.
type Effect struct {
	ConfigChanged  bool
	MembersChanged bool
	// Rejected is the reason why the record changed nothing, or empty.
	Rejected string
}

// noOffset stands for "no record" where an offset is expected.
const noOffset = -1

// State is the result of folding the control stream up to the offset Next. It is
// not safe for concurrent use. The Config and the slices that it returns never
// change.
type State struct {
	next   int64
	synced bool
	// snapshotAt is the offset of the last accepted snapshot record, or noOffset.
	snapshotAt int64
	rejected   int64

	config  *config.Config
	changes changeLog
	members members
	sets    agentSets

	// encoded caches the result of Snapshot at the offset encodedNext.
	encoded     []byte
	encodedNext int64
}

// NewState returns the state before offset 0.
func NewState() *State {
	return &State{
		synced:      true,
		snapshotAt:  noOffset,
		config:      config.Empty(),
		changes:     newChangeLog(),
		members:     newMembers(),
		sets:        newAgentSets(),
		encodedNext: noOffset,
	}
}

// Next returns the offset of the next record to read. It never decreases.
func (s *State) Next() int64 { return s.next }

// Synced reports whether the state includes every record before Next. It is false
// from a gap in the stream until the next snapshot or reset. A process must not
// start any task while it is false.
func (s *State) Synced() bool { return s.synced }

// Rejected returns how many records this process has rejected.
func (s *State) Rejected() int64 { return s.rejected }

// Config returns the configuration.
func (s *State) Config() *config.Config { return s.config }

// Apply folds the record at offset into the state. It ignores records before
// Next. A record after Next shows that the records in between are no longer
// retained by the log; the state is then not synced until the next snapshot.
func (s *State) Apply(offset int64, record []byte) Effect {
	if offset < s.next {
		return Effect{}
	}
	if offset > s.next {
		s.synced = false
	}
	effect := s.applyRecord(offset, record)
	s.next = offset + 1
	if effect.Rejected != "" {
		s.rejected++
	}
	return effect
}

func (s *State) applyRecord(offset int64, record []byte) Effect {
	r, err := DecodeRecord(record)
	switch {
	case err != nil:
		return Effect{Rejected: "malformed: " + err.Error()}
	case r.Snapshot != nil:
		return s.applySnapshot(offset, r.Snapshot)
	case r.Reset != nil:
		return s.applyReset(offset, r.Reset)
	case !s.synced:
		return Effect{}
	case r.Change != nil:
		return s.applyChange(offset, r.Change)
	case r.Join != nil:
		return s.applyJoin(offset, *r.Join)
	case r.Leave != nil:
		return s.applyRemoval(r.Leave.Ref, FormerMember{Offset: offset, OwnsUntil: r.Leave.OwnsUntil})
	case r.Evict != nil:
		return s.applyEvict(offset, r.Evict)
	default:
		return s.applyConfirm(offset, r.Confirm)
	}
}

// applyReset makes the state empty. The revision becomes offset, so that it never
// decreases.
func (s *State) applyReset(offset int64, r *Reset) Effect {
	if r.Next != offset {
		return Effect{Rejected: "reset of another offset"}
	}
	fresh := NewState()
	empty, err := fresh.config.Fold(offset, nil)
	if err != nil {
		return Effect{Rejected: err.Error()}
	}
	fresh.config = empty
	fresh.changes.floor = offset
	fresh.rejected = s.rejected
	*s = *fresh
	return Effect{ConfigChanged: true, MembersChanged: true}
}
