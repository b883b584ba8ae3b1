package lessee

import (
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// crashedJobs returns the jobs of the runs in the crashes that the last heartbeat to d
// reported.
func (b *testBed) crashedJobs(d node.Ref) []string {
	var jobs []string
	for _, x := range b.heartbeats[d.ID].Crashes {
		for _, r := range x.Runs {
			jobs = append(jobs, r.Task.Job)
		}
	}
	return jobs
}

// refuseUntilLeaseExpires lets the upstream's port refuse connections until no run there can be
// alive.
func (b *testBed) refuseUntilLeaseExpires() {
	b.drive(lease.UpstreamExpiry+time.Millisecond, refusePoll)
}

// TestCrashIsReportedToAllUntilAcknowledged guards against a crash that only the dispatcher
// of the lost runs learns of, and against one whose report was lost.
func TestCrashIsReportedToAllUntilAcknowledged(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "old")
	b.now += 200 * time.Millisecond
	b.heartbeat(d0)
	b.startRun(d0, "new")
	b.now += 10 * time.Millisecond
	b.refuseUntilLeaseExpires()
	want := []string{"new", "old"}
	if got := [2][]string{b.crashedJobs(d0), b.crashedJobs(d1)}; !slices.Equal(got[0], want) || !slices.Equal(got[1], want) {
		t.Fatalf("the crash was reported with the runs of %q, want %q in both, the last started first", got, want)
	}
	if e := b.lastCompletion(); e.Result != message.RunLost || e.Reason != message.LostUpstreamCrashed {
		t.Errorf("got completion %+v, want it lost to the crash", e)
	}
	b.step(received(d1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, KnownCrash: 1}}))
	b.now += 200 * time.Millisecond
	b.step(received(d0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, WantReply: true}}))
	b.step(received(d1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, WantReply: true, KnownCrash: 1}}))
	if len(b.crashedJobs(d0)) == 0 || len(b.crashedJobs(d1)) != 0 {
		t.Errorf("reported again to %q and %q, want only the dispatcher that has not acknowledged it", b.crashedJobs(d0), b.crashedJobs(d1))
	}
	b.now += crashRetention + time.Second
	b.step(received(node.Ref{ID: "d2", Incarnation: 1}, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now}}))
	if hb := b.heartbeats["d2"]; len(hb.Crashes) != 0 {
		t.Errorf("a new dispatcher got a crash that is older than %v: %+v", crashRetention, hb.Crashes)
	}
}

// TestPlannedEndIsNoCrash guards against blaming tasks for an upstream that leaves.
func TestPlannedEndIsNoCrash(t *testing.T) {
	for name, end := range map[string]func(b *testBed){
		"withdrawn": func(b *testBed) {
			b.step(Withdrawn{ID: "u"})
			b.refuseUntilLeaseExpires()
		},
		"drained": func(b *testBed) {
			b.announce(1, 2, true)
			b.refuseUntilLeaseExpires()
		},
	} {
		b := newTestBed(t)
		b.open()
		b.startRun(d0, "j")
		end(b)
		if got := b.crashedJobs(d0); len(got) != 0 || b.lastCompletion().Result != message.RunLost || b.lastCompletion().Reason != "" {
			t.Errorf("%s: crash of %q and completion %+v, want no crash and a lost run", name, got, b.lastCompletion())
		}
	}
}

// TestCrashAgesOfUnresponsiveUpstream guards against counting the time until a crash was
// noticed as the age of a run: the one that was started last would not stand out.
func TestCrashAgesOfUnresponsiveUpstream(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "old")
	b.now += 300 * time.Millisecond
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: message.TaskName{Job: "old"}, RunNumber: 1}}})
	b.heartbeat(d0)
	b.startRun(d0, "new")
	for range 40 {
		b.now += 50 * time.Millisecond
		b.heartbeat(d0)
		if e := b.lastCompletion(); e.Result != "" {
			break
		}
	}
	crashes := b.heartbeats[d0.ID].Crashes
	if len(crashes) != 1 || len(crashes[0].Runs) != 2 {
		t.Fatalf("got crashes %+v, want one with two runs", crashes)
	}
	if runs := crashes[0].Runs; runs[0].Task.Job != "new" || runs[0].Age != 0 || runs[1].Age != 300*time.Millisecond {
		t.Errorf("got ages %+v, want those at the last answer", runs)
	}
}

// TestNothingStartsRightAfterAnAloneTask guards against a crash for which either of two
// tasks, offered by two dispatchers, could be to blame.
func TestNothingStartsRightAfterAnAloneTask(t *testing.T) {
	b := newTestBed(t)
	b.open()
	offer := func(d node.Ref, job string, isolation message.Isolation) message.RefuseReason {
		b.seq++
		b.step(received(d, message.Message{Offer: &message.Offer{
			Seq: b.seq, Task: message.TaskName{Job: job, Index: int(b.seq)}, RunNumber: 1, Service: "s",
			Demand: message.Resources{MilliCPU: 100}, EchoedTimestamp: b.now, Isolation: isolation,
		}}))
		if e := b.lastCompletion(); e.Seq == b.seq {
			return e.Reason
		}
		return ""
	}
	if got := offer(d0, "bad", message.Alone); got != "" {
		t.Fatalf("refused with %q on an idle upstream", got)
	}
	if got := offer(d0, "bad", message.Alone); got != "" {
		t.Errorf("refused another task of the same job with %q", got)
	}
	for _, isolation := range []message.Isolation{message.NotIsolated, message.Isolated, message.Alone} {
		if got := offer(d1, "other", isolation); got != message.RefusedProving {
			t.Errorf("offer with isolation %v right after a task that started alone: got %q, want %q", isolation, got, message.RefusedProving)
		}
	}
	b.now += 200 * time.Millisecond
	b.heartbeat(d0)
	if got := offer(d1, "other", message.Isolated); got != "" {
		t.Errorf("refused with %q long after the task that started alone", got)
	}
	if got := offer(d0, "bad2", message.Alone); got != message.RefusedProving {
		t.Errorf("a task that must start alone right after an isolated one: got %q, want %q", got, message.RefusedProving)
	}
}

// TestShrunkCapacity checks that nothing starts above a capacity that has shrunk while runs
// that fitted before go on, and that tasks start again once it has grown.
func TestShrunkCapacity(t *testing.T) {
	b := newTestBed(t)
	b.open() // with capacity for two tasks
	announce := func(seq int64, milliCPU int) {
		b.step(Announced{Announcement: Announcement{
			ID: "u", Incarnation: 1, Seq: seq, Clock: b.now, Service: "s", Domain: "z0", Capacity: message.Resources{MilliCPU: milliCPU},
		}})
	}
	b.startRun(d0, "a")
	announce(2, 500)
	b.offer(d0, "b")
	if e := b.lastCompletion(); e.Result != message.RunRefused || e.Reason != message.RefusedNoCapacity {
		t.Errorf("offer above the shrunk capacity: got %+v, want it refused for lack of capacity", e)
	}
	if e := b.lastCompletion(); e.Capacity == nil || e.Capacity.Info == nil || e.Capacity.Info.Capacity.MilliCPU != 500 {
		t.Errorf("the refusal reports %+v, want the shrunk capacity", e.Capacity)
	}
	announce(3, 2000)
	starts := len(b.starts)
	b.offer(d0, "c")
	if len(b.starts) != starts+1 {
		t.Error("nothing started after the capacity had grown again")
	}
}

// TestOwnPauseIsNoCrash guards against blaming tasks for runs that lapsed while the agent
// itself was paused.
func TestOwnPauseIsNoCrash(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "j")
	b.now += 50 * time.Millisecond
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: message.TaskName{Job: "j"}, RunNumber: 1}}})
	b.now += 5 * time.Second
	b.step(step.Tick{})
	if got := b.crashedJobs(d0); len(got) != 0 || b.lastCompletion().Result != message.RunLost || b.lastCompletion().Reason != "" {
		t.Errorf("crash of %q and completion %+v after a pause, want no crash and a lost run", got, b.lastCompletion())
	}
}
