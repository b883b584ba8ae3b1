package executor_test

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestFullExecutor checks what a full executor does with a new task: it refuses an
// urgent one for which another executor has a free slot, and queues the others.
func TestFullExecutor(t *testing.T) {
	tests := []struct {
		name       string
		class      job.Class
		othersFree othersFree
		refused    bool
	}{
		{"urgent goes to a free slot elsewhere", job.Urgent, true, true},
		{"urgent waits when there is none", job.Urgent, false, false},
		{"normal waits", job.Normal, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newTestExecutor(1, "x", "y", "z")
			x.othersFree = tt.othersFree
			x.start(job.Urgent)
			refused := x.start(tt.class)
			if (refused != nil) != tt.refused {
				t.Fatalf("got refusal %+v, want one only if an urgent task has a free slot elsewhere", refused)
			}
			if refused != nil && refused.Reason != message.RefusedBusy {
				t.Errorf("got refusal reason %q, want busy", refused.Reason)
			}
		})
	}
}

// TestSlotsKeptForUrgentTasks guards against batch tasks that take every slot between
// two bursts of urgent tasks: after a burst, the executor keeps slots free for the
// next one, and fewer as time passes.
func TestSlotsKeptForUrgentTasks(t *testing.T) {
	x := newTestExecutor(8, "x", "y", "z")
	var handles []uint64
	for range 4 {
		x.start(job.Urgent)
		handles = append(handles, x.out.Commands[0].Handle)
	}
	x.now.Mono += 5 * time.Second
	for _, h := range handles {
		x.core.TaskCompleted(x.now, h, job.Done, nil, "", &x.out)
	}
	started := 0
	for range 8 {
		x.start(job.Batch)
		started += len(x.out.Commands)
	}
	if started != 4 {
		t.Errorf("got %d batch tasks started just after four urgent ones, want 4", started)
	}
	x.now.Mono += 5 * time.Second
	x.out.Commands = nil
	x.core.Tick(x.now, &x.out)
	if n := len(x.out.Commands); n != 3 {
		t.Errorf("got %d more batch tasks started 5 s later, want 3", n)
	}
}

// TestRedirectsAreBounded guards against urgent tasks that are refused forever: when
// every executor is full, outdated load reports show free slots elsewhere. After some
// refusals, the executor queues such a task.
func TestRedirectsAreBounded(t *testing.T) {
	x := newTestExecutor(1, "x", "y", "z")
	x.othersFree = true
	x.start(job.Urgent)
	refused := 0
	for x.start(job.Urgent) != nil {
		refused++
		if refused > 100 {
			t.Fatal("got more than 100 refusals of urgent tasks, want one of them to be queued")
		}
	}
	if refused < 10 {
		t.Errorf("got %d refusals before a task was queued, want at least 10", refused)
	}
}
