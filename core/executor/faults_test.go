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

func (permitAll) Permit(now clock.Now, _ *message.Start, _ executor.Place) (message.RefuseReason, time.Duration) {
	return "", now.Mono + time.Second
}

// elsewhere says whether another executor has a free slot.
type elsewhere bool

func (e *elsewhere) FreeElsewhere(clock.Now, *message.Start) bool { return bool(*e) }

// bench drives an executor with one upstream.
type bench struct {
	core *executor.Core
	now  clock.Now
	home node.Ref
	seq  uint64
	out  executor.Output

	elsewhere elsewhere
}

func newBench(slots int, workers ...node.ID) *bench {
	faults := quarantine.New()
	faults.SetWorkers(0, workers)
	b := &bench{home: node.Ref{ID: "h", Incarnation: 1}}
	b.core = executor.New(executor.Config{
		QueueLimit: 16, ReservedSlots: 1, RetainIdle: time.Minute, Self: "x", Faults: faults,
		Elsewhere: &b.elsewhere, Gate: permitAll{}, Invariants: &invariant.Recorder{Panic: true},
	})
	b.core.Announce(b.now, executor.Announcement{Name: "u", Slots: slots, Connections: slots, TTL: time.Hour}, &b.out)
	return b
}

// start offers one task of a job of its own and returns the refusal, if any.
func (b *bench) start(class job.Class) *message.Refused {
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

// run offers one task and ends it in state. It reports whether it was started.
func (b *bench) run(state job.TaskState) bool {
	if b.start(job.Urgent) != nil || len(b.out.Commands) == 0 {
		return false
	}
	b.core.TaskEnded(b.now, b.out.Commands[0].Handle, state, nil, "", &b.out)
	return true
}

func (b *bench) failTimes(n int) {
	for range n {
		b.run(job.Failed)
	}
}

func TestFailingWorkerRefuses(t *testing.T) {
	b := newBench(2, "x", "y", "z")
	b.failTimes(5)
	if !b.core.Failing(b.now) {
		t.Fatal("not in quarantine after five failures of five jobs")
	}
	refused := b.start(job.Urgent)
	if refused == nil || refused.Reason != message.RefusedBusy {
		t.Errorf("in quarantine: %+v", refused)
	}
}

func TestFailingWorkerRefusesWhatWaits(t *testing.T) {
	b := newBench(1, "x", "y", "z")
	b.failTimes(4)
	if b.start(job.Urgent) != nil {
		t.Fatal("refused before the quarantine")
	}
	handle := b.out.Commands[0].Handle
	if b.start(job.Urgent) != nil {
		t.Fatal("the second task does not wait")
	}
	b.out = executor.Output{}
	b.core.TaskEnded(b.now, handle, job.Failed, nil, "", &b.out)
	if len(b.out.Commands) != 0 {
		t.Error("a task started in quarantine")
	}
	if n := len(b.out.Replies); n != 2 || b.out.Replies[1].Message.Refused == nil {
		t.Errorf("replies: %+v", b.out.Replies)
	}
}

func TestProbationOfFailingWorker(t *testing.T) {
	b := newBench(2, "x", "y", "z")
	b.failTimes(5)
	b.now.Mono += 3 * time.Second
	if refused := b.start(job.Urgent); refused != nil {
		t.Fatalf("the trial task: %+v", refused)
	}
	handle := b.out.Commands[0].Handle
	if b.start(job.Urgent) == nil {
		t.Error("a second task during the trial")
	}
	b.core.TaskEnded(b.now, handle, job.Done, nil, "", &b.out)
	for range 2 {
		if !b.run(job.Done) {
			t.Fatal("refused on probation")
		}
	}
	for range 2 {
		if b.start(job.Urgent) != nil {
			t.Error("refused after three successes")
		}
	}
}

func TestOnlyWorkerIsNeverInQuarantine(t *testing.T) {
	b := newBench(2, "x")
	b.failTimes(20)
	if !b.run(job.Done) {
		t.Error("the only worker refuses")
	}
}
