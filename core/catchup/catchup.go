// Package catchup keeps the most recent records of the control stream and sends
// them to processes that are behind.
package catchup

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// tailRecords bounds the number of records kept.
const tailRecords = 256

// Tail applies records to a state and keeps the most recent of them.
type Tail struct {
	State *control.State
	// recent holds the most recent records, ending at the state's next offset.
	recent [][]byte
}

// Apply applies consecutive records that start at offset from. Records that the
// state has applied already are ignored.
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

// ApplyCatchUp applies the records or the snapshot that a peer sent to this
// process because it was behind. Records that leave a gap after the state's
// offset are ignored, because the gap may hide further lost records.
func (t *Tail) ApplyCatchUp(m *message.Records) control.Effect {
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

// Missing returns what a peer whose next offset is offset lacks: the records
// from there on, or a snapshot. It returns a snapshot when the records are no
// longer kept, or when the peer is not synced and so lacks records before
// offset. It returns nil when the peer lacks nothing.
func (t *Tail) Missing(offset int64, synced bool) *message.Records {
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
