package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/executor"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/quarantine"
)

// permitAll lets every task start.
type permitAll struct{}

func (permitAll) Permit(now clock.Now, _ *message.Start, _ executor.Target) (message.RefuseReason, time.Duration) {
	return "", now.Mono + time.Second
}

// othersFree is true if another executor has a free slot.
type othersFree bool

func (e *othersFree) HaveFreeSlot(clock.Now, *message.Start) bool { return bool(*e) }

// testExecutor is an executor with one upstream, a clock and the output of its calls.
type testExecutor struct {
	core *executor.Core
	now  clock.Now
	home node.Ref
	seq  uint64
	out  executor.Output

	othersFree othersFree
}

func newTestExecutor(slots int, workers ...node.ID) *testExecutor {
	faults := quarantine.New()
	faults.SetWorkers(0, workers)
	x := &testExecutor{home: node.Ref{ID: "h", Incarnation: 1}}
	x.core = executor.New(executor.Config{
		QueueLimit: 16, ReservedSlots: 1, ResultRetention: time.Minute, Self: "x", Faults: faults,
		OtherExecutors: &x.othersFree, Gate: permitAll{}, Invariants: &invariant.Recorder{Panic: true},
	})
	x.core.Announce(x.now, executor.Announcement{Name: "u", Slots: slots, Connections: slots, TTL: time.Hour}, &x.out)
	return x
}

// start sends one task of a new job. It returns the refusal, or nil.
func (x *testExecutor) start(class job.Class) *message.Refused {
	x.seq++
	x.out = executor.Output{}
	x.core.Start(x.now, x.home, &message.Start{
		Seq: x.seq, Floor: 1, ID: job.ID(fmt.Sprintf("job-%d", x.seq)), Attempt: 1, Class: class,
		Timeout: time.Minute, SentAt: x.now.Wall,
	}, &x.out)
	if len(x.out.Replies) == 0 {
		return nil
	}
	return x.out.Replies[0].Message.Refused
}

// run sends one task and, if it starts, completes it in this state. It reports
// whether the task started.
func (x *testExecutor) run(state job.TaskState) bool {
	if x.start(job.Urgent) != nil || len(x.out.Commands) == 0 {
		return false
	}
	x.core.TaskCompleted(x.now, x.out.Commands[0].Handle, state, nil, "", &x.out)
	return true
}

// failTimes sends n tasks, of n jobs, and reports a failure of each.
func (x *testExecutor) failTimes(n int) {
	for range n {
		x.run(job.Failed)
	}
}

// TestFailingWorkerRefuses guards against a faulty worker that keeps getting tasks
// because it fails them fast: in quarantine, the executor refuses new tasks.
func TestFailingWorkerRefuses(t *testing.T) {
	x := newTestExecutor(2, "x", "y", "z")
	x.failTimes(5)
	if !x.core.Quarantined(x.now) {
		t.Fatal("not in quarantine after five failures of five jobs")
	}
	refused := x.start(job.Urgent)
	if refused == nil || refused.Reason != message.RefusedBusy {
		t.Errorf("in quarantine: got refusal %+v, want one with reason busy", refused)
	}
}

// TestFailingWorkerRefusesWaitingTasks checks that a task which waits when the worker
// enters quarantine is refused, so that it neither starts there nor waits on.
func TestFailingWorkerRefusesWaitingTasks(t *testing.T) {
	x := newTestExecutor(1, "x", "y", "z")
	x.failTimes(4)
	if x.start(job.Urgent) != nil {
		t.Fatal("the first task was refused before the quarantine")
	}
	handle := x.out.Commands[0].Handle
	if x.start(job.Urgent) != nil {
		t.Fatal("the second task was refused, want it to wait for a slot")
	}
	x.out = executor.Output{}
	x.core.TaskCompleted(x.now, handle, job.Failed, nil, "", &x.out)
	if len(x.out.Commands) != 0 {
		t.Error("a task started in quarantine")
	}
	if n := len(x.out.Replies); n != 2 || x.out.Replies[1].Message.Refused == nil {
		t.Errorf("got replies %+v, want a result and then a refusal", x.out.Replies)
	}
}

// TestProbationOfFailingWorker checks that, after its quarantine, a worker gets one
// trial task at a time, and any number of tasks after three successful trials.
func TestProbationOfFailingWorker(t *testing.T) {
	x := newTestExecutor(2, "x", "y", "z")
	x.failTimes(5)
	x.now.Mono += 3 * time.Second
	if refused := x.start(job.Urgent); refused != nil {
		t.Fatalf("the trial task: got refusal %+v, want none", refused)
	}
	handle := x.out.Commands[0].Handle
	if x.start(job.Urgent) == nil {
		t.Error("a second task was accepted during the trial")
	}
	x.core.TaskCompleted(x.now, handle, job.Done, nil, "", &x.out)
	for range 2 {
		if !x.run(job.Done) {
			t.Fatal("a trial task was refused on probation")
		}
	}
	for range 2 {
		if x.start(job.Urgent) != nil {
			t.Error("a task was refused after three successful trials")
		}
	}
}

// TestOnlyWorkerIsNeverInQuarantine guards against a quarantine that leaves no worker
// at all.
func TestOnlyWorkerIsNeverInQuarantine(t *testing.T) {
	x := newTestExecutor(2, "x")
	x.failTimes(20)
	if !x.run(job.Done) {
		t.Error("the only worker refused a task after 20 failures")
	}
}
