package telemetry

import (
	"fmt"
	"testing"
	"time"
)

// offer offers the given number of lines, each of another job, within one second. It
// returns the jobs whose lines were kept, and how many lines the sampler reported as
// left out.
func offer(s *sampler, now *time.Time, lines int) (kept map[string]bool, reportedLeftOut int) {
	kept = map[string]bool{}
	for i := range lines {
		job := fmt.Sprintf("job-%d", i)
		ok, leftOut := s.sample(job)
		kept[job] = ok
		reportedLeftOut += leftOut
	}
	*now = now.Add(sampleWindow)
	return kept, reportedLeftOut
}

// count returns the number of jobs whose lines were kept.
func count(kept map[string]bool) (n int) {
	for _, ok := range kept {
		if ok {
			n++
		}
	}
	return n
}

// TestEveryLineIsKeptUpToTheLimit guards against lines that are lost without load.
func TestEveryLineIsKeptUpToTheLimit(t *testing.T) {
	now := time.Unix(0, 0)
	s := newSampler(func() time.Time { return now })
	for range 3 {
		if kept, reportedLeftOut := offer(s, &now, maxRoutineLinesPerWindow); count(kept) != maxRoutineLinesPerWindow || reportedLeftOut != 0 {
			t.Fatalf("%d of %d lines kept, %d reported as left out; want all kept", count(kept), maxRoutineLinesPerWindow, reportedLeftOut)
		}
	}
}

// TestLinesUnderLoad checks a sampler at 20 times the limit: the lines of each second
// stay within the limit, the sampler reports how many it left out, and two processes
// keep the lines of the same jobs.
func TestLinesUnderLoad(t *testing.T) {
	const lines = 20 * maxRoutineLinesPerWindow
	now := time.Unix(0, 0)
	a, b := newSampler(func() time.Time { return now }), newSampler(func() time.Time { return now })
	first, _ := offer(a, &now, lines)
	if n := count(first); n > maxRoutineLinesPerWindow {
		t.Errorf("%d lines kept in the first second, more than the limit", n)
	}
	now = now.Add(-sampleWindow)
	offer(b, &now, lines)
	keptA, reportedLeftOut := offer(a, &now, lines)
	if want := lines - count(first); reportedLeftOut != want {
		t.Errorf("%d lines reported as left out, want %d", reportedLeftOut, want)
	}
	now = now.Add(-sampleWindow)
	keptB, _ := offer(b, &now, lines)
	if n := count(keptA); n > maxRoutineLinesPerWindow || n < maxRoutineLinesPerWindow/4 {
		t.Errorf("%d lines kept in the second second, want from a quarter of the limit up to the limit", n)
	}
	for job := range keptA {
		if keptA[job] != keptB[job] {
			t.Fatalf("lines of %s: kept by one process and not by the other", job)
		}
	}
}
