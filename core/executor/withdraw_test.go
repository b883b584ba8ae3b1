package executor_test

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/executor"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// TestLeavingUpstream checks that an upstream that withdraws, or does not renew
// its announcement, gets no task any more: neither a new one nor one that waits.
func TestLeavingUpstream(t *testing.T) {
	tests := []struct {
		name  string
		leave func(b *bench)
	}{
		{"withdrawn", func(b *bench) { b.core.Withdraw(b.now, "u", &b.out) }},
		{"not renewed", func(b *bench) {
			b.now = b.now.After(2 * time.Hour)
			b.core.Tick(b.now, &b.out)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(1)
			if b.start(job.Urgent) != nil || len(b.out.Commands) != 1 {
				t.Fatal("the first task did not start")
			}
			handle := b.out.Commands[0].Handle
			if refused := b.start(job.Urgent); refused != nil {
				t.Fatalf("the second task does not wait: %s", refused.Reason)
			}
			b.out = executor.Output{}
			tt.leave(b)
			if refused := b.start(job.Urgent); refused == nil {
				t.Error("a new task was taken")
			}
			b.core.TaskEnded(b.now, handle, job.Done, nil, "", &b.out)
			if len(b.out.Commands) != 0 {
				t.Error("a task that waited started")
			}
			if load := b.core.Load(b.now); load.Slots != 0 || load.Queued != 0 {
				t.Errorf("load after leaving: %+v", load)
			}
		})
	}
}
