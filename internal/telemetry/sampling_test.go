package telemetry

import (
	"fmt"
	"testing"
	"time"
)

// offer offers some lines of different jobs in a second and returns the jobs whose lines
// were written, and how many lines were said to have been left out.
func offer(s *sampler, now *time.Time, lines int) (kept map[string]bool, told int) {
	kept = map[string]bool{}
	for i := range lines {
		job := fmt.Sprintf("job-%d", i)
		ok, leftOut := s.admit(job)
		kept[job] = ok
		told += leftOut
	}
	*now = now.Add(sampleWindow)
	return kept, told
}

func count(kept map[string]bool) (n int) {
	for _, ok := range kept {
		if ok {
			n++
		}
	}
	return n
}

// TestLinesOfACalmProcess: below the bound every line is written.
func TestLinesOfACalmProcess(t *testing.T) {
	now := time.Unix(0, 0)
	s := newSampler(func() time.Time { return now })
	for range 3 {
		if kept, told := offer(s, &now, routineLines); count(kept) != routineLines || told != 0 {
			t.Fatalf("%d of %d lines written, %d said to be left out", count(kept), routineLines, told)
		}
	}
}

// TestLinesUnderLoad: whatever the load, the lines of a second stay within the bound;
// what was left out is told; and two processes keep the lines of the same jobs.
func TestLinesUnderLoad(t *testing.T) {
	const lines = 20 * routineLines
	now := time.Unix(0, 0)
	a, b := newSampler(func() time.Time { return now }), newSampler(func() time.Time { return now })
	first, _ := offer(a, &now, lines)
	if n := count(first); n > routineLines {
		t.Errorf("%d lines written in the first second", n)
	}
	now = now.Add(-sampleWindow)
	offer(b, &now, lines)
	keptA, told := offer(a, &now, lines)
	if want := lines - count(first); told != want {
		t.Errorf("%d lines said to be left out, want %d", told, want)
	}
	now = now.Add(-sampleWindow)
	keptB, _ := offer(b, &now, lines)
	if n := count(keptA); n > routineLines || n < routineLines/4 {
		t.Errorf("%d lines written in the second second", n)
	}
	for job := range keptA {
		if keptA[job] != keptB[job] {
			t.Fatalf("%s: kept by one process and not by the other", job)
		}
	}
}
