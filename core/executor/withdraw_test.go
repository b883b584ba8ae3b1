package executor_test

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/executor"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// TestWithdrawnUpstreamGetsNoTask checks that an upstream that withdraws, or does not
// renew its announcement, gets no further task: neither a new one nor one that waited
// for a slot.
func TestWithdrawnUpstreamGetsNoTask(t *testing.T) {
	tests := []struct {
		name  string
		leave func(x *testExecutor)
	}{
		{"withdrawn", func(x *testExecutor) { x.core.Withdraw(x.now, "u", &x.out) }},
		{"not renewed", func(x *testExecutor) {
			x.now = x.now.After(2 * time.Hour)
			x.core.Tick(x.now, &x.out)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newTestExecutor(1)
			if x.start(job.Urgent) != nil || len(x.out.Commands) != 1 {
				t.Fatal("the first task did not start")
			}
			handle := x.out.Commands[0].Handle
			if refused := x.start(job.Urgent); refused != nil {
				t.Fatalf("the second task: got a refusal with reason %s, want it to wait for a slot", refused.Reason)
			}
			x.out = executor.Output{}
			tt.leave(x)
			if refused := x.start(job.Urgent); refused == nil {
				t.Error("a new task was accepted after the upstream left")
			}
			x.core.TaskCompleted(x.now, handle, job.Done, nil, "", &x.out)
			if len(x.out.Commands) != 0 {
				t.Error("the waiting task started after the upstream left")
			}
			if load := x.core.Load(x.now); load.Slots != 0 || load.Queued != 0 {
				t.Errorf("after the upstream left: got load %+v, want no slots and no queued tasks", load)
			}
		})
	}
}
