package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
)

// Limits of the history of changes.
const (
	// maxOutcomes is the number of most recent outcomes that are kept.
	maxOutcomes = 256
	// maxDeleted is the number of deleted objects that are kept to detect
	// conflicts with them.
	maxDeleted = 1024
	// maxIDBytes limits the ID and the author of a change.
	maxIDBytes = 128
)

// The reasons for rejecting a change.
const (
	ReasonConflict = "conflict"
	ReasonTooOld   = "made from a revision that is too old"
	ReasonInvalid  = "invalid"
)

// Outcome is the result of a change that was read from the stream.
type Outcome struct {
	ID       string `json:"id"`
	Offset   int64  `json:"offset"`
	Author   string `json:"author,omitempty"`
	Accepted bool   `json:"accepted,omitempty"`
	// Reason is why the change was rejected, or empty. Detail is the object in
	// conflict for ReasonConflict, and the error for ReasonInvalid.
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// WinnerOffset, WinnerID and WinnerAuthor name the accepted change that
	// modified the same object first, when Reason is ReasonConflict. The ID and
	// the author are empty when the outcome of that change is no longer kept.
	WinnerOffset int64  `json:"winner_offset,omitempty"`
	WinnerID     string `json:"winner_id,omitempty"`
	WinnerAuthor string `json:"winner_author,omitempty"`
}

// changeLog holds what is needed of earlier changes to accept or reject a new
// one.
type changeLog struct {
	// modified is the offset of the last accepted change to each object,
	// including deleted ones.
	modified map[config.Key]int64
	// floor is the highest offset of a reset or of a deletion that was dropped
	// from modified. A change made from an older revision is rejected, because it
	// may conflict with one of those.
	floor int64
	// outcomes is ordered by offset.
	outcomes []Outcome
}

func newChangeLog() changeLog {
	return changeLog{modified: make(map[config.Key]int64), floor: noOffset}
}

// Outcome returns the outcome of the change with the given ID. It reports false
// when the change has not been read from the stream, or when maxOutcomes later
// changes have been.
func (s *State) Outcome(id string) (Outcome, bool) {
	for _, o := range s.changes.outcomes {
		if o.ID == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// Outcomes returns the outcomes of the last changes in the order of the stream.
// The caller must not modify the slice.
func (s *State) Outcomes() []Outcome { return s.changes.outcomes }

// applyChange accepts a change when none of the objects that it edits has been
// modified after the revision that the change was made from.
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
		s.detectConflict(&outcome, c)
	}
	s.changes.record(outcome)
	if !outcome.Accepted {
		return Effect{Rejected: outcome.Reason}
	}
	s.config = next
	s.changes.markModified(offset, c.Edits, next)
	return Effect{ConfigChanged: true}
}

// detectConflict sets outcome to accepted, or to a conflict with the accepted
// change that modified one of the same objects after the revision c.From.
func (s *State) detectConflict(outcome *Outcome, c *Change) {
	for _, e := range c.Edits {
		at, found := s.changes.modified[e.Key()]
		if !found || at <= c.From {
			continue
		}
		outcome.Reason = ReasonConflict
		outcome.Detail = e.Key().String()
		outcome.WinnerOffset = at
		if winner, ok := s.changes.outcomeAt(at); ok {
			outcome.WinnerID, outcome.WinnerAuthor = winner.ID, winner.Author
		}
		return
	}
	outcome.Accepted = true
}

func (l *changeLog) outcomeAt(offset int64) (Outcome, bool) {
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

// markModified records the objects that an accepted change edits. Of the deleted
// objects it keeps the maxDeleted that were deleted last.
func (l *changeLog) markModified(offset int64, edits []config.Edit, after *config.Config) {
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

// deleted returns the keys of the deleted objects, the oldest deletion first.
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
