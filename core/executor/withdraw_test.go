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
		leave func(b *testExecutor)
	}{
		{"withdrawn", func(b *testExecutor) { b.core.Withdraw(b.now, "u", &b.out) }},
		{"not renewed", func(b *testExecutor) {
			b.now = b.now.After(2 * time.Hour)
			b.core.Tick(b.now, &b.out)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestExecutor(1)
			if b.start(job.Urgent) != nil || len(b.out.Commands) != 1 {
				t.Fatal("the first task did not start")
			}
			handle := b.out.Commands[0].Handle
			if refused := b.start(job.Urgent); refused != nil {
				t.Fatalf("the second task: got a refusal with reason %s, want it to wait for a slot", refused.Reason)
			}
			b.out = executor.Output{}
			tt.leave(b)
			if refused := b.start(job.Urgent); refused == nil {
				t.Error("a new task was accepted after the upstream left")
			}
			b.core.TaskCompleted(b.now, handle, job.Done, nil, "", &b.out)
			if len(b.out.Commands) != 0 {
				t.Error("the waiting task started after the upstream left")
			}
			if load := b.core.Load(b.now); load.Slots != 0 || load.Queued != 0 {
				t.Errorf("after the upstream left: got load %+v, want no slots and no queued tasks", load)
			}
		})
	}
}
