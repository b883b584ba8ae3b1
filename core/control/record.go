package control

import (
	"encoding/json"
	"errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Record is a record of the control stream. Exactly one field is set.
type Record struct {
	Change   *Change   `json:"change,omitempty"`
	Join     *Member   `json:"join,omitempty"`
	Leave    *Leave    `json:"leave,omitempty"`
	Evict    *Evict    `json:"evict,omitempty"`
	Confirm  *Confirm  `json:"confirm,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Reset    *Reset    `json:"reset,omitempty"`
}

// Change is a set of edits to the configuration.
type Change struct {
	// ID is unique to the change. When the reply to an append is lost, the author
	// finds out by reading the stream whether a record with this ID arrived.
	ID string `json:"id"`
	// From is the revision of the configuration that the edits were made from.
	From   int64         `json:"from"`
	Author string        `json:"author"`
	Edits  []config.Edit `json:"edits"`
}

// Leave announces that the incarnation Ref is about to end, or has ended. From
// then on it must not answer Status queries. Until it ends, it stays the home
// of the jobs created before OwnsUntil, a wall-clock time in milliseconds since
// the Unix epoch. Zero means that it stays the home of no job.
type Leave struct {
	Ref       node.Ref `json:"ref"`
	OwnsUntil int64    `json:"effective,omitempty"`
}

// Evict states that the member By has proof that the incarnation Ref has ended.
// Ref is a member, or a former member that a newer incarnation at another
// address has replaced.
type Evict struct {
	Ref node.Ref `json:"ref"`
	By  node.Ref `json:"by"`
}

// Confirm states what the member By knows about every set of agents in force at
// an offset between the last confirmation and Through: more than half of the
// agents in the set have ended or have applied every record before Through.
type Confirm struct {
	Through int64    `json:"through"`
	By      node.Ref `json:"by"`
}

// Reset replaces the state of every reader by an empty one. Operators need it when,
// while no process was running, the stream dropped records that readers need: the
// stream then has no snapshot, and no process has the state to write one. A reset
// takes effect only at the offset Next, so that a late copy does not undo the
// records after the first one.
type Reset struct {
	Author string `json:"author"`
	Next   int64  `json:"next"`
}

// DecodeRecord parses a record and checks that exactly one field is set.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, err
	}
	if r.countSetFields() != 1 {
		return Record{}, errors.New("record must have exactly one type")
	}
	return r, nil
}

func (r Record) countSetFields() int {
	n := 0
	for _, set := range []bool{r.Change != nil, r.Join != nil, r.Leave != nil, r.Evict != nil, r.Confirm != nil, r.Snapshot != nil, r.Reset != nil} {
		if set {
			n++
		}
	}
	return n
}

// encode returns the JSON form, or nil when r holds a value that JSON cannot
// represent, such as a quota of NaN.
func (r Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return data
}

// EncodeJoin returns the record by which m joins. JoinOffset and Rejoined are not
// encoded, because readers derive them.
func EncodeJoin(m Member) []byte {
	m.JoinOffset, m.Rejoined = 0, false
	return Record{Join: &m}.encode()
}

// EncodeLeave returns the record of a Leave: once it is appended, ref must not
// answer Status queries. OwnsUntil is zero, or the creation time before which
// jobs stay placed on ref.
func EncodeLeave(ref node.Ref, ownsUntil int64) []byte {
	return Record{Leave: &Leave{Ref: ref, OwnsUntil: ownsUntil}}.encode()
}

// EncodeEvict returns the record by which the member by removes ref, which has
// provably ended.
func EncodeEvict(ref, by node.Ref) []byte {
	return Record{Evict: &Evict{Ref: ref, By: by}}.encode()
}

// EncodeConfirm returns the record of a Confirm.
func EncodeConfirm(through int64, by node.Ref) []byte {
	return Record{Confirm: &Confirm{Through: through, By: by}}.encode()
}

// EncodeReset returns the record of a Reset at the offset next.
func EncodeReset(author string, next int64) []byte {
	return Record{Reset: &Reset{Author: author, Next: next}}.encode()
}

// EncodeChange returns the record of a configuration change, or nil when an edit
// holds a number that JSON cannot represent.
func EncodeChange(c Change) []byte {
	return Record{Change: &c}.encode()
}
