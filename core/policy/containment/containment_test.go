package containment

import (
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	ms = time.Millisecond
	// upstreams is the number of upstreams of the service.
	upstreams = 11
)

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
	tr.Record(0, "s", upstreams, crash([]string{"bad", "a", "b"}, []string{"old"}))
	for job, want := range map[string]Verdict{"bad": Suspect, "a": Suspect, "b": Suspect, "old": Clear, "other": Clear} {
		if got := tr.Verdict(name(job)); got != want {
			t.Errorf("verdict on %s after one crash: got %v, want %v", job, got, want)
		}
	}
	condemned := tr.Record(20*ms, "s", upstreams, crash([]string{"bad"}, []string{"a", "old"})).Condemned
	if !slices.Equal(condemned, []message.TaskName{name("bad")}) || !tr.JobCondemned("bad") || tr.JobCondemned("a") {
		t.Errorf("condemned %v, want only the task that two crashes have in common", condemned)
	}
}

// TestBystandersAreNotCondemned guards against blaming a task that was beside two crashes:
// long after its start, or as one of several that both crashes have in common.
func TestBystandersAreNotCondemned(t *testing.T) {
	tr := New()
	tr.Record(0, "s", upstreams, crash([]string{"a", "b", "x"}, []string{"old"}))
	tr.Record(20*ms, "s", upstreams, crash([]string{"a", "b", "y"}, []string{"old", "x"}))
	for _, job := range []string{"a", "b", "x", "y", "old"} {
		if got := tr.Verdict(name(job)); got == Condemned {
			t.Errorf("%s is condemned: it shares the blame with other jobs", job)
		}
	}
}

// TestCrashesAreLimited checks that a task is given up after a number of crashes whatever
// its share of the blame, as when it crashes its upstream long after its start.
func TestCrashesAreLimited(t *testing.T) {
	tr := New()
	for i := range maxCrashes {
		if tr.Verdict(name("slow")) == Condemned {
			t.Fatalf("condemned after %d crashes, want %d", i, maxCrashes)
		}
		tr.Record(time.Duration(i)*time.Second, "s", upstreams, crash([]string{string(rune('a' + i))}, []string{"slow"}))
	}
	if tr.Verdict(name("slow")) != Condemned {
		t.Errorf("not condemned after %d crashes", maxCrashes)
	}
}

// TestBlameFallsOnFormerSuspects checks that the jobs beside a former suspect are not
// blamed when its next upstream crashes.
func TestBlameFallsOnFormerSuspects(t *testing.T) {
	tr := New()
	tr.Record(0, "s", upstreams, crash([]string{"bad", "a", "b", "c"}, nil))
	condemned := tr.Record(20*ms, "s", upstreams, crash([]string{"d", "bad", "e"}, nil)).Condemned
	if !slices.Equal(condemned, []message.TaskName{name("bad")}) || tr.Verdict(name("d")) != Clear || tr.Verdict(name("e")) != Clear {
		t.Errorf("condemned %v, verdicts on the new ones %v and %v, want only the former suspect blamed", condemned, tr.Verdict(name("d")), tr.Verdict(name("e")))
	}
}

// TestCompletedTaskIsAcquitted checks that a suspect that completes is no longer one.
func TestCompletedTaskIsAcquitted(t *testing.T) {
	tr := New()
	tr.Record(0, "s", upstreams, crash([]string{"a"}, nil))
	tr.Acquit(name("a"))
	if tr.Verdict(name("a")) != Clear || tr.Active() {
		t.Error("still a suspect after it has completed")
	}
}

// TestCrashesAreForgotten checks that nothing is remembered for longer than the memory, or
// beyond its limit.
func TestCrashesAreForgotten(t *testing.T) {
	tr := New()
	tr.Record(0, "s", upstreams, crash([]string{"bad"}, nil))
	tr.Record(time.Second, "s", upstreams, crash([]string{"bad"}, nil))
	tr.Expire(memory)
	if !tr.JobCondemned("bad") {
		t.Error("forgotten too early")
	}
	tr.Expire(time.Second + memory + ms)
	if tr.JobCondemned("bad") || tr.Verdict(name("bad")) != Clear || len(tr.tasks)+len(tr.order)+len(tr.taskCount) > 0 {
		t.Errorf("not forgotten: %d tasks, %d entries", len(tr.tasks), len(tr.order))
	}
	for i := range maxTasks + 10 {
		tr.Record(time.Minute, "s", upstreams, &message.Crash{Runs: []message.CrashedRun{{Task: message.TaskName{Job: "j", Index: i}}}})
	}
	if len(tr.tasks) > maxTasks {
		t.Errorf("%d tasks are remembered, want at most %d", len(tr.tasks), maxTasks)
	}
}

// TestRouteIsConfinedWhileItsTasksCrashUpstreams checks that a route is confined from the
// second job of it that crashes an upstream until none has for a while, and that one such
// job does not confine it.
func TestRouteIsConfinedWhileItsTasksCrashUpstreams(t *testing.T) {
	tr := New()
	tr.Record(0, "s", upstreams, crash([]string{"bad"}, nil))
	if confined := tr.Record(20*ms, "s", upstreams, crash([]string{"bad"}, nil)).Confined; len(confined) > 0 || tr.RouteConfined(20*ms, "r") {
		t.Error("confined after the crashes of one job")
	}
	other := &message.Crash{Runs: []message.CrashedRun{
		{Task: name("x"), Route: "other"}, {Task: name("y"), Route: "other"}, {Task: name("z"), Route: "r"},
	}}
	if confined := tr.Record(200*ms, "s", upstreams, other).Confined; len(confined) > 0 {
		t.Errorf("confined %v after a crash that other routes get most of the blame for", confined)
	}
	if confined := tr.Record(300*ms, "s", upstreams, crash([]string{"next"}, nil)).Confined; !slices.Equal(confined, []string{"r"}) {
		t.Errorf("confined %v, want the route of both jobs", confined)
	}
	if !tr.RouteConfined(time.Second, "r") || !tr.ServiceConfined(time.Second, "s") || tr.RouteConfined(time.Second, "other") || tr.ServiceConfined(time.Second, "other") {
		t.Error("want the route and the service of the jobs confined, and no others")
	}
	tr.Record(5*time.Second, "s", upstreams, crash([]string{"third"}, nil))
	tr.Record(9*time.Second, "s", upstreams, &message.Crash{Runs: []message.CrashedRun{{Task: name("x1"), Route: "other"}}})
	at := 5*time.Second + confinement
	if !tr.RouteConfined(at-ms, "r") || tr.RouteConfined(at, "r") {
		t.Error("want the route confined until some time after the last crash that it is blamed for")
	}
	if released := tr.Expire(at); !slices.Equal(released, []string{"r"}) {
		t.Errorf("released %v, want the route", released)
	}
}

// TestCrashesFromOutsideConfineNothing guards against confining a route because its tasks
// were often the last to be started on upstreams that crashed for another reason.
func TestCrashesFromOutsideConfineNothing(t *testing.T) {
	tr := New()
	for i := range 8 {
		f := tr.Record(time.Duration(i)*time.Second, "s", upstreams, crash([]string{string(rune('a' + i))}, nil))
		if len(f.Confined) > 0 {
			t.Fatalf("route %v is confined after %d crashes, none of whose suspects was started again in vain", f.Confined, i+1)
		}
	}
}

// TestMassCrashesBlameNoTask guards against condemned tasks and confined routes after two
// waves, a second apart, in which many upstreams crash at once. A task that moves through
// upstreams which crash one after the other is condemned all the same.
func TestMassCrashesBlameNoTask(t *testing.T) {
	tr := New()
	for wave := range 2 {
		at := time.Duration(wave) * time.Second
		for i := range 4 {
			f := tr.Record(at+time.Duration(i)*ms, "s", upstreams, crash([]string{string(rune('a' + i))}, nil))
			if len(f.Condemned)+len(f.Confined) > 0 {
				t.Errorf("wave %d, crash %d: condemned %v, confined %v, want none", wave, i, f.Condemned, f.Confined)
			}
		}
	}
	if tr.Verdict(name("d")) == Condemned || tr.RouteConfined(2*time.Second, "r") {
		t.Error("blamed after two waves of crashes")
	}
	tr = New()
	for i := range 4 {
		tr.Record(time.Duration(12*i)*ms, "s", upstreams, crash([]string{"bad", string(rune('a' + i))}, nil))
	}
	if tr.Verdict(name("bad")) != Condemned {
		t.Error("a task that crashes one upstream after the other is not condemned")
	}
}

// TestOldCrashesAreNoMassEvent guards against tasks that are cleared at a dispatcher which has
// just started, since it learns of the crashes of the last seconds all at once.
func TestOldCrashesAreNoMassEvent(t *testing.T) {
	tr := New()
	for i := range 8 {
		x := crash([]string{string(rune('a' + i))}, nil)
		x.Age = time.Duration(i) * 300 * ms
		if f := tr.Record(10*time.Second, "s", upstreams, x); len(f.Cleared) > 0 {
			t.Errorf("%v are cleared, although the crashes were %v apart", f.Cleared, 300*ms)
		}
	}
}

// TestMassEventOfLargeService checks that a few of many upstreams are no mass event.
func TestMassEventOfLargeService(t *testing.T) {
	tr := New()
	for i := range massCrashes {
		if f := tr.Record(time.Duration(i)*ms, "s", 920, crash([]string{string(rune('a' + i))}, nil)); len(f.Cleared) > 0 {
			t.Errorf("%v are cleared after %d crashes of 920 upstreams", f.Cleared, i+1)
		}
	}
}

// TestClearedTaskLeavesOtherCondemnations guards against a mass event that lifts the
// condemnation of another task of the job, which earlier crashes have shown.
func TestClearedTaskLeavesOtherCondemnations(t *testing.T) {
	tr := New()
	for i := range 2 {
		tr.Record(time.Duration(i)*200*ms, "s", upstreams, crash([]string{"bad"}, nil))
	}
	other := message.TaskName{Job: "bad", Index: 1}
	tr.Record(400*ms, "s", upstreams, &message.Crash{Runs: []message.CrashedRun{{Task: other, Route: "r"}}})
	for i := range 4 {
		x := &message.Crash{Runs: []message.CrashedRun{{Task: name(string(rune('a' + i))), Route: "r"}}}
		if i == 0 {
			x.Runs[0].Task = other
		}
		tr.Record(time.Second+time.Duration(i)*ms, "s", upstreams, x)
	}
	if tr.Verdict(other) == Condemned || !tr.JobCondemned("bad") || tr.condemnedJobsOf("r") != 1 {
		t.Errorf("condemned jobs of the route: got %d, want the one that crashed two upstreams before", tr.condemnedJobsOf("r"))
	}
}
