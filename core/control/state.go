// Package control folds the control stream: configuration changes, membership
// and snapshots. What a record does is a function of the stream up to it, so
// that all readers agree at equal offsets.
package control

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/config"
)

// Effect says what a record changed.
type Effect struct {
	ConfigChanged  bool
	MembersChanged bool
	// Rejected is the reason why the record changed nothing, or empty.
	Rejected string
}

// noOffset is the offset of no record.
const noOffset = -1

// State is the fold of the control stream up to Next. It is not safe for
// concurrent use; the Config and the slices that it returns are immutable.
type State struct {
	next   int64
	synced bool
	// snapshotAt is the offset of the last snapshot record that counted, or
	// noOffset.
	snapshotAt int64
	rejected   int64

	config  *config.Config
	changes changeLog
	members members
	sets    agentSets

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

// Synced reports whether the state is the fold of every record before Next. It
// is false from a gap in the stream to the next snapshot. Nothing may be
// started while it is false.
func (s *State) Synced() bool { return s.synced }

// Rejected returns how many records this process has seen rejected.
func (s *State) Rejected() int64 { return s.rejected }

// Config returns the configuration.
func (s *State) Config() *config.Config { return s.config }

// Apply folds the record at offset. Records before Next are ignored. A record
// past Next shows that the records between them are no longer retained: the
// state then waits for a snapshot.
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
		return s.applyRemoval(r.Leave.Ref, Ended{Offset: offset, Effective: r.Leave.Effective})
	case r.Evict != nil:
		return s.applyEvict(offset, r.Evict)
	default:
		return s.applyConfirm(offset, r.Confirm)
	}
}

// applyReset makes the state empty. The revision does not go back.
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
