package control_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
)

// drawRecord draws a record from few IDs and domains, so that conflicts,
// duplicates and late copies are frequent.
func drawRecord(t *rapid.T, s *control.State, written [][]byte) []byte {
	author := ref(fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "by")), rapid.IntRange(1, 3).Draw(t, "by run"))
	subject := ref(fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "node")), rapid.IntRange(1, 3).Draw(t, "run"))
	switch rapid.IntRange(0, 9).Draw(t, "type") {
	case 0:
		return control.EncodeJoin(control.Member{Ref: subject, Role: control.RoleAgent})
	case 1:
		return control.EncodeJoin(control.Member{Ref: subject, Role: control.RoleEntry})
	case 2:
		return control.EncodeLeave(subject, 0)
	case 3:
		return control.EncodeEvict(subject, author)
	case 4:
		return control.EncodeConfirm(int64(rapid.IntRange(0, len(written)).Draw(t, "through")), author)
	case 5:
		return s.SnapshotRecord()
	case 6:
		if len(written) > 0 {
			return rapid.SampledFrom(written).Draw(t, "copy")
		}
		return nil
	case 7:
		if rapid.IntRange(0, 3).Draw(t, "reset") == 0 {
			return control.EncodeReset("op", int64(rapid.IntRange(0, len(written)).Draw(t, "next")))
		}
		return rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
	default:
		return drawChange(t, len(written))
	}
}

func drawChange(t *rapid.T, written int) []byte {
	c := control.Change{
		ID:     fmt.Sprintf("c%d", rapid.IntRange(0, written+1).Draw(t, "id")),
		From:   int64(rapid.IntRange(-1, written).Draw(t, "from")),
		Author: "op",
	}
	for range rapid.IntRange(1, 2).Draw(t, "edits") {
		out := config.TakeOut{Domain: rapid.SampledFrom([]string{"south", "north", ""}).Draw(t, "domain")}
		edit := config.Edit{Put: &config.Object{TakeOut: &out}}
		if rapid.Bool().Draw(t, "delete") {
			key := out.Key()
			edit = config.Edit{Delete: &key}
		}
		c.Edits = append(c.Edits, edit)
	}
	return control.EncodeChange(c)
}

// drawLog draws the records of a log. It returns them and the encoded states
// before each offset and at the end.
func drawLog(t *rapid.T) (records [][]byte, states []string) {
	full := control.NewState()
	for range rapid.IntRange(1, 60).Draw(t, "records") {
		states = append(states, string(full.Snapshot()))
		r := drawRecord(t, full, records)
		records = append(records, r)
		full.Apply(full.Next(), r)
	}
	return records, append(states, string(full.Snapshot()))
}

// TestReadersAgree compares a reader that starts at any offset, or from the
// snapshot of a peer, with one that read the whole log: once synced, its state
// must be the same. Its revision must never decrease, also not at a gap.
func TestReadersAgree(t *testing.T) {
	synced, compared := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		records, states := drawLog(t)
		s := control.NewState()
		if at := rapid.IntRange(-1, len(records)).Draw(t, "peer snapshot"); at >= 0 {
			if err := s.ResetTo([]byte(states[at])); err != nil {
				t.Fatal(err)
			}
		}
		start := rapid.IntRange(0, len(records)).Draw(t, "oldest")
		revision := s.Config().Revision()
		for offset := start; offset < len(records); offset++ {
			s.Apply(int64(offset), records[offset])
			if s.Config().Revision() < revision {
				t.Fatalf("the revision decreased from %d to %d at offset %d", revision, s.Config().Revision(), offset)
			}
			revision = s.Config().Revision()
			if !s.Synced() {
				continue
			}
			compared++
			if got := string(s.Snapshot()); got != states[s.Next()] {
				t.Fatalf("state after offset %d: got\n%s\nwant\n%s", offset, got, states[s.Next()])
			}
		}
		if s.Synced() {
			synced++
		}
	})
	t.Logf("%d states compared, %d readers in sync at the end", compared, synced)
	if !t.Failed() && compared == 0 {
		t.Error("no state was compared")
	}
}

// TestOneChangeWins appends changes made from one revision to one object, also
// several times. Only the first may be accepted, and the outcome of each other
// one must name it.
func TestOneChangeWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := control.NewState()
		applyAll(s, quotaChange("base", -1, "t", 1))
		n := rapid.IntRange(2, 6).Draw(t, "racers")
		order := rapid.SliceOfN(rapid.IntRange(0, n-1), n, 3*n).Draw(t, "appends")
		for _, i := range order {
			applyAll(s, quotaChange(fmt.Sprintf("c%d", i), 0, "t", float64(i+2)))
			if rapid.Bool().Draw(t, "unrelated") {
				applyAll(s, join(fmt.Sprintf("n%d", s.Next()), 1))
			}
		}
		winner := fmt.Sprintf("c%d", order[0])
		for _, i := range order {
			id := fmt.Sprintf("c%d", i)
			o, ok := s.Outcome(id)
			if !ok || o.Accepted != (id == winner) {
				t.Fatalf("outcome of %s: got %+v, want only %s accepted", id, o, winner)
			}
			if !o.Accepted && o.WinnerID != winner {
				t.Fatalf("outcome of %s: got winner %q, want %q", id, o.WinnerID, winner)
			}
		}
		if team, _ := s.Config().Team("t"); team.Quota != float64(order[0]+2) {
			t.Fatalf("got quota %v, want that of the accepted change", team.Quota)
		}
	})
}

// FuzzApply checks that no record makes Apply panic or skip an offset.
func FuzzApply(f *testing.F) {
	s := control.NewState()
	applyAll(s, join("a", 1), quotaChange("x", -1, "t", 1))
	for _, seed := range [][]byte{
		join("a", 1), control.EncodeLeave(ref("a", 1), 0), control.EncodeEvict(ref("a", 1), ref("a", 1)),
		control.EncodeConfirm(1, ref("a", 1)), quotaChange("y", 1, "t", 2), takeOutChange("z", 1, "south"), control.EncodeReset("op", 2),
		s.SnapshotRecord(), []byte("{}"), []byte(`{"change":{"id":"a","edits":[{}]}}`), nil,
		[]byte(`{"snapshot":{"next":9223372036854775807,"members":[{}],"ended":[{"offset":-1}],"ops":[{}]}}`), []byte(`{"confirm":{"through":1e400}}`),
		[]byte(`{"join":{"ref":{"id":"b","inc":1},"addr":"127.0.0.1:99999999999","role":"agent","effective":-9223372036854775808}}`),
		[]byte(`{"leave":{"ref":null,"effective":1.5}}`), []byte(strings.Repeat(`{"change":`, 20_000)), []byte(strings.Repeat("[", 1_000_000)),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, record []byte) {
		synced := control.NewState()
		applyAll(synced, join("a", 1), quotaChange("x", -1, "t", 1), record, record)
		fresh := control.NewState()
		fresh.Apply(2, record)
		if synced.Next() != 4 || fresh.Next() != 3 {
			t.Errorf("got next offsets %d and %d, want 4 and 3", synced.Next(), fresh.Next())
		}
	})
}
