package quarantine

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// init fixes the seed of the randomized tests; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func fleet(n int) []node.ID {
	out := make([]node.ID, n)
	for i := range out {
		out[i] = node.ID("w" + strconv.Itoa(i))
	}
	return out
}

func detector(workers int) *Detector {
	d := New()
	d.SetWorkers(0, fleet(workers))
	return d
}

// failAll records n failures of different jobs on a worker.
func failAll(d *Detector, now time.Duration, worker node.ID, n int) {
	for i := range n {
		d.Observe(now, worker, string(worker)+"/job"+strconv.Itoa(i), true)
	}
}

func quarantined(d *Detector, now time.Duration, workers int) int {
	n := 0
	for _, id := range fleet(workers) {
		if d.Quarantined(now, id) {
			n++
		}
	}
	return n
}

func TestQuarantine(t *testing.T) {
	tests := []struct {
		name  string
		setup func(d *Detector)
		want  bool
	}{
		{"no evidence", func(*Detector) {}, false},
		{"fails many jobs", func(d *Detector) { failAll(d, 0, "w0", minFailures) }, true},
		{"too few failures", func(d *Detector) { failAll(d, 0, "w0", minFailures-1) }, false},
		{"fails one job only", func(d *Detector) {
			for range 100 {
				d.Observe(0, "w0", "bad", true)
			}
		}, false},
		{"a success between the failures", func(d *Detector) {
			failAll(d, 0, "w0", minFailures-1)
			d.Observe(0, "w0", "good", false)
			failAll(d, 0, "w0", minFailures-1)
		}, false},
		{"jobs that fail elsewhere", func(d *Detector) {
			for i := range 20 {
				d.Observe(0, "w1", "bad"+strconv.Itoa(i), true)
				d.Observe(0, "w1", "good"+strconv.Itoa(i), false)
				d.Observe(0, "w2", "bad"+strconv.Itoa(i), true)
				d.Observe(0, "w2", "good"+strconv.Itoa(i), false)
				d.Observe(0, "w0", "bad"+strconv.Itoa(i), true)
			}
		}, false},
		{"a job that succeeded elsewhere", func(d *Detector) {
			d.Observe(0, "w1", "job", false)
			failAll(d, 0, "w0", minFailures)
		}, true},
		{"a job that fails on two workers after a success", func(d *Detector) {
			for i := range 3 * minFailures {
				d.Observe(0, "w1", "job"+strconv.Itoa(i), false)
				d.Observe(0, "w2", "job"+strconv.Itoa(i), true)
				d.Observe(0, "w2", "fine"+strconv.Itoa(i), false)
				d.Observe(0, "w0", "job"+strconv.Itoa(i), true)
			}
		}, true},
		{"all others fail half of the time", func(d *Detector) {
			for i := range 200 {
				d.Observe(0, node.ID("w"+strconv.Itoa(1+i%10)), "x"+strconv.Itoa(i), i/10%2 == 0)
			}
			failAll(d, 0, "w0", minFailures)
		}, false},
		{"unknown worker", func(d *Detector) { failAll(d, 0, "w99", 50) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := detector(11)
			tt.setup(d)
			if got := d.Quarantined(time.Millisecond, "w0"); got != tt.want {
				t.Errorf("worker w0 quarantined: %v, want %v", got, tt.want)
			}
			if n := quarantined(d, time.Millisecond, 11); n > 1 || n == 1 && !tt.want {
				t.Errorf("%d workers are quarantined, want none but w0", n)
			}
		})
	}
}

func TestOldFailuresAreNoEvidence(t *testing.T) {
	d := detector(11)
	failAll(d, 0, "w0", minFailures-1)
	d.Observe(maxAge+1, "w0", "late", true)
	if d.Quarantined(maxAge+1, "w0") {
		t.Error("quarantined because of failures older than maxAge")
	}
}

func TestProbation(t *testing.T) {
	d := detector(11)
	failAll(d, 0, "w0", minFailures)
	now := firstQuarantine
	if d.TrialAllowed(now-1, "w0") || !d.Quarantined(now-1, "w0") {
		t.Fatal("on probation before the quarantine has ended")
	}
	if !d.TrialAllowed(now, "w0") || d.Quarantined(now, "w0") {
		t.Fatal("not on probation after the quarantine has ended")
	}
	d.RecordSent(now, "w0")
	if d.TrialAllowed(now, "w0") || !d.Quarantined(now, "w0") {
		t.Fatal("a second trial task is allowed before the outcome of the first")
	}
	d.Observe(now, "w0", "trial", true)
	if !d.Quarantined(now+2*firstQuarantine-1, "w0") || d.Quarantined(now+2*firstQuarantine, "w0") {
		t.Error("the second quarantine is not twice the first")
	}
	now += 2 * firstQuarantine
	for i := range trialsNeeded {
		if !d.TrialAllowed(now, "w0") {
			t.Fatalf("trial %d is not allowed", i)
		}
		d.RecordSent(now, "w0")
		d.Observe(now, "w0", "good"+strconv.Itoa(i), false)
	}
	if d.TrialAllowed(now, "w0") || d.Quarantined(now, "w0") {
		t.Error("still quarantined or on probation after trialsNeeded successful trials")
	}
}

func TestLostTrialDoesNotBlock(t *testing.T) {
	d := detector(11)
	failAll(d, 0, "w0", minFailures)
	d.RecordSent(firstQuarantine, "w0")
	if !d.TrialAllowed(firstQuarantine+trialTimeout, "w0") {
		t.Error("no trial is allowed trialTimeout after one without an outcome")
	}
}

func TestReportsFailing(t *testing.T) {
	d := detector(3)
	d.SetReportsFailing("w0", true)
	d.SetReportsFailing("w1", true)
	if !d.Quarantined(0, "w0") || d.Quarantined(0, "w1") {
		t.Error("two of three workers report themselves failing: want only w0 quarantined, by the limit of a third")
	}
	d.SetReportsFailing("w0", false)
	if d.Quarantined(0, "w0") || !d.Quarantined(0, "w1") {
		t.Error("w0 no longer reports itself failing: want only w1 quarantined")
	}
}

func TestJobVerdict(t *testing.T) {
	d := detector(11)
	d.Observe(0, "w0", "bad", true)
	if got := d.JobVerdict("bad"); got != JobUnclear {
		t.Errorf("verdict is %v after a failure on one worker, want JobUnclear", got)
	}
	d.Observe(0, "w1", "bad", true)
	if got := d.JobVerdict("bad"); got != JobFailing {
		t.Errorf("verdict is %v after failures on two workers, want JobFailing", got)
	}
	d.Observe(0, "w2", "bad", false)
	if got := d.JobVerdict("bad"); got != JobHealthy {
		t.Errorf("verdict is %v after failures and a success, want JobHealthy", got)
	}
	d.Observe(0, "w2", "good", false)
	if got := d.JobVerdict("good"); got != JobHealthy {
		t.Errorf("verdict is %v after a success without failures, want JobHealthy", got)
	}
}

// TestBadJobsNeverEmptyTheFleet lets random jobs fail on random workers. It checks
// that the quarantined workers stay within the limit, are never all workers, and
// that fewer than minJobs jobs never cause a quarantine.
func TestBadJobsNeverEmptyTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "workers")
		jobCount := rapid.IntRange(1, 30).Draw(t, "jobs")
		d := detector(n)
		now := time.Duration(0)
		for range rapid.IntRange(0, 400).Draw(t, "outcomes") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			w := rapid.SampledFrom(fleet(n)).Draw(t, "worker")
			k := rapid.IntRange(0, jobCount-1).Draw(t, "job")
			d.Observe(now, w, strconv.Itoa(k), rapid.IntRange(0, 9).Draw(t, "outcome") > 0)
			got := quarantined(d, now, n)
			if got > 0 && (jobCount < minJobs || got > max(1, n/maxShare) || got == n) {
				t.Fatalf("%d of %d workers are quarantined with %d jobs, more than allowed", got, n, jobCount)
			}
		}
	})
}

// TestBlackHole sends tasks to workers of which one fails every task, and checks
// that the quarantine keeps the failed tasks below one percent.
func TestBlackHole(t *testing.T) {
	const workers, tasks, gap = 11, 4000, 5 * time.Millisecond
	d := detector(workers)
	ids := fleet(workers)
	lost := 0
	for i := range tasks {
		now := time.Duration(i) * gap
		w := ids[i%workers]
		if d.Quarantined(now, w) {
			w = ids[(i+1)%workers]
		}
		d.RecordSent(now, w)
		failed := w == ids[3]
		if failed {
			lost++
		}
		d.Observe(now, w, strconv.Itoa(i), failed)
	}
	if lost*100 >= tasks {
		t.Errorf("%d of %d tasks failed on the failing worker, want less than one percent", lost, tasks)
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{11, 110, 920} {
		b.Run("workers="+strconv.Itoa(n), func(b *testing.B) {
			d, ids := detector(n), fleet(n)
			keys := make([]string, 1000)
			for i := range keys {
				keys[i] = strconv.Itoa(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Microsecond
				d.Observe(now, ids[i%n], keys[i%len(keys)], i%20 == 0)
				d.Quarantined(now, ids[i%n])
			}
		})
	}
}
