package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

func agents(n int) []control.Member {
	var members []control.Member
	for i := range n {
		ref := node.Ref{ID: node.ID(fmt.Sprintf("n%03d", i)), Incarnation: 1}
		members = append(members, control.Member{Ref: ref, Role: control.RoleAgent})
	}
	return members
}

func TestHomeIsFirstCandidate(t *testing.T) {
	all := agents(11)
	table := rendezvous.NewTable(all)
	for i := range 200 {
		id := fmt.Sprintf("job-%d", i)
		home, ok := rendezvous.Home(job.ID(id), all)
		order := rendezvous.Candidates(id, all, len(all)+1)
		if !ok || len(order) != len(all) || home.Ref != order[0].Ref {
			t.Fatalf("home is %v, first candidate is %v, want the same agent", home.Ref, order[0].Ref)
		}
		if again, _ := table.Home(job.ID(id)); again.Ref != home.Ref {
			t.Fatalf("home is %v by Table.Home and %v by Home, want the same agent", again.Ref, home.Ref)
		}
		for p, m := range order {
			if got := rendezvous.Position(id, all, m.Ref.ID); got != p {
				t.Fatalf("position of %v is %d, want %d", m.Ref, got, p)
			}
		}
	}
}

func TestHomeWithoutAgents(t *testing.T) {
	if _, ok := rendezvous.Home("a", nil); ok {
		t.Error("Home found an agent in an empty list")
	}
	if _, ok := rendezvous.NewTable(nil).Home("a"); ok {
		t.Error("Table.Home found an agent in an empty table")
	}
	if got := rendezvous.Position("a", nil, "n"); got != 0 {
		t.Errorf("position in an empty list is %d, want 0", got)
	}
}

func TestRemovalMovesOnlyTheRemovedNodesJobs(t *testing.T) {
	all := agents(11)
	rest := all[1:]
	for i := range 1000 {
		id := job.ID(fmt.Sprintf("job-%d", i))
		before, _ := rendezvous.Home(id, all)
		after, _ := rendezvous.Home(id, rest)
		if before.Ref != all[0].Ref && before.Ref != after.Ref {
			t.Fatalf("%s moved from %v to %v although its home was not removed", id, before.Ref, after.Ref)
		}
	}
}

// TestSpread checks that jobs are spread evenly: the number of jobs of each of 920
// nodes must be within 6 standard deviations of a binomial distribution.
func TestSpread(t *testing.T) {
	const jobs, nodes, mean, slack = 92000, 920, 100, 60
	all := agents(nodes)
	table := rendezvous.NewTable(all)
	count := make(map[node.ID]int)
	for i := range jobs {
		home, _ := table.Home(job.ID(fmt.Sprintf("job-%d", i)))
		count[home.Ref.ID]++
	}
	for _, m := range all {
		if c := count[m.Ref.ID]; c < mean-slack || c > mean+slack {
			t.Errorf("%s has %d jobs, want %d±%d", m.Ref.ID, c, mean, slack)
		}
	}
}

func BenchmarkTableHome920(b *testing.B) {
	table := rendezvous.NewTable(agents(920))
	for b.Loop() {
		table.Home("0195d0a2-7c11-7abc-8def-0123456789ab")
	}
}

func BenchmarkHome920(b *testing.B) {
	all := agents(920)
	for b.Loop() {
		rendezvous.Home("0195d0a2-7c11-7abc-8def-0123456789ab", all)
	}
}
