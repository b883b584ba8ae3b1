package slots

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

func TestAdmit(t *testing.T) {
	tests := []struct {
		name        string
		reserve     Reserve
		free, slots int
		class       job.Class
		want        bool
	}{
		{"urgent takes the last slot", Reserve{1}, 1, 8, job.Urgent, true},
		{"normal leaves the reserved slot", Reserve{1}, 1, 8, job.Normal, false},
		{"empty class is normal", Reserve{1}, 1, 8, "", false},
		{"normal takes an unreserved slot", Reserve{1}, 2, 8, job.Normal, true},
		{"batch leaves the reserved slot", Reserve{1}, 1, 8, job.Batch, false},
		{"batch takes an unreserved slot", Reserve{1}, 2, 8, job.Batch, true},
		{"nothing is admitted without a free slot", Reserve{1}, 0, 8, job.Urgent, false},
		{"more busy than slots", Reserve{1}, -1, 8, job.Batch, false},
		{"one slot alone is not reserved", Reserve{1}, 1, 1, job.Batch, true},
		{"a large reserve is bounded", Reserve{8}, 3, 8, job.Batch, true},
		{"a negative reserve is none", Reserve{-1}, 0, 8, job.Batch, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.reserve.Admit(tt.free, tt.slots, tt.class); got != tt.want {
				t.Errorf("Admit = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestReserveLapsesWithoutUrgentTasks(t *testing.T) {
	var d Demand
	r := Reserve{1}
	if got := d.Reserve(time.Second, r); got != (Reserve{}) {
		t.Errorf("reserve %v before any urgent task", got)
	}
	d.Observe(time.Second, job.Urgent)
	d.Observe(time.Minute, job.Batch)
	if got := d.Reserve(time.Second+lapse, r); got != r {
		t.Errorf("reserve %v while urgent tasks come", got)
	}
	if got := d.Reserve(time.Minute, r); got != (Reserve{}) {
		t.Errorf("reserve %v after the last urgent task", got)
	}
}
