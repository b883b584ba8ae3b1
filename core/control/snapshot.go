package control

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Limits that decide when the next snapshot is due.
const (
	// maxTail is the number of records after the last snapshot from which on the
	// next one is due.
	maxTail = 4096
	// marginDivisor: the next snapshot is due once the last one is in the oldest
	// 1/marginDivisor of the retained records, which are dropped first.
	marginDivisor = 4
)

// Snapshot is the encoded form of a State.
type Snapshot struct {
	// Next is the offset of the first record that the state does not include.
	Next       int64            `json:"next"`
	SnapshotAt int64            `json:"snapshot_at"`
	Revision   int64            `json:"revision"`
	Objects    []SnapshotObject `json:"objects,omitempty"`
	Floor      int64            `json:"floor"`
	Outcomes   []Outcome        `json:"outcomes,omitempty"`
	Members    []Member         `json:"members,omitempty"`
	Ended      []FormerMember   `json:"ended,omitempty"`
	Forgotten  int64            `json:"forgotten"`
	Confirmed  int64            `json:"confirmed"`
	Base       []node.Ref       `json:"base,omitempty"`
	Ops        []agentOp        `json:"ops,omitempty"`
}

// SnapshotObject is an object and the offset of the change that modified it last.
// Object is nil when the object was deleted.
type SnapshotObject struct {
	Key      config.Key     `json:"key"`
	Modified int64          `json:"modified"`
	Object   *config.Object `json:"object,omitempty"`
}

// Snapshot returns the encoded state, or nil while the state is not synced. The
// caller must not modify the slice.
func (s *State) Snapshot() []byte {
	if !s.synced {
		return nil
	}
	if s.encodedNext != s.next {
		data, err := json.Marshal(s.export())
		if err != nil {
			return nil
		}
		s.encoded, s.encodedNext = data, s.next
	}
	return s.encoded
}

// SnapshotRecord returns the record that holds the state, or nil while the state
// is not synced. Readers accept the record only at the offset Next and reject it
// at any other, so that duplicates and late copies are harmless.
func (s *State) SnapshotRecord() []byte {
	if !s.synced {
		return nil
	}
	return Record{Snapshot: s.export()}.encode()
}

// SnapshotDue reports whether a snapshot should be appended, given the oldest
// retained offset and the end of the stream. A snapshot is due when at least
// maxTail records follow the last one. It is also due when the stream no longer
// begins at offset 0 and the last snapshot has been dropped or is among the
// records to be dropped next. SnapshotDue is false while the state has not
// reached the end.
func (s *State) SnapshotDue(oldestRetained, end int64) bool {
	if !s.synced || s.next != end {
		return false
	}
	if end-max(s.snapshotAt, 0) >= maxTail {
		return true
	}
	margin := (end - oldestRetained) / marginDivisor
	return oldestRetained > 0 && s.snapshotAt < oldestRetained+margin
}

// ResetTo replaces the state by an encoded one, for example that of a peer. When
// snapshot is malformed or ends before Next, it returns an error and changes
// nothing.
func (s *State) ResetTo(snapshot []byte) error {
	var snap Snapshot
	if err := json.Unmarshal(snapshot, &snap); err != nil {
		return err
	}
	if snap.Next < s.next {
		return fmt.Errorf("snapshot ends at offset %d, but the state already reaches offset %d", snap.Next, s.next)
	}
	return s.restore(&snap)
}

// applySnapshot compares the snapshot with the state when the state is synced,
// and restores the state from the snapshot when it is not.
func (s *State) applySnapshot(offset int64, snap *Snapshot) Effect {
	if snap.Next != offset {
		return Effect{Rejected: "snapshot of another offset"}
	}
	if s.synced {
		return s.checkSnapshot(offset, snap)
	}
	if err := s.restore(snap); err != nil {
		return Effect{Rejected: err.Error()}
	}
	s.snapshotAt = offset
	return Effect{ConfigChanged: true, MembersChanged: true}
}

func (s *State) checkSnapshot(offset int64, snap *Snapshot) Effect {
	theirs, err := json.Marshal(snap)
	if err != nil || string(theirs) != string(s.Snapshot()) {
		return Effect{Rejected: "snapshot differs from the state"}
	}
	s.snapshotAt = offset
	return Effect{}
}

func (s *State) export() *Snapshot {
	return &Snapshot{
		Next:       s.next,
		SnapshotAt: s.snapshotAt,
		Revision:   s.config.Revision(),
		Objects:    s.exportObjects(),
		Floor:      s.changes.floor,
		Outcomes:   s.changes.outcomes,
		Members:    s.members.all,
		Ended:      s.members.ended,
		Forgotten:  s.members.forgotten,
		Confirmed:  s.sets.confirmed,
		Base:       slices.SortedFunc(maps.Keys(s.sets.base), compareRefs),
		Ops:        s.sets.ops,
	}
}

func compareRefs(a, b node.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (s *State) exportObjects() []SnapshotObject {
	var objects []SnapshotObject
	for _, key := range slices.SortedFunc(maps.Keys(s.changes.modified), config.Key.Compare) {
		so := SnapshotObject{Key: key, Modified: s.changes.modified[key]}
		if o, ok := s.config.Object(key); ok {
			so.Object = &o
		}
		objects = append(objects, so)
	}
	return objects
}

// restore replaces the state by that of the snapshot. It changes nothing when it
// returns an error.
func (s *State) restore(snap *Snapshot) error {
	fresh := NewState()
	if err := fresh.restoreConfig(snap); err != nil {
		return err
	}
	if err := fresh.restoreMembers(snap); err != nil {
		return err
	}
	fresh.next = snap.Next
	fresh.snapshotAt = snap.SnapshotAt
	fresh.rejected = s.rejected
	*s = *fresh
	return nil
}

func (s *State) restoreConfig(snap *Snapshot) error {
	var edits []config.Edit
	for _, so := range snap.Objects {
		s.changes.modified[so.Key] = so.Modified
		if so.Object == nil {
			continue
		}
		if so.Object.Key() != so.Key {
			return fmt.Errorf("snapshot: object %v is stored under the key %v", so.Object.Key(), so.Key)
		}
		edits = append(edits, config.Edit{Put: so.Object})
	}
	folded, err := s.config.FoldWithoutLimit(snap.Revision, edits)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	s.config = folded
	s.changes.floor = snap.Floor
	s.changes.outcomes = snap.Outcomes
	return nil
}

func (s *State) restoreMembers(snap *Snapshot) error {
	for _, m := range snap.Members {
		if s.members.joinRejection(m) != "" || m.JoinOffset >= snap.Next {
			return errors.New("snapshot: invalid member")
		}
		s.members.byID[m.Ref.ID] = m
	}
	s.members.ended = snap.Ended
	s.members.forgotten = snap.Forgotten
	s.members.rebuild()
	s.sets.confirmed = snap.Confirmed
	for _, ref := range snap.Base {
		s.sets.base[ref] = true
	}
	s.sets.ops = snap.Ops
	return nil
}
