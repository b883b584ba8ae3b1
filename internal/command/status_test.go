package command

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/freshness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/entryd"
)

// TestStatusOfLargeFleet checks that the status of a large fleet counts every agent in
// exactly one state. It must list only the agents with a fault unless --all is set.
func TestStatusOfLargeFleet(t *testing.T) {
	s := &entryd.Status{Status: entry.Status{Offset: 7, Entries: []entry.EntryStatus{{Ref: node.Ref{ID: "e1"}}}}}
	for i := range 920 {
		s.Agents = append(s.Agents, entry.AgentStatus{
			Ref: node.Ref{ID: node.ID(fmt.Sprintf("a%03d", i))}, Offset: 7, Load: message.Load{Slots: 8, Queued: 1},
			Report: &message.Report{Synced: true, RemainingLease: time.Second, Records: 2},
		})
	}
	faults := []func(a *entry.AgentStatus){
		func(a *entry.AgentStatus) { a.Dead = true },
		func(a *entry.AgentStatus) { a.ReportOverdue = true },
		func(a *entry.AgentStatus) { a.Load.Draining = true },
		func(a *entry.AgentStatus) { a.Report = &message.Report{} },
		func(a *entry.AgentStatus) { a.Report.RemainingLease = 0 },
		func(a *entry.AgentStatus) { a.Load.Failing = true },
		func(a *entry.AgentStatus) { a.Offset = 6 },
		func(a *entry.AgentStatus) {
			a.Report.Quarantines = []message.Quarantine{{Agent: "a500", UntilProbation: time.Second}}
		},
	}
	for i, fault := range faults {
		fault(&s.Agents[10*i])
	}
	var out strings.Builder
	if err := printStatus(&out, s, false); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"entries 1: e1\n",
		"lapsed       7       ended  0\n",
		"agents 920: 1 dead, 1 silent, 1 leaving, 1 unread, 1 lapsed, 1 quarantined, 1 behind, 913 up\n",
		"slots 7352 busy 0 queued 919 jobs held 1836\n", "did not answer: a010\n",
		"quarantine of a500: by 1 agents, probation in 1s\n",
		"not listed: 912 that need no attention, 0 that do; --all lists them\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in the output:\n%s", want, out.String())
		}
	}
	if n := strings.Count(out.String(), "\n"); n != 6+1+8+1 {
		t.Errorf("got %d lines, want 16:\n%s", n, out.String())
	}
	if text := leaseText(&message.Report{RemainingLease: freshness.Forever - time.Hour}); text != "no end" {
		t.Errorf("a lease without end: got %q, want \"no end\"", text)
	}
	out.Reset()
	if err := printStatus(&out, s, true); err != nil || strings.Count(out.String(), "\n") < 920 {
		t.Errorf("--all: got error %v and %d lines, want no error and at least 920 lines", err, strings.Count(out.String(), "\n"))
	}
}
