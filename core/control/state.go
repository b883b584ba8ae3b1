// Package control folds the control stream: configuration changes, membership
// and snapshots.
package control

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Role is what a process does.
type Role string

// The roles of a member.
const (
	RoleAgent Role = "agent"
	RoleEntry Role = "entry"
)

// Member is one run of one process that has joined.
type Member struct {
	Ref    node.Ref `json:"ref"`
	Addr   string   `json:"addr"`
	Role   Role     `json:"role"`
	Domain string   `json:"domain,omitempty"`
	Worker string   `json:"worker,omitempty"`
	// Joined is the offset of the record by which the run joined.
	Joined int64 `json:"joined,omitempty"`
}

// Effect says what a record changed.
type Effect struct {
	ConfigChanged  bool
	MembersChanged bool
	// Rejected is the reason why the record changed nothing, or empty.
	Rejected string
}

// Change is a set of edits made from one revision.
type Change struct {
	// ID is unique per append, so that a lost reply is resolved by reading.
	ID string `json:"id"`
	// From is the revision that the change was made from: the Revision of the
	// configuration that its author saw.
	From   int64         `json:"from"`
	Author string        `json:"author"`
	Edits  []config.Edit `json:"edits"`
}

// Outcome is what became of a change.
type Outcome struct {
	ID       string `json:"id"`
	Offset   int64  `json:"offset"`
	Author   string `json:"author,omitempty"`
	Accepted bool   `json:"accepted,omitempty"`
	// Reason says why the change was rejected.
	Reason string `json:"reason,omitempty"`
	// WinnerOffset, WinnerID and WinnerAuthor name the accepted change that the
	// rejected one conflicts with, when Reason is ReasonConflict.
	WinnerOffset int64  `json:"winner_offset,omitempty"`
	WinnerID     string `json:"winner_id,omitempty"`
	WinnerAuthor string `json:"winner_author,omitempty"`
}

// State is the fold of the control stream up to Next. It is not safe for
// concurrent use; the Config and the slices that it returns are immutable.
type State struct{ next int64 }

// NewState returns the state before offset 0.
func NewState() *State { return &State{} }

// Next returns the offset of the next record to read. It never decreases.
func (s *State) Next() int64 { return s.next }

// Synced reports whether the state is the fold of every record before Next. It
// is false from a gap in the stream to the next snapshot. Nothing may be
// started while it is false.
func (s *State) Synced() bool { return true }

// Apply folds the record at offset. Records before Next are ignored.
func (s *State) Apply(offset int64, record []byte) Effect { return Effect{} }

// Config returns the configuration.
func (s *State) Config() *config.Config { return &config.Config{} }

// Members returns all members ordered by ref. The caller must not modify it.
func (s *State) Members() []Member { return nil }

// Agents returns the members with RoleAgent ordered by ref. The caller must not
// modify it.
func (s *State) Agents() []Member { return nil }

// Member returns the member with the given ref.
func (s *State) Member(ref node.Ref) (Member, bool) { return Member{}, false }

// Snapshot returns the encoded state. The caller must not modify it.
func (s *State) Snapshot() []byte { return nil }

// SnapshotRecord returns the record that carries the state. It counts only when
// it is appended at Next; at any other offset it is ignored.
func (s *State) SnapshotRecord() []byte { return nil }

// SnapshotDue reports whether a snapshot should be appended, given the oldest
// retained offset and the end of the stream.
func (s *State) SnapshotDue(oldestRetained, end int64) bool { return false }

// ResetTo replaces the state by an encoded one, for example of a peer. It fails
// without any change when snapshot is malformed or is older than Next.
func (s *State) ResetTo(snapshot []byte) error { return nil }

// Outcome returns what became of the change with the given ID. It reports false
// when the change has not been read or was read too long ago.
func (s *State) Outcome(id string) (Outcome, bool) { return Outcome{}, false }

// MajorityRead reports whether, for every set of agents that was in force at an
// offset up to and including upTo since the last confirmation, more than half
// are known to have applied the record at upTo: those for which read is true
// and those that have ended.
func (s *State) MajorityRead(upTo int64, read func(node.Ref) bool) bool { return false }

// EncodeJoin returns the record by which a run joins. Joined is not encoded.
func EncodeJoin(m Member) []byte { return nil }

// EncodeLeave returns the record by which a run leaves. From then on the run
// must not answer a Status query.
func EncodeLeave(ref node.Ref) []byte { return nil }

// EncodeEvict returns the record by which the member by removes ref, whose end
// is proven.
func EncodeEvict(ref, by node.Ref) []byte { return nil }

// EncodeConfirm returns the record by which the member by states that more than
// half of every set of agents since the last confirmation has applied every
// record before through. See docs/design/freshness.md.
func EncodeConfirm(through int64, by node.Ref) []byte { return nil }

// EncodeChange returns the record of a configuration change.
func EncodeChange(c Change) []byte { return nil }
