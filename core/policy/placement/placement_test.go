package placement

import (
	"errors"
	"flag"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// init fixes the seed of the randomized tests; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func mustNew(tb testing.TB, name string) Picker {
	p, err := New(name, 1)
	if err != nil {
		tb.Fatal(err)
	}
	return p
}

func TestNew(t *testing.T) {
	for _, name := range Names {
		if got := mustNew(t, name).Name(); got != name {
			t.Errorf("New(%q) returned the policy %q", name, got)
		}
	}
	if got := mustNew(t, "").Name(); got != Default {
		t.Errorf("New of an empty name returned the policy %q, want the default", got)
	}
	var unknown *UnknownError
	if _, err := New("fastest", 1); !errors.As(err, &unknown) || unknown.Name != "fastest" {
		t.Errorf("error of an unknown name is %v, want UnknownError", err)
	}
}

func TestFreeSlotsAndCapacity(t *testing.T) {
	tests := []struct {
		name           string
		c              Candidate
		free, capacity int
	}{
		{"idle, urgent", Candidate{Class: job.Urgent, Load: message.Load{Slots: 8}}, 8, 8},
		{"idle, normal leaves the reserve", Candidate{Load: message.Load{Slots: 8}}, 7, 9},
		{"the own queue may be longer", Candidate{Local: true, Load: message.Load{Slots: 8}}, 7, 15},
		{"unreported sent tasks count", Candidate{Class: job.Urgent, Load: message.Load{Slots: 8, Busy: 3}, UnreportedTasks: 4}, 1, 1},
		{"urgent overtakes the queue", Candidate{Class: job.Urgent, Load: message.Load{Slots: 8, Busy: 7, Queued: 6}}, 1, 1},
		{"urgent waits for urgent", Candidate{Local: true, Class: job.Urgent, QueuedUrgent: 3, Load: message.Load{Slots: 8, Busy: 8, Queued: 6}}, 0, 5},
		{"normal waits for the queue", Candidate{Local: true, Load: message.Load{Slots: 8, Busy: 7, Queued: 6}}, 0, 2},
		{"more tasks than capacity", Candidate{Load: message.Load{Slots: 8, Busy: 8, Queued: 9}}, 0, 0},
		{"just come into service", Candidate{Class: job.Urgent, InServiceFor: 1, Load: message.Load{Slots: 8}}, 8, 1},
		{"halfway through the ramp", Candidate{Class: job.Urgent, InServiceFor: rampTime / 2, UnreportedTasks: 1, Load: message.Load{Slots: 8}}, 7, 4},
		{"own executor has no ramp", Candidate{Local: true, Class: job.Urgent, InServiceFor: 1, Load: message.Load{Slots: 8}}, 8, 16},
		{"draining", Candidate{Load: message.Load{Slots: 8, Draining: true}}, 7, 0},
		{"no report", Candidate{}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if f, r := FreeSlots(tt.c), FreeCapacity(tt.c); f != tt.free || r != tt.capacity {
				t.Errorf("%d free slots and free capacity %d, want %d and %d", f, r, tt.free, tt.capacity)
			}
		})
	}
}

func TestPick(t *testing.T) {
	load := func(busy int) message.Load { return message.Load{Slots: 8, Busy: busy} }
	slow := func(busy int) message.Load {
		return message.Load{Slots: 8, Busy: busy, MeanServiceTime: 4 * time.Second}
	}
	fast := func(busy int) message.Load {
		return message.Load{Slots: 8, Busy: busy, MeanServiceTime: time.Second / 4}
	}
	tests := []struct {
		name   string
		policy string
		cands  []Candidate
		want   int
	}{
		{"own free slot is preferred", LocalFirst, []Candidate{{Load: load(0)}, {Local: true, Load: load(6)}}, 1},
		{"own slots full", LocalFirst, []Candidate{{Load: load(5)}, {Local: true, Load: load(8)}}, 0},
		{"less loaded of the others", LocalFirst, []Candidate{{Load: load(6)}, {Load: load(2)}}, 1},
		{"unreported sent tasks count", LocalFirst, []Candidate{{Load: load(0), UnreportedTasks: 7}, {Load: load(5)}}, 1},
		{"own domain on equal load", LocalFirst, []Candidate{
			{Domain: "b", Load: load(4)},
			{Domain: "a", Load: load(4)},
			{Domain: "a", Local: true, Load: load(8)},
		}, 1},
		{"slow own upstream", LocalFirst, []Candidate{{Load: fast(4)}, {Load: fast(4)}, {Local: true, Load: slow(0)}}, 0},
		{"slow other upstream", LocalFirst, []Candidate{{Load: slow(0)}, {Load: fast(7)}, {Load: fast(8)}}, 1},
		{"least load", LeastLoad, []Candidate{{Load: load(3)}, {Load: load(2)}, {Load: load(4)}}, 1},
		{"suspect last", LeastLoad, []Candidate{{Load: load(0), Suspect: true}, {Load: load(7)}}, 1},
		{"suspect when alone", LocalFirst, []Candidate{{Load: load(0), Suspect: true}, {Load: load(99)}}, 0},
		{"failing last", TwoChoices, []Candidate{{Load: message.Load{Slots: 8, Failing: true}}, {Load: load(7)}}, 1},
		{"old report loses weight", LocalFirst, []Candidate{
			{Load: load(0), LoadAge: time.Hour},
			{Load: load(1)},
			{Load: load(7)},
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i := range tt.cands {
				tt.cands[i].Class = job.Urgent
			}
			if got := mustNew(t, tt.policy).Pick(tt.cands); got != tt.want {
				t.Errorf("picked %d, want %d", got, tt.want)
			}
		})
	}
}

// TestEveryPolicyRespectsFreeCapacity checks for every policy that a picked
// candidate has free capacity, and that it is a suspect only when no other
// candidate has any. Pick must return -1 only when no candidate has any.
func TestEveryPolicyRespectsFreeCapacity(t *testing.T) {
	for _, name := range Names {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			p, _ := New(name, rapid.Uint64().Draw(t, "seed"))
			cands := rapid.SliceOfN(rapid.Custom(drawCandidate), 0, 20).Draw(t, "cands")
			chosen := PickMany(p, cands, 50)
			last := p.Pick(cands)
			if len(chosen) < 50 && last >= 0 {
				t.Fatalf("PickMany stopped after %d of 50 tasks with free capacity left", len(chosen))
			}
			for i := range cands {
				if cands[i].UnreportedTasks > 8 && slices.Contains(chosen, i) && freeCapacity(&cands[i]) < 0 {
					t.Fatalf("candidate %d got more tasks than its capacity: %+v", i, cands[i])
				}
				if last < 0 && freeCapacity(&cands[i]) > 0 {
					t.Fatalf("candidate %d has free capacity, but no candidate was picked", i)
				}
				if last >= 0 && suspect(&cands[last]) && usable(&cands[i], false) {
					t.Fatalf("suspect %d was picked although candidate %d has free capacity", last, i)
				}
			}
		}))
	}
}

// TestLocalFirstInALargeFleet checks that among more candidates than scanLimit,
// the only one with free capacity is found, and the own executor is preferred.
func TestLocalFirstInALargeFleet(t *testing.T) {
	cands := make([]Candidate, 920)
	for i := range cands {
		cands[i].Load = message.Load{Slots: 8, Busy: 8, Queued: 8}
	}
	p := mustNew(t, LocalFirst)
	cands[700].Load = message.Load{Slots: 8}
	for range 50 {
		if got := p.Pick(cands); got != 700 {
			t.Fatalf("picked %d, but only 700 has free capacity", got)
		}
	}
	cands[3].Local = true
	cands[3].Load = message.Load{Slots: 8}
	for range 50 {
		if got := p.Pick(cands); got != 3 {
			t.Fatalf("picked %d, want 3, the own executor", got)
		}
	}
}

func drawCandidate(t *rapid.T) Candidate {
	n := rapid.IntRange(0, 8)
	return Candidate{
		Local:           rapid.Bool().Draw(t, "local"),
		Suspect:         rapid.Bool().Draw(t, "suspect"),
		UnreportedTasks: n.Draw(t, "sent"),
		LoadAge:         time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")),
		Class:           rapid.SampledFrom(job.Classes).Draw(t, "class"),
		Load: message.Load{
			Slots: n.Draw(t, "slots"), Busy: n.Draw(t, "busy"), Queued: n.Draw(t, "queued"),
			MeanServiceTime: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "service")),
		},
	}
}

func members(n int) []node.ID {
	out := make([]node.ID, n)
	for i := range out {
		out[i] = node.ID("agent-" + strconv.Itoa(i))
	}
	return out
}

func TestSubset(t *testing.T) {
	all := members(920)
	watched := make(map[node.ID]int)
	for _, self := range all {
		s := Subset(self, all, FanOut)
		if len(s) != FanOut || slices.Contains(s, self) || !slices.IsSorted(s) {
			t.Fatalf("subset of %s is %v, want FanOut others in order", self, s)
		}
		for _, id := range s {
			watched[id]++
		}
	}
	for _, id := range all {
		if n := watched[id]; n < FanOut/4 || n > 2*FanOut {
			t.Errorf("%s is in %d subsets, want FanOut/4 to 2*FanOut", id, n)
		}
	}
	if got := Subset("a", []node.ID{"b", "a", "b"}, 5); !slices.Equal(got, []node.ID{"b"}) {
		t.Errorf("subset of a with b as the only other member is %v, want b", got)
	}
}

func TestSubsetIsStable(t *testing.T) {
	all := members(200)
	rapid.Check(t, func(t *rapid.T) {
		self := rapid.SampledFrom(all).Draw(t, "self")
		gone := rapid.SampledFrom(all).Draw(t, "gone")
		before := Subset(self, all, FanOut)
		left := slices.DeleteFunc(slices.Clone(all), func(id node.ID) bool { return id == gone && id != self })
		after := Subset(self, left, FanOut)
		changed := 0
		for _, id := range before {
			if !slices.Contains(after, id) {
				changed++
			}
		}
		if changed > 1 || changed == 1 && !slices.Contains(before, gone) {
			t.Fatalf("%d members of the subset changed when %s left, want at most its own place", changed, gone)
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, name := range Names {
		for _, n := range []int{11, 110, 920} {
			b.Run(name+"/candidates="+strconv.Itoa(n), func(b *testing.B) {
				cands := make([]Candidate, n)
				for i := range cands {
					cands[i].Load = message.Load{Slots: 8, Busy: i * 7 % 9, MeanServiceTime: time.Second}
				}
				p := mustNew(b, name)
				b.ReportAllocs()
				for b.Loop() {
					p.Pick(cands)
				}
			})
		}
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{11, 110, 920} {
		b.Run("members="+strconv.Itoa(n), func(b *testing.B) {
			all := members(n)
			for b.Loop() {
				Subset(all[0], all, FanOut)
			}
		})
	}
}
