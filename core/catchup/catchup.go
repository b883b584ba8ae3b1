// Package catchup keeps the last records of the control stream for processes
// that are behind.
package catchup

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// tailRecords bounds the records kept.
const tailRecords = 256

// Tail folds records into a state and keeps the last of them.
type Tail struct {
	State *control.State
	// recent holds the last records, ending at the state's offset.
	recent [][]byte
}

// Apply folds consecutive records from offset from. Records that the state
// holds already are ignored.
func (t *Tail) Apply(from int64, records [][]byte) control.Effect {
	var sum control.Effect
	for i, r := range records {
		offset := from + int64(i)
		if offset < t.State.Next() {
			continue
		}
		if offset > t.State.Next() {
			t.recent = nil
		}
		effect := t.State.Apply(offset, r)
		sum.ConfigChanged = sum.ConfigChanged || effect.ConfigChanged
		sum.MembersChanged = sum.MembersChanged || effect.MembersChanged
		t.recent = append(t.recent, r)
	}
	if over := len(t.recent) - tailRecords; over > 0 {
		t.recent = append([][]byte(nil), t.recent[over:]...)
	}
	return sum
}

// Take folds what a peer has sent for catching up. A gap before the records is
// not bridged, because more may have been lost.
func (t *Tail) Take(m *message.Records) control.Effect {
	if m.Snapshot != nil && (m.Offset > t.State.Next() || !t.State.Synced()) {
		if t.State.ResetTo(m.Snapshot) != nil {
			return control.Effect{}
		}
		t.recent = nil
		return control.Effect{ConfigChanged: true, MembersChanged: true}
	}
	if m.Offset > t.State.Next() {
		return control.Effect{}
	}
	return t.Apply(m.Offset, m.Records)
}

// For returns what a peer at offset lacks: the records, or the whole state
// when they are no longer kept or when the peer is not synced, so that it misses
// records before offset. It returns nil when the peer lacks nothing.
func (t *Tail) For(offset int64, synced bool) *message.Records {
	lacks := offset < t.State.Next() || offset == t.State.Next() && !synced
	if !lacks || !t.State.Synced() {
		return nil
	}
	first := t.State.Next() - int64(len(t.recent))
	if synced && offset >= first {
		return &message.Records{Offset: offset, Records: t.recent[offset-first:]}
	}
	return &message.Records{Offset: t.State.Next(), Snapshot: t.State.Snapshot()}
}
