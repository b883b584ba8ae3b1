package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/cluster"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

func TestShortRunWithCombinedFaults(t *testing.T) {
	dir := t.TempDir()
	report, err := Run(context.Background(), Options{
		Scenario: "quitanda", Faults: []string{"domain-out,straggler", "wrong-sizes"}, Seed: 1,
		Duration: 3 * time.Second, SkipBaseline: true, ReportDir: dir,
	})
	if err != nil {
		t.Fatalf("got error %v and report %+v, want no error", err, report)
	}
	if report.Jobs == 0 || report.Complete == 0 || report.Starts == 0 || report.MaxInForceSeconds <= 0 {
		t.Errorf("got report %+v, want jobs, complete jobs, starts and a time until a change was in force", report)
	}
	if report.CompletedDuringFaultFraction != nil {
		t.Error("got a comparison with the baseline, want none because the baseline was skipped")
	}
	for _, name := range []string{reportFile, responseFile, workFile} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("file %s is missing or empty; error: %v", name, err)
		}
	}
	var table bytes.Buffer
	if err := WriteTable(&table, []Report{report}); err != nil || !strings.Contains(table.String(), "domain-out+straggler+wrong-sizes") {
		t.Errorf("got table %s and error %v, want the names of all faults joined by +", table.String(), err)
	}
}

func TestEntriesThatRunAlready(t *testing.T) {
	c, err := cluster.Start(context.Background(), cluster.Config{
		Entries: 1, Agents: 3, Domains: 1, RackSize: 3, Slots: 16, Connections: 32, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	o := Options{Entries: c.EntryAddrs(), Seed: 1, Duration: time.Second, Load: 0.1}
	report, err := Run(context.Background(), o)
	if err != nil || report.Jobs == 0 {
		t.Errorf("got error %v and report %+v, want no error and at least one job", err, report)
	}
	o.Faults = []string{"crash"}
	if _, err := Run(context.Background(), o); err == nil {
		t.Error("a fault was accepted for entries that are already running, want an error")
	}
}

func TestUnknownNames(t *testing.T) {
	tests := []struct {
		o     Options
		lists []string
	}{
		{Options{Scenario: "nowhere"}, ScenarioNames()},
		{Options{Faults: []string{"crash", "nothing"}}, FaultNames()},
		{Options{Faults: []string{"crash,"}}, FaultNames()},
	}
	for _, test := range tests {
		_, err := Run(context.Background(), test.o)
		if err == nil || !strings.Contains(err.Error(), strings.Join(test.lists, ", ")) {
			t.Errorf("options %+v: got error %v, want one that lists the valid names", test.o, err)
		}
	}
}

func TestBrokenInvariantsAreFound(t *testing.T) {
	tests := map[string]Report{
		"duplicate":    {DuplicateStarts: 1},
		"partial":      {PartialAnswers: 1},
		"misdelivered": {MisdeliveredAnswers: 1},
		"untrue":       {UntrueNotRun: 1},
		"late":         {LateDomainStarts: 1},
		"revert":       {ConfigReverts: 1},
		"cut off":      {CutOffRequests: 1},
		"internal":     {InternalViolations: 1},
	}
	for name, r := range tests {
		if !r.invariantBroken(nil) {
			t.Errorf("%s: the broken invariant was not found", name)
		}
	}
	crashed := Report{CutOffRequests: 1}
	if crashed.invariantBroken([]fault{{name: "crash", cutsOff: true}}) {
		t.Error("a request cut off by a crash was reported as a broken invariant")
	}
}

func TestFaultNames(t *testing.T) {
	for _, name := range []string{
		"none", "crash", "domain-out", "log-outage", "burst", "black-hole",
		"rolling-restart", "straggler", "cancel-wave", "lost-replies", "partition", "wrong-sizes", "throttle",
	} {
		if !slices.Contains(FaultNames(), name) {
			t.Errorf("FaultNames lacks %s", name)
		}
	}
}

func TestMessageTotals(t *testing.T) {
	kinds := func(counts map[string]uint64) []transport.KindCount {
		var all []transport.KindCount
		for kind, n := range counts {
			all = append(all, transport.KindCount{Kind: kind, Sent: n})
		}
		return all
	}
	o := observed{stats: map[node.Ref]transport.Stats{
		{ID: "e1"}: {MessagesOut: 12, Kinds: kinds(map[string]uint64{"submit": 10, "status": 2})},
		{ID: "a1"}: {MessagesOut: 33, Kinds: kinds(map[string]uint64{"start": 12, "result": 9, "refused": 3, "answer": 9})},
	}}
	if got := o.jobMessages(); got != 43 {
		t.Errorf("got %d messages because of jobs, want 43", got)
	}
	// Wasted are three refusals, three starts without a result and one submission
	// without an answer.
	if got := o.wastedMessages(); got != 7 {
		t.Errorf("got %d wasted messages, want 7", got)
	}
}
