package control_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

func ref(id string, inc int) node.Ref {
	return node.Ref{ID: node.ID(id), Incarnation: node.Incarnation(inc)}
}

func join(id string, inc int) []byte {
	return control.EncodeJoin(control.Member{Ref: ref(id, inc), Role: control.RoleAgent, Addr: "10.0.0.1:1"})
}

func joinAt(id string, inc int, addr string) []byte {
	return control.EncodeJoin(control.Member{Ref: ref(id, inc), Role: control.RoleAgent, Addr: addr})
}

// joinEntry returns the join record of the entry e/1, which has applied every
// record before the offset next.
func joinEntry(next int64) []byte {
	return control.EncodeJoin(control.Member{Ref: ref("e", 1), Role: control.RoleEntry, NextOffset: next})
}

func quotaChange(id string, from int64, team string, q float64) []byte {
	return control.EncodeChange(control.Change{
		ID: id, From: from, Author: "op-" + id,
		Edits: []config.Edit{{Put: &config.Object{Team: &config.Team{Name: team, Quota: q}}}},
	})
}

func takeOutChange(id string, from int64, domain string) []byte {
	return control.EncodeChange(control.Change{
		ID: id, From: from, Author: "op-" + id,
		Edits: []config.Edit{{Put: &config.Object{TakeOut: &config.TakeOut{Domain: domain}}}},
	})
}

// applyAll applies the records from the state's next offset on and returns the
// effect of the last one.
func applyAll(s *control.State, records ...[]byte) control.Effect {
	var last control.Effect
	for _, r := range records {
		last = s.Apply(s.Next(), r)
	}
	return last
}

func TestStateRejects(t *testing.T) {
	withoutEdits := control.Change{ID: "m", From: -1}
	unknownOperator := label.Selector{{Key: "a", Operator: "like"}}
	evict := control.EncodeEvict(ref("e", 1), ref("a", 1))
	evicted := [][]byte{join("a", 1), joinEntry(0), evict}
	rejoined := append(evicted[:3:3], joinEntry(3))
	for _, tc := range []struct {
		name   string
		before [][]byte
		record []byte
		want   string
	}{
		{"not JSON", nil, []byte("{"), "malformed: unexpected end of JSON input"},
		{"no type", nil, []byte("{}"), "malformed: record must have exactly one type"},
		{"two types", nil, []byte(`{"leave":{"ref":{"id":"a","inc":1}},"confirm":{"through":1}}`), "malformed: record must have exactly one type"},
		{"join without incarnation", nil, join("a", 0), "join without a valid ID and incarnation"},
		{"join twice", [][]byte{join("a", 1)}, join("a", 1), "incarnation is already a member"},
		{"join after leave", [][]byte{join("a", 1), control.EncodeLeave(ref("a", 1), 0)}, join("a", 1), "incarnation has ended"},
		{"join after being replaced", [][]byte{join("a", 1), join("a", 2)}, join("a", 1), "incarnation has ended"},
		{"leave of a former incarnation", [][]byte{join("a", 1), join("a", 2)}, control.EncodeLeave(ref("a", 1), 0), "not a member"},
		{"evicted by a process that never joined", [][]byte{join("a", 1)}, control.EncodeEvict(ref("a", 1), ref("b", 1)), "evicted by a process that is not a member"},
		{"evicted twice", [][]byte{join("a", 1), join("b", 1), control.EncodeEvict(ref("a", 1), ref("b", 1))}, control.EncodeEvict(ref("a", 1), ref("b", 1)), "not a member"},
		{"late copy of an evicted entry's join", evicted, joinEntry(2), "incarnation has ended"},
		{"entry evicted after it joined again", rejoined, evict, "entry was evicted before and has joined again"},
		{"entry that left after it joined again", append(rejoined[:4:4], control.EncodeLeave(ref("e", 1), 0)), joinEntry(5), "incarnation has ended"},
		{"late copy of a reset", [][]byte{join("a", 1)}, control.EncodeReset("op", 0), "reset of another offset"},
		{"confirm by a process that never joined", [][]byte{join("a", 1)}, control.EncodeConfirm(1, ref("b", 1)), "confirmed by a process that is not an agent"},
		{"confirm of records not yet in the stream", [][]byte{join("a", 1)}, control.EncodeConfirm(2, ref("a", 1)), "confirms records that are not in the stream yet"},
		{"confirm twice", [][]byte{join("a", 1), control.EncodeConfirm(1, ref("a", 1))}, control.EncodeConfirm(1, ref("a", 1)), "these records are already confirmed"},
		{"change without edits", nil, control.EncodeChange(withoutEdits), control.ReasonInvalid},
		{"change made from a later revision", nil, quotaChange("a", 0, "t", 1), control.ReasonInvalid},
		{"change with an unknown operator", nil, control.EncodeChange(control.Change{ID: "a", From: -1, Edits: []config.Edit{
			{Put: &config.Object{TakeOut: &config.TakeOut{Selector: unknownOperator}}},
		}}), control.ReasonInvalid},
		{"out of every domain", nil, control.EncodeChange(control.Change{ID: "a", From: -1, Edits: []config.Edit{
			{Put: &config.Object{TakeOut: &config.TakeOut{}}},
		}}), control.ReasonInvalid},
		{"made from a revision before a conflicting change", [][]byte{quotaChange("a", -1, "t", 1)}, quotaChange("b", -1, "t", 2), control.ReasonConflict},
		{"same change twice", [][]byte{quotaChange("a", -1, "t", 1)}, quotaChange("a", -1, "t", 1), "change is a duplicate"},
		{"snapshot of another offset", [][]byte{join("a", 1)}, control.NewState().SnapshotRecord(), "snapshot of another offset"},
		{"forged snapshot", nil, []byte(`{"snapshot":{"next":0,"snapshot_at":-1,"revision":7,"floor":-1,"forgotten":-1}}`), "snapshot differs from the state"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := control.NewState()
			applyAll(s, tc.before...)
			next := s.Next()
			got := s.Apply(next, tc.record)
			if got != (control.Effect{Rejected: tc.want}) {
				t.Errorf("got effect %+v, want rejection %q", got, tc.want)
			}
			if s.Next() != next+1 {
				t.Errorf("got next offset %d, want %d", s.Next(), next+1)
			}
			if s.Rejected() == 0 {
				t.Error("Rejected() is 0 after a rejected record")
			}
		})
	}
}

func TestRacingChangesToDifferentObjectsBothWin(t *testing.T) {
	s := control.NewState()
	applyAll(s, quotaChange("a", -1, "t", 1), takeOutChange("b", -1, "south"))
	if !s.Config().TakenOut(config.Place{Domain: "south"}) {
		t.Error("the second change has no effect")
	}
	if team, _ := s.Config().Team("t"); team.Quota != 1 {
		t.Error("the first change has no effect")
	}
}

func TestConflictNamesWinner(t *testing.T) {
	s := control.NewState()
	applyAll(s, quotaChange("a", -1, "t", 1), quotaChange("b", -1, "t", 2))
	got, ok := s.Outcome("b")
	want := control.Outcome{
		ID: "b", Offset: 1, Author: "op-b", Reason: control.ReasonConflict, Detail: "team t",
		WinnerOffset: 0, WinnerID: "a", WinnerAuthor: "op-a",
	}
	if !ok || got != want {
		t.Errorf("got outcome %+v, want %+v", got, want)
	}
}

func TestDeletedObjectsStillConflict(t *testing.T) {
	s := control.NewState()
	applyAll(s, takeOutChange("a", -1, "south"))
	applyAll(s, control.EncodeChange(control.Change{ID: "in", From: 0, Edits: []config.Edit{
		{Delete: &config.Key{Kind: config.KindTakeOut, Name: "name:south"}},
	}}))
	if e := applyAll(s, takeOutChange("late", 0, "south")); e.Rejected != control.ReasonConflict {
		t.Errorf("change made before the deletion: got effect %+v, want a conflict", e)
	}
	if s.Config().TakenOut(config.Place{Domain: "south"}) {
		t.Error("a change made before the deletion put the object back")
	}
}

func TestDroppedDeletionsRejectOldChanges(t *testing.T) {
	s := control.NewState()
	for i := range 1100 {
		name := fmt.Sprintf("d%d", i)
		applyAll(s, takeOutChange("o"+name, s.Config().Revision(), name))
		key := config.Key{Kind: config.KindTakeOut, Name: "name:" + name}
		applyAll(s, control.EncodeChange(control.Change{ID: "i" + name, From: s.Config().Revision(), Edits: []config.Edit{{Delete: &key}}}))
	}
	if e := applyAll(s, takeOutChange("late", 0, "d0")); e.Rejected != control.ReasonTooOld {
		t.Errorf("got effect %+v, want rejection %q", e, control.ReasonTooOld)
	}
}

func TestGapWaitsForSnapshot(t *testing.T) {
	full := control.NewState()
	applyAll(full, join("a", 1), takeOutChange("x", -1, "south"))
	snapshot := full.SnapshotRecord()
	applyAll(full, snapshot, join("b", 1))

	s := control.NewState()
	s.Apply(1, takeOutChange("x", -1, "south"))
	if s.Synced() || s.Next() != 2 || s.Snapshot() != nil {
		t.Errorf("after a gap: got synced %v, next %d; want not synced, next 2, no snapshot", s.Synced(), s.Next())
	}
	s.Apply(2, snapshot)
	s.Apply(3, join("b", 1))
	if !s.Synced() || string(s.Snapshot()) != string(full.Snapshot()) {
		t.Errorf("after the snapshot: got\n%s\nwant\n%s", s.Snapshot(), full.Snapshot())
	}
}

func TestRecordsBeforeNextAreIgnored(t *testing.T) {
	s := control.NewState()
	applyAll(s, join("a", 1), join("b", 1))
	before := string(s.Snapshot())
	if e := s.Apply(1, control.EncodeLeave(ref("a", 1), 0)); e != (control.Effect{}) || string(s.Snapshot()) != before {
		t.Errorf("got effect %+v and state %s, want no effect", e, s.Snapshot())
	}
}

func TestGapKeepsConfigurationUntilSnapshot(t *testing.T) {
	s := control.NewState()
	applyAll(s, takeOutChange("x", -1, "south"))
	s.Apply(5, join("a", 1))
	if s.Synced() || !s.Config().TakenOut(config.Place{Domain: "south"}) {
		t.Error("after a gap, the state is synced or its configuration has changed")
	}
}

func TestResetIsTheSameForAllReaders(t *testing.T) {
	records := [][]byte{join("a", 1), takeOutChange("x", -1, "south"), control.EncodeReset("op", 2), join("a", 1), takeOutChange("late", 1, "south"), takeOutChange("y", 2, "north")}
	full, fresh := control.NewState(), control.NewState()
	applyAll(full, records...)
	for offset := 1; offset < len(records); offset++ {
		fresh.Apply(int64(offset), records[offset])
	}
	if !fresh.Synced() || string(fresh.Snapshot()) != string(full.Snapshot()) {
		t.Errorf("after a gap and a reset: got\n%s\nwant\n%s", fresh.Snapshot(), full.Snapshot())
	}
	c := full.Config()
	if c.Revision() != 5 || c.TakenOut(config.Place{Domain: "south"}) || !c.TakenOut(config.Place{Domain: "north"}) || len(full.Agents()) != 1 {
		t.Errorf("unexpected state after a reset: %s", full.Snapshot())
	}
}

func TestResetToRejectsOlderSnapshots(t *testing.T) {
	old := control.NewState()
	applyAll(old, join("a", 1))
	s := control.NewState()
	applyAll(s, join("a", 1), takeOutChange("x", -1, "south"))
	if err := s.ResetTo(old.Snapshot()); err == nil {
		t.Error("an older snapshot was accepted")
	}
	if err := s.ResetTo([]byte("{")); err == nil {
		t.Error("a malformed snapshot was accepted")
	}
	if !s.Config().TakenOut(config.Place{Domain: "south"}) {
		t.Error("a rejected snapshot changed the configuration")
	}
	if err := old.ResetTo(s.Snapshot()); err != nil || old.Next() != 2 {
		t.Errorf("a newer snapshot was rejected, or Next is not 2: error %v", err)
	}
}

func TestSnapshotDue(t *testing.T) {
	s := control.NewState()
	applyAll(s, join("a", 1), join("b", 1), snapshotAfter(join("a", 1), join("b", 1)), join("c", 1))
	for _, tc := range []struct {
		name        string
		oldest, end int64
		want        bool
	}{
		{"nothing dropped", 0, 4, false},
		{"snapshot is the oldest record", 2, 4, false},
		{"snapshot dropped", 3, 4, true},
		{"all dropped", 4, 4, true},
		{"behind the end", 3, 5, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := s.SnapshotDue(tc.oldest, tc.end); got != tc.want {
				t.Errorf("got due %v, want %v", got, tc.want)
			}
		})
	}
}

// snapshotAfter returns the snapshot record of the state after the given records.
func snapshotAfter(records ...[]byte) []byte {
	s := control.NewState()
	applyAll(s, records...)
	return s.SnapshotRecord()
}

func TestMembersAreSortedAndShared(t *testing.T) {
	s := control.NewState()
	applyAll(s, join("b", 1), join("a", 1), control.EncodeJoin(control.Member{Ref: ref("e", 1), Role: control.RoleEntry}))
	first := s.Members()
	if len(first) != 3 || first[0].Ref.ID != "a" || first[0].JoinOffset != 1 || len(s.Agents()) != 2 {
		t.Errorf("got members %+v, want a/1, b/1 and the entry e/1, with two agents", first)
	}
	if n := testing.AllocsPerRun(10, func() { s.Members(); s.Agents() }); n != 0 {
		t.Errorf("got %v allocations per call, want 0", n)
	}
	applyAll(s, join("a", 2))
	if first[0].Ref.Incarnation != 1 || s.Members()[0].Ref.Incarnation != 2 {
		t.Error("the old list changed, or the new list lacks the new incarnation")
	}
}

func TestMajorityApplied(t *testing.T) {
	appliedBy := func(ids ...string) func(node.Ref) bool {
		return func(r node.Ref) bool {
			for _, id := range ids {
				if r.ID == node.ID(id) {
					return true
				}
			}
			return false
		}
	}
	three := [][]byte{join("a", 1), join("b", 1), join("c", 1)}
	grown := append(three[:3:3], control.EncodeConfirm(3, ref("a", 1)), join("d", 1), join("e", 1), join("f", 1), join("g", 1))
	for _, tc := range []struct {
		name    string
		records [][]byte
		upTo    int64
		applied func(node.Ref) bool
		want    bool
	}{
		{"first join", three[:1], 0, appliedBy(), true},
		{"second join not applied by the first agent", three[:2], 1, appliedBy("b"), false},
		{"second join applied by the first agent", three[:2], 1, appliedBy("a"), true},
		{"half is no majority", append(three[:3:3], join("d", 1), join("e", 1)), 4, appliedBy("a", "b"), false},
		{"joined agents do not outvote the previous set", grown, 7, appliedBy("c", "d", "e", "f", "g"), false},
		{"majorities of both sets", grown, 7, appliedBy("b", "c", "d", "e", "f", "g"), true},
		{"an evicted agent counts as applied", append(three[:3:3], control.EncodeEvict(ref("a", 1), ref("b", 1))), 3, appliedBy("b"), true},
		{"restart of all but one", append(three[:3:3], join("a", 2), join("b", 2)), 4, appliedBy("a"), true},
		{"an incarnation replaced at another address may still be alive", append(three[:3:3], joinAt("a", 2, "x"), joinAt("b", 2, "y")), 4, appliedBy(), false},
		{"an incarnation replaced at another address, then evicted", append(three[:3:3], joinAt("a", 2, "x"), joinAt("b", 2, "y"), control.EncodeEvict(ref("a", 1), ref("c", 1)), control.EncodeEvict(ref("b", 1), ref("c", 1))), 3, appliedBy(), true},
		{"replaced incarnations are not in later sets", append(three[:3:3], join("a", 2), join("b", 2)), 5, appliedBy("c"), false},
		{"confirmed sets are not counted", append(three[:3:3], control.EncodeConfirm(3, ref("a", 1)), join("d", 1)), 4, appliedBy("a", "b"), true},
		{"a join at the confirmed offset is not part of the confirmed set", append(three[:3:3], join("d", 1), control.EncodeConfirm(3, ref("a", 1))), 3, appliedBy("a", "b"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := control.NewState()
			applyAll(s, tc.records...)
			if got := s.MajorityApplied(tc.upTo, tc.applied); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestChangeRoundTrip(t *testing.T) {
	r, err := control.DecodeRecord(quotaChange("a", 3, "t", 1.5))
	if err != nil || r.Change.From != 3 || r.Change.Edits[0].Put.Team.Quota != 1.5 {
		t.Errorf("got record %+v and error %v, want a change made from 3 with quota 1.5", r, err)
	}
	if !json.Valid(join("a", 1)) {
		t.Error("the join record is not valid JSON")
	}
}
