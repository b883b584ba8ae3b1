package containment

import (
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const ms = time.Millisecond

func name(job string) message.TaskName { return message.TaskName{Job: job} }

// crash returns a crash with a run of the first task of each job, all of route "r". The runs
// of fresh jobs were started 10 ms before it, those of old jobs a second before.
func crash(fresh, old []string) *message.Crash {
	x := &message.Crash{}
	for _, j := range fresh {
		x.Runs = append(x.Runs, message.CrashedRun{Task: name(j), Route: "r", Age: 10 * ms})
	}
	for _, j := range old {
		x.Runs = append(x.Runs, message.CrashedRun{Task: name(j), Route: "r", Age: time.Second})
	}
	return x
}

// TestTaskIsCondemnedByTwoCrashes checks that the task that two crashes have in common is
// given up, and no other one.
func TestTaskIsCondemnedByTwoCrashes(t *testing.T) {
	tr := New()
	tr.Record(0, crash([]string{"bad", "a", "b"}, []string{"old"}))
	for job, want := range map[string]Verdict{"bad": Suspect, "a": Suspect, "b": Suspect, "old": Clear, "other": Clear} {
		if got := tr.Verdict(name(job)); got != want {
			t.Errorf("verdict on %s after one crash: got %v, want %v", job, got, want)
		}
	}
	condemned := tr.Record(20*ms, crash([]string{"bad"}, []string{"a", "old"}))
	if !slices.Equal(condemned, []message.TaskName{name("bad")}) || !tr.JobCondemned("bad") || tr.JobCondemned("a") {
		t.Errorf("condemned %v, want only the task that two crashes have in common", condemned)
	}
}

// TestBystandersAreNotCondemned guards against blaming a task that was beside two crashes,
// as one of several suspects or long after its start.
func TestBystandersAreNotCondemned(t *testing.T) {
	tr := New()
	tr.Record(0, crash([]string{"a", "b"}, []string{"old"}))
	tr.Record(20*ms, crash([]string{"a", "c"}, []string{"old", "b"}))
	for _, job := range []string{"a", "b", "c", "old"} {
		if got := tr.Verdict(name(job)); got == Condemned {
			t.Errorf("%s is condemned: it shares the blame with other jobs", job)
		}
	}
}

// TestThreeCrashesAreTheLimit checks that a task is given up after three crashes whatever
// its share of the blame, as when the task crashes its upstream long after its start.
func TestThreeCrashesAreTheLimit(t *testing.T) {
	tr := New()
	others := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for i := range 3 {
		if tr.Verdict(name("slow")) == Condemned {
			t.Fatalf("condemned after %d crashes", i)
		}
		tr.Record(time.Duration(i)*time.Second, crash(nil, []string{"slow", others[2*i], others[2*i+1]}))
	}
	if tr.Verdict(name("slow")) != Condemned {
		t.Error("not condemned after three crashes")
	}
}

// TestCompletedTaskIsAcquitted checks that a suspect that completes is no longer one.
func TestCompletedTaskIsAcquitted(t *testing.T) {
	tr := New()
	tr.Record(0, crash([]string{"a"}, nil))
	tr.Acquit(name("a"))
	if tr.Verdict(name("a")) != Clear || tr.Active() {
		t.Error("still a suspect after it has completed")
	}
}

// TestCrashesAreForgotten checks that nothing is remembered for longer than the memory, or
// beyond its limit.
func TestCrashesAreForgotten(t *testing.T) {
	tr := New()
	tr.Record(0, crash([]string{"bad"}, nil))
	tr.Record(time.Second, crash([]string{"bad"}, nil))
	tr.Expire(memory)
	if !tr.JobCondemned("bad") {
		t.Error("forgotten too early")
	}
	tr.Expire(time.Second + memory + ms)
	if tr.JobCondemned("bad") || tr.Verdict(name("bad")) != Clear || len(tr.tasks)+len(tr.order) > 0 {
		t.Errorf("not forgotten: %d tasks, %d entries", len(tr.tasks), len(tr.order))
	}
	for i := range maxTasks + 10 {
		tr.Record(time.Minute, &message.Crash{Runs: []message.CrashedRun{{Task: message.TaskName{Job: "j", Index: i}}}})
	}
	if len(tr.tasks) > maxTasks {
		t.Errorf("%d tasks are remembered, want at most %d", len(tr.tasks), maxTasks)
	}
}
