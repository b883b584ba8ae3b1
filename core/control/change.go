package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
)

// Limits of the history of changes.
const (
	// maxOutcomes is how many outcomes are remembered.
	maxOutcomes = 256
	// maxDeleted is how many deleted objects are remembered.
	maxDeleted = 1024
	// maxIDBytes bounds the ID and the author of a change.
	maxIDBytes = 128
)

// The reasons of a rejected change.
const (
	ReasonConflict = "conflict"
	ReasonTooOld   = "made from a revision that is too old"
	ReasonInvalid  = "invalid"
)

// Outcome is what became of a change.
type Outcome struct {
	ID       string `json:"id"`
	Offset   int64  `json:"offset"`
	Author   string `json:"author,omitempty"`
	Accepted bool   `json:"accepted,omitempty"`
	// Reason says why the change was rejected and Detail says more.
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// WinnerOffset, WinnerID and WinnerAuthor name the accepted change that
	// touched the same object first, when Reason is ReasonConflict. ID and
	// author are empty when that change is no longer remembered.
	WinnerOffset int64  `json:"winner_offset,omitempty"`
	WinnerID     string `json:"winner_id,omitempty"`
	WinnerAuthor string `json:"winner_author,omitempty"`
}

// changeLog is what deciding on a change needs to know of those before it.
type changeLog struct {
	// modified is the offset of the last accepted change that touched each
	// object, including deleted ones.
	modified map[config.Key]int64
	// floor is the highest offset at which a deleted object that is no longer
	// in modified was touched. A change from an older revision is rejected.
	floor int64
	// outcomes is ordered by offset.
	outcomes []Outcome
}

func newChangeLog() changeLog {
	return changeLog{modified: make(map[config.Key]int64), floor: noOffset}
}

// Outcome returns what became of the change with the given ID. It reports false
// when the change has not been read or was read too long ago.
func (s *State) Outcome(id string) (Outcome, bool) {
	for _, o := range s.changes.outcomes {
		if o.ID == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// Outcomes returns the outcomes of the last changes in the order of the stream.
// The caller must not modify it.
func (s *State) Outcomes() []Outcome { return s.changes.outcomes }

// applyChange accepts a change when no object that it touches has been changed
// after the revision that it was made from.
func (s *State) applyChange(offset int64, c *Change) Effect {
	if c.ID == "" || len(c.ID) > maxIDBytes || len(c.Author) > maxIDBytes {
		return Effect{Rejected: "change without a valid ID and author"}
	}
	if _, known := s.Outcome(c.ID); known {
		return Effect{Rejected: "change is a duplicate"}
	}
	outcome := Outcome{ID: c.ID, Author: c.Author, Offset: offset}
	next, err := s.config.Fold(offset, c.Edits)
	switch {
	case err != nil:
		outcome.Reason, outcome.Detail = ReasonInvalid, err.Error()
	case c.From >= offset || len(c.Edits) == 0:
		outcome.Reason, outcome.Detail = ReasonInvalid, "no edits, or made from a later revision"
	case c.From < s.changes.floor:
		outcome.Reason = ReasonTooOld
	default:
		s.decide(&outcome, c)
	}
	s.changes.record(outcome)
	if !outcome.Accepted {
		return Effect{Rejected: outcome.Reason}
	}
	s.config = next
	s.changes.touch(offset, c.Edits, next)
	return Effect{ConfigChanged: true}
}

// decide fills in whether the change conflicts with a later one.
func (s *State) decide(outcome *Outcome, c *Change) {
	for _, e := range c.Edits {
		at, touched := s.changes.modified[e.Key()]
		if !touched || at <= c.From {
			continue
		}
		outcome.Reason = ReasonConflict
		outcome.Detail = e.Key().String()
		outcome.WinnerOffset = at
		if w, ok := s.changes.acceptedAt(at); ok {
			outcome.WinnerID, outcome.WinnerAuthor = w.ID, w.Author
		}
		return
	}
	outcome.Accepted = true
}

func (l *changeLog) acceptedAt(offset int64) (Outcome, bool) {
	for _, o := range l.outcomes {
		if o.Offset == offset {
			return o, true
		}
	}
	return Outcome{}, false
}

func (l *changeLog) record(o Outcome) {
	outcomes := append(l.outcomes, o)
	if extra := len(outcomes) - maxOutcomes; extra > 0 {
		outcomes = outcomes[extra:]
	}
	l.outcomes = outcomes
}

// touch notes the objects of an accepted change and forgets the objects that
// were deleted longest ago.
func (l *changeLog) touch(offset int64, edits []config.Edit, after *config.Config) {
	for _, e := range edits {
		l.modified[e.Key()] = offset
	}
	extra := len(l.modified) - after.Len() - maxDeleted
	if extra <= 0 {
		return
	}
	for _, key := range l.deleted(after)[:extra] {
		l.floor = max(l.floor, l.modified[key])
		delete(l.modified, key)
	}
}

// deleted returns the keys of the deleted objects, longest ago first.
func (l *changeLog) deleted(after *config.Config) []config.Key {
	var keys []config.Key
	for _, key := range slices.SortedFunc(maps.Keys(l.modified), config.Key.Compare) {
		if _, exists := after.Object(key); !exists {
			keys = append(keys, key)
		}
	}
	slices.SortStableFunc(keys, func(a, b config.Key) int {
		return cmp.Compare(l.modified[a], l.modified[b])
	})
	return keys
}
