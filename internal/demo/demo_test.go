package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
)

func TestDemo(t *testing.T) {
	var out bytes.Buffer
	if err := Run(context.Background(), Options{JSON: true, Seed: 1, Out: &out}); err != nil {
		t.Fatal(err, out.String())
	}
	var s Summary
	if err := json.Unmarshal(out.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	if s.Tasks < 2000 || s.Resubmissions == 0 || s.Complete == 0 {
		t.Errorf("got summary %+v, want at least 2000 tasks, some resubmissions and some complete jobs", s)
	}
	if s.Complete+s.Failed+s.Unanswered != s.Jobs || s.Starts > s.Tasks {
		t.Errorf("got summary %+v, want complete, failed and unanswered jobs to add up to all jobs, and no more starts than tasks", s)
	}
}

func TestBrokenInvariantsAreFound(t *testing.T) {
	broken := map[string]Summary{
		"duplicate":    {DuplicateStarts: 1},
		"partial":      {PartialAnswers: 1},
		"misdelivered": {MisdeliveredAnswers: 1},
		"untrue":       {UntrueNotRun: 1},
		"late":         {LateDomainStarts: 1},
		"cut off":      {CutOffRequests: 1},
	}
	for name, s := range broken {
		if !s.invariantBroken() {
			t.Errorf("%s: the broken invariant was not found", name)
		}
	}
	if (&Summary{Failed: 1, NotRun: 1}).invariantBroken() {
		t.Error("a refused job was reported as a broken invariant")
	}
}
