package executor_test

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/executor"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// TestWindow guards against a second start of a task, and a start after its abort.
// Messages may be duplicated, reordered or late, so the test sends the Starts and
// Aborts of one home in unusual orders. Each step states how many tasks it starts.
func TestWindow(t *testing.T) {
	home := node.Ref{ID: "h", Incarnation: 1}
	now := newTestExecutor(8).now
	start := func(seq, floor uint64) func(*executor.Core, *executor.Output) {
		return func(c *executor.Core, out *executor.Output) {
			c.Start(now, home, &message.Start{
				Seq: seq, Floor: floor, ID: "job", Index: int(seq), Class: job.Normal,
				Timeout: time.Second, SentAt: now.Wall,
			}, out)
		}
	}
	abort := func(seq, floor uint64) func(*executor.Core, *executor.Output) {
		return func(c *executor.Core, out *executor.Output) {
			c.Abort(now, home, &message.Abort{Seq: seq, Floor: floor}, out)
		}
	}
	dead := func(c *executor.Core, out *executor.Output) { c.HomeDead(now, home, out) }
	type step struct {
		do     func(*executor.Core, *executor.Output)
		starts int
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"repeated start", []step{{start(1, 1), 1}, {start(1, 1), 0}}},
		{"start below the floor", []step{{start(5, 3), 1}, {start(2, 1), 0}, {start(4, 3), 1}}},
		{"floor passes a running task", []step{{start(1, 1), 1}, {start(2, 2), 1}, {start(1, 1), 0}}},
		{"abort overtakes its start", []step{{abort(1, 1), 0}, {start(1, 1), 0}}},
		{"abort after the start", []step{{start(1, 1), 1}, {abort(1, 1), 0}, {start(1, 1), 0}}},
		{"home has ended", []step{{start(1, 1), 1}, {dead, 0}, {start(1, 1), 0}, {start(2, 1), 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newTestExecutor(8)
			for i, s := range tt.steps {
				out := &executor.Output{}
				s.do(x.core, out)
				if len(out.Commands) != s.starts {
					t.Errorf("step %d: got %d tasks started, want %d", i, len(out.Commands), s.starts)
				}
			}
		})
	}
}

// TestDroppedResultIsUnknown guards against a task that runs a second time, or is answered as never
// started, since the executor no longer holds its result when its home is in touch again.
func TestDroppedResultIsUnknown(t *testing.T) {
	x := newTestExecutor(1)
	if !x.run(job.Done) {
		t.Fatal("the task did not start")
	}
	x.now = x.now.After(2 * time.Minute)
	x.out = executor.Output{}
	x.core.Tick(x.now, &x.out)
	x.run(job.Done) // The home is heard again.
	for name, repeat := range map[string]func(){
		"start": func() {
			x.core.Start(x.now, x.home, &message.Start{Seq: 1, Floor: 1, ID: "job-1", Attempt: 1, Timeout: time.Minute}, &x.out)
		},
		"abort": func() { x.core.Abort(x.now, x.home, &message.Abort{Seq: 1, Floor: 1}, &x.out) },
	} {
		x.out = executor.Output{}
		repeat()
		if len(x.out.Commands) != 0 || len(x.out.Replies) != 1 || x.out.Replies[0].Message.Result == nil || x.out.Replies[0].Message.Result.State != job.Unknown {
			t.Errorf("%s: got %+v, want the result unknown and no start", name, x.out)
		}
	}
}
