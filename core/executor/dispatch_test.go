package executor_test

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

func TestFullExecutor(t *testing.T) {
	tests := []struct {
		name      string
		class     job.Class
		elsewhere elsewhere
		refused   bool
	}{
		{"urgent goes to a free slot elsewhere", job.Urgent, true, true},
		{"urgent waits when there is none", job.Urgent, false, false},
		{"normal waits", job.Normal, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(1, "x", "y", "z")
			b.elsewhere = tt.elsewhere
			b.start(job.Urgent)
			refused := b.start(tt.class)
			if (refused != nil) != tt.refused {
				t.Fatalf("refused: %+v", refused)
			}
			if refused != nil && refused.Reason != message.RefusedBusy {
				t.Errorf("reason %q", refused.Reason)
			}
		})
	}
}

func TestSlotsKeptForUrgentTasks(t *testing.T) {
	b := newBench(8, "x", "y", "z")
	var handles []uint64
	for range 4 {
		b.start(job.Urgent)
		handles = append(handles, b.out.Commands[0].Handle)
	}
	b.now.Mono += 5 * time.Second
	for _, h := range handles {
		b.core.TaskEnded(b.now, h, job.Done, nil, "", &b.out)
	}
	started := 0
	for range 8 {
		b.start(job.Batch)
		started += len(b.out.Commands)
	}
	if started != 4 {
		t.Errorf("%d batch tasks started just after four urgent ones, want 4", started)
	}
	b.now.Mono += 5 * time.Second
	b.out.Commands = nil
	b.core.Tick(b.now, &b.out)
	if n := len(b.out.Commands); n != 3 {
		t.Errorf("%d more started 5 s later, want 3", n)
	}
}

func TestRefusalsForOthersAreBounded(t *testing.T) {
	b := newBench(1, "x", "y", "z")
	b.elsewhere = true
	b.start(job.Urgent)
	refused := 0
	for b.start(job.Urgent) != nil {
		refused++
		if refused > 100 {
			t.Fatal("no urgent task may wait")
		}
	}
	if refused < 10 {
		t.Errorf("only %d refusals", refused)
	}
}
