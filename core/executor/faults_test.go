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
	b := &testExecutor{home: node.Ref{ID: "h", Incarnation: 1}}
	b.core = executor.New(executor.Config{
		QueueLimit: 16, ReservedSlots: 1, ResultRetention: time.Minute, Self: "x", Faults: faults,
		OtherExecutors: &b.othersFree, Gate: permitAll{}, Invariants: &invariant.Recorder{Panic: true},
	})
	b.core.Announce(b.now, executor.Announcement{Name: "u", Slots: slots, Connections: slots, TTL: time.Hour}, &b.out)
	return b
}

// start sends one task of a new job. It returns the refusal, or nil.
func (b *testExecutor) start(class job.Class) *message.Refused {
	b.seq++
	b.out = executor.Output{}
	b.core.Start(b.now, b.home, &message.Start{
		Seq: b.seq, Floor: 1, ID: job.ID(fmt.Sprintf("job-%d", b.seq)), Attempt: 1, Class: class,
		Timeout: time.Minute, SentAt: b.now.Wall,
	}, &b.out)
	if len(b.out.Replies) == 0 {
		return nil
	}
	return b.out.Replies[0].Message.Refused
}

// run sends one task and, if it starts, completes it in this state. It reports
// whether the task started.
func (b *testExecutor) run(state job.TaskState) bool {
	if b.start(job.Urgent) != nil || len(b.out.Commands) == 0 {
		return false
	}
	b.core.TaskCompleted(b.now, b.out.Commands[0].Handle, state, nil, "", &b.out)
	return true
}

// failTimes sends n tasks, of n jobs, and reports a failure of each.
func (b *testExecutor) failTimes(n int) {
	for range n {
		b.run(job.Failed)
	}
}

// TestFailingWorkerRefuses guards against a faulty worker that keeps getting tasks
// because it fails them fast: in quarantine, the executor refuses new tasks.
func TestFailingWorkerRefuses(t *testing.T) {
	b := newTestExecutor(2, "x", "y", "z")
	b.failTimes(5)
	if !b.core.Quarantined(b.now) {
		t.Fatal("not in quarantine after five failures of five jobs")
	}
	refused := b.start(job.Urgent)
	if refused == nil || refused.Reason != message.RefusedBusy {
		t.Errorf("in quarantine: got refusal %+v, want one with reason busy", refused)
	}
}

// TestFailingWorkerRefusesWaitingTasks checks that a task which waits when the worker
// enters quarantine is refused, so that it neither starts there nor waits on.
func TestFailingWorkerRefusesWaitingTasks(t *testing.T) {
	b := newTestExecutor(1, "x", "y", "z")
	b.failTimes(4)
	if b.start(job.Urgent) != nil {
		t.Fatal("the first task was refused before the quarantine")
	}
	handle := b.out.Commands[0].Handle
	if b.start(job.Urgent) != nil {
		t.Fatal("the second task was refused, want it to wait for a slot")
	}
	b.out = executor.Output{}
	b.core.TaskCompleted(b.now, handle, job.Failed, nil, "", &b.out)
	if len(b.out.Commands) != 0 {
		t.Error("a task started in quarantine")
	}
	if n := len(b.out.Replies); n != 2 || b.out.Replies[1].Message.Refused == nil {
		t.Errorf("got replies %+v, want a result and then a refusal", b.out.Replies)
	}
}

// TestProbationOfFailingWorker checks that, after its quarantine, a worker gets one
// trial task at a time, and any number of tasks after three successful trials.
func TestProbationOfFailingWorker(t *testing.T) {
	b := newTestExecutor(2, "x", "y", "z")
	b.failTimes(5)
	b.now.Mono += 3 * time.Second
	if refused := b.start(job.Urgent); refused != nil {
		t.Fatalf("the trial task: got refusal %+v, want none", refused)
	}
	handle := b.out.Commands[0].Handle
	if b.start(job.Urgent) == nil {
		t.Error("a second task was accepted during the trial")
	}
	b.core.TaskCompleted(b.now, handle, job.Done, nil, "", &b.out)
	for range 2 {
		if !b.run(job.Done) {
			t.Fatal("a trial task was refused on probation")
		}
	}
	for range 2 {
		if b.start(job.Urgent) != nil {
			t.Error("a task was refused after three successful trials")
		}
	}
}

// TestOnlyWorkerIsNeverInQuarantine guards against a quarantine that leaves no worker
// at all.
func TestOnlyWorkerIsNeverInQuarantine(t *testing.T) {
	b := newTestExecutor(2, "x")
	b.failTimes(20)
	if !b.run(job.Done) {
		t.Error("the only worker refused a task after 20 failures")
	}
}
