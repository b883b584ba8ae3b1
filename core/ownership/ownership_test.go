package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/ownership"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

// monoZero is what the monotonic clock shows when the wall clock shows wallZero.
const monoZero = time.Hour

func ref(id string, inc int) node.Ref {
	return node.Ref{ID: node.ID(id), Incarnation: node.Incarnation(inc)}
}

func join(id string, inc int) []byte {
	return control.EncodeJoin(control.Member{Ref: ref(id, inc), Role: control.RoleAgent})
}

func at(d time.Duration) clock.Now {
	return clock.Now{Mono: monoZero, Wall: wallZero}.After(d)
}

func newTracker(self node.Ref) *ownership.Tracker {
	return ownership.NewTracker(ownership.Config{
		Self: self, Lease: modelLease, ClockBound: modelBound, Window: modelWindow,
	})
}

// applyAndObserve applies the records one by one and calls Observe after each.
func applyAndObserve(t *ownership.Tracker, s *control.State, now clock.Now, records ...[]byte) {
	for _, r := range records {
		s.Apply(s.Next(), r)
		t.Observe(now, s)
	}
}

func TestAdmitByCreationTime(t *testing.T) {
	tracker, s := newTracker(ref("a", 1)), control.NewState()
	if v := tracker.Admit(at(0), "x", wallZero); v.Kind != ownership.Elsewhere {
		t.Errorf("before the first state: got %v, want elsewhere", v.Kind)
	}
	applyAndObserve(tracker, s, at(0), join("a", 1))
	// The take-over is usable at 1 s, and a clock may then show 1.1 s.
	for _, tc := range []struct {
		name    string
		now     time.Duration
		created time.Duration
		want    ownership.Kind
	}{
		{"before the take-over is usable", 999 * time.Millisecond, 1099 * time.Millisecond, ownership.TooEarly},
		{"not provably later", 2 * time.Second, 1100 * time.Millisecond, ownership.TooEarly},
		{"provably later", 2 * time.Second, 1101 * time.Millisecond, ownership.Own},
		{"usable at once", 1001 * time.Millisecond, 1101 * time.Millisecond, ownership.Own},
		{"as far ahead as clocks differ", 2 * time.Second, 2100 * time.Millisecond, ownership.Own},
		{"from the future", 2 * time.Second, 2101 * time.Millisecond, ownership.FromFuture},
		{"as old as the window", 62 * time.Second, 2 * time.Second, ownership.Own},
		{"older than the window", 62 * time.Second, 1999 * time.Millisecond, ownership.TooOld},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := tracker.Admit(at(tc.now), "x", at(tc.created).Wall)
			if v.Kind != tc.want || v.Home != ref("a", 1) {
				t.Errorf("got %+v, want %v at a/1", v, tc.want)
			}
		})
	}
}

func TestAdmitWaitsForTheMonotonicClock(t *testing.T) {
	tracker, s := newTracker(ref("a", 1)), control.NewState()
	applyAndObserve(tracker, s, at(0), join("a", 1))
	now := clock.Now{Mono: monoZero + modelLease - 1, Wall: wallZero + 5000}
	if v := tracker.Admit(now, "x", wallZero+4000); v.Kind != ownership.TooEarly {
		t.Errorf("after the wall clock stepped forward: got %v, want too_early", v.Kind)
	}
}

func TestAdmitMinted(t *testing.T) {
	tracker := newTracker(ref("a", 1))
	for _, tc := range []struct {
		name string
		home node.Ref
		age  time.Duration
		want ownership.Kind
	}{
		{"this incarnation, without any state", ref("a", 1), time.Second, ownership.Own},
		{"another incarnation", ref("a", 2), time.Second, ownership.Elsewhere},
		{"another node", ref("b", 1), time.Second, ownership.Elsewhere},
		{"older than the window", ref("a", 1), 2 * modelWindow, ownership.TooOld},
		{"from the future", ref("a", 1), -time.Second, ownership.FromFuture},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := job.Minted{Home: tc.home, Created: at(-tc.age).Wall, Minter: 9, Seq: 1}
			if v := tracker.Admit(at(0), m.ID(), 0); v.Kind != tc.want || v.Home != tc.home {
				t.Errorf("got %+v, want %v at %v", v, tc.want, tc.home)
			}
		})
	}
}

func TestAdmitUsesCreationTimeInUUIDv7(t *testing.T) {
	tracker, s := newTracker(ref("a", 1)), control.NewState()
	applyAndObserve(tracker, s, at(0), join("a", 1))
	id := func(created int64) job.ID {
		return job.ID(fmt.Sprintf("%08x-%04x-7abc-8def-0123456789ab", created>>16, created&0xffff))
	}
	if v := tracker.Admit(at(5*time.Second), id(wallZero), at(4*time.Second).Wall); v.Kind != ownership.TooEarly {
		t.Errorf("an ID with an old time and a later creation time: got %v, want too_early", v.Kind)
	}
	if v := tracker.Admit(at(5*time.Second), id(wallZero+4000), 0); v.Kind != ownership.Own {
		t.Errorf("an ID with a later time and no creation time: got %v, want own", v.Kind)
	}
}

// jobIDWithHomes returns an ID whose first and second candidates for its home
// among the agents a to e are the given ones.
func jobIDWithHomes(first, second string) job.ID {
	var agents []control.Member
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		agents = append(agents, control.Member{Ref: ref(id, 1)})
	}
	for i := 0; ; i++ {
		id := fmt.Sprintf("job-%d", i)
		order := rendezvous.Candidates(id, agents, 2)
		if order[0].Ref.ID == node.ID(first) && order[1].Ref.ID == node.ID(second) {
			return job.ID(id)
		}
	}
}

func TestTakeOverFromARemovedAgent(t *testing.T) {
	self := ref("a", 1)
	setup := func() (*ownership.Tracker, *control.State) {
		tracker, s := newTracker(self), control.NewState()
		applyAndObserve(tracker, s, at(0), join("a", 1), join("b", 1), join("c", 1), join("d", 1), join("e", 1))
		for _, id := range []string{"b", "c", "d", "e"} {
			tracker.ObserveOffset(at(0), ref(id, 1), s.Next())
		}
		return tracker, s
	}
	late := 20 * time.Second
	admit := func(tracker *ownership.Tracker, id job.ID, created time.Duration) ownership.Kind {
		return tracker.Admit(at(late), id, at(created).Wall).Kind
	}
	evictB := control.EncodeEvict(ref("b", 1), self)
	fromB, own := jobIDWithHomes("b", "a"), jobIDWithHomes("a", "b")

	tracker, s := setup()
	if got := admit(tracker, fromB, 15*time.Second); got != ownership.Elsewhere {
		t.Errorf("while b is a member: got %v, want elsewhere", got)
	}
	applyAndObserve(tracker, s, at(10*time.Second), evictB)
	if got := admit(tracker, fromB, 15*time.Second); got != ownership.TooEarly {
		t.Errorf("before a majority has applied the removal: got %v, want too_early", got)
	}
	tracker.ObserveOffset(at(12*time.Second), ref("c", 1), s.Next())
	for _, tc := range []struct {
		name    string
		id      job.ID
		created time.Duration
		want    ownership.Kind
	}{
		{"later than the take-over", fromB, 13101 * time.Millisecond, ownership.Own},
		{"not provably later", fromB, 13100 * time.Millisecond, ownership.TooEarly},
		{"a range that did not move", own, 5 * time.Second, ownership.Own},
		{"a range that moved to another agent", jobIDWithHomes("b", "c"), 15 * time.Second, ownership.Elsewhere},
	} {
		if got := admit(tracker, tc.id, tc.created); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// An agent joins and is evicted between two states that this process observes.
// Its jobs must not be created again after the reset to the later state.
func TestAgentThatJoinedAndLeftUnobserved(t *testing.T) {
	full := control.NewState()
	tracker, s := newTracker(ref("a", 1)), control.NewState()
	applyAndObserve(tracker, s, at(0), join("a", 1))
	for _, r := range [][]byte{join("a", 1), join("b", 1), control.EncodeEvict(ref("b", 1), ref("a", 1))} {
		full.Apply(full.Next(), r)
	}
	if err := s.ResetTo(full.Snapshot()); err != nil {
		t.Fatal(err)
	}
	tracker.Observe(at(10*time.Second), s)
	if v := tracker.Admit(at(20*time.Second), jobIDWithHomes("b", "a"), at(5*time.Second).Wall); v.Kind != ownership.TooEarly {
		t.Errorf("a job created in between: got %v, want too_early", v.Kind)
	}
	if v := tracker.Admit(at(20*time.Second), jobIDWithHomes("a", "b"), at(5*time.Second).Wall); v.Kind != ownership.Own {
		t.Errorf("a range that did not move: got %v, want own", v.Kind)
	}
}

// The state keeps a bounded number of removals. A process that missed more of
// them cannot tell which ranges moved, so it takes over every range anew.
func TestIncompleteRemovalsRestartEveryTakeOver(t *testing.T) {
	full := control.NewState()
	tracker, s := newTracker(ref("a", 1)), control.NewState()
	applyAndObserve(tracker, s, at(0), join("a", 1))
	full.Apply(0, join("a", 1))
	for i := range 2000 {
		full.Apply(full.Next(), join("b", i+1))
	}
	full.Apply(full.Next(), control.EncodeEvict(ref("b", 2000), ref("a", 1)))
	full.Apply(full.Next(), control.EncodeConfirm(full.Next(), ref("a", 1)))
	if err := s.ResetTo(full.Snapshot()); err != nil {
		t.Fatal(err)
	}
	tracker.Observe(at(10*time.Second), s)
	id := jobIDWithHomes("a", "b")
	if v := tracker.Admit(at(20*time.Second), id, at(5*time.Second).Wall); v.Kind != ownership.TooEarly {
		t.Errorf("a job created in between: got %v, want too_early", v.Kind)
	}
	if v := tracker.Admit(at(20*time.Second), id, at(15*time.Second).Wall); v.Kind != ownership.Own {
		t.Errorf("a later job: got %v, want own", v.Kind)
	}
}

func TestDueConfirmation(t *testing.T) {
	tracker, s := newTracker(ref("a", 1)), control.NewState()
	applyAndObserve(tracker, s, at(0), join("a", 1), join("b", 1), join("c", 1))
	if _, ok := tracker.DueConfirmation(at(time.Minute)); ok {
		t.Error("got a confirmation before a majority has applied the change, want none")
	}
	tracker.ObserveOffset(at(0), ref("b", 1), 3)
	record, ok := tracker.DueConfirmation(at(0))
	if !ok {
		// The last of three agents in rank order waits for two steps.
		record, ok = tracker.DueConfirmation(at(2 * time.Second))
	}
	if !ok {
		t.Fatal("got no confirmation after a majority has applied the change, want one")
	}
	if _, again := tracker.DueConfirmation(at(2 * time.Second)); again {
		t.Error("got a second confirmation at once, want none before the retry interval")
	}
	if e := s.Apply(s.Next(), record); e.Rejected != "" || s.ConfirmedOffset() != 3 {
		t.Errorf("got effect %+v, confirmed %d, want no rejection and 3", e, s.ConfirmedOffset())
	}
	tracker.Observe(at(time.Second), s)
	if _, ok := tracker.DueConfirmation(at(time.Minute)); ok {
		t.Error("got a confirmation of a confirmed change, want none")
	}
}
