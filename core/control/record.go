package control

import (
	"encoding/json"
	"errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Record is the union of the records of the control stream: exactly one field
// is set.
type Record struct {
	Change   *Change   `json:"change,omitempty"`
	Join     *Member   `json:"join,omitempty"`
	Leave    *Leave    `json:"leave,omitempty"`
	Evict    *Evict    `json:"evict,omitempty"`
	Confirm  *Confirm  `json:"confirm,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Reset    *Reset    `json:"reset,omitempty"`
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

// Leave says that the run Ref has ended or is about to. From then on it must
// not answer a Status query. It stays the home of the jobs created before
// Effective, a wall-clock time in milliseconds since the Unix epoch, until it
// ends. Zero is at once.
type Leave struct {
	Ref       node.Ref `json:"ref"`
	Effective int64    `json:"effective,omitempty"`
}

// Evict says that the member By holds proof that the run Ref has ended. Ref may
// also be a former member that a run at another address replaced.
type Evict struct {
	Ref node.Ref `json:"ref"`
	By  node.Ref `json:"by"`
}

// Confirm says that the member By knows this: more than half of every set of
// agents in force at an offset between the last confirmation and Through has
// ended or has applied every record before Through.
type Confirm struct {
	Through int64    `json:"through"`
	By      node.Ref `json:"by"`
}

// Reset replaces the state of every reader by an empty one. It is for operators
// whose stream has lost the records that readers need while no process ran: a
// stream like that has no snapshot, and no process can make one. It counts only
// at the offset Next, so that a late copy does not undo what came after.
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
	if r.fields() != 1 {
		return Record{}, errors.New("record is not of exactly one type")
	}
	return r, nil
}

func (r Record) fields() int {
	n := 0
	for _, set := range []bool{r.Change != nil, r.Join != nil, r.Leave != nil, r.Evict != nil, r.Confirm != nil, r.Snapshot != nil, r.Reset != nil} {
		if set {
			n++
		}
	}
	return n
}

// encode returns the JSON form, or nil when r holds a value that JSON lacks,
// such as a quota that is not a number.
func (r Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return data
}

// EncodeJoin returns the record by which a run joins. Joined is not encoded.
func EncodeJoin(m Member) []byte {
	m.Joined, m.Rejoined = 0, false
	return Record{Join: &m}.encode()
}

// EncodeLeave returns the record by which a run leaves. From then on the run
// must not answer a Status query. Effective is zero or the time up to which
// created jobs are placed on the run.
func EncodeLeave(ref node.Ref, effective int64) []byte {
	return Record{Leave: &Leave{Ref: ref, Effective: effective}}.encode()
}

// EncodeEvict returns the record by which the member by removes ref, whose end
// is proven.
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

// EncodeChange returns the record of a configuration change, or nil when an
// edit holds a number that cannot be encoded.
func EncodeChange(c Change) []byte {
	return Record{Change: &c}.encode()
}
