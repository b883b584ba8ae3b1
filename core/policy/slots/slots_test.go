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
		{"no task is admitted without a free slot", Reserve{1}, 0, 8, job.Urgent, false},
		{"more busy slots than slots", Reserve{1}, -1, 8, job.Batch, false},
		{"an only slot is not reserved", Reserve{1}, 1, 1, job.Batch, true},
		{"a large reserve is limited", Reserve{8}, 3, 8, job.Batch, true},
		{"a negative reserve counts as none", Reserve{-1}, 0, 8, job.Batch, false},
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
	var a UrgentActivity
	r := Reserve{1}
	if got := a.Reserve(time.Second, r); got != (Reserve{}) {
		t.Errorf("reserve is %v before any urgent task, want none", got)
	}
	a.Observe(time.Second, job.Urgent)
	a.Observe(time.Minute, job.Batch)
	if got := a.Reserve(time.Second+lapseTime, r); got != r {
		t.Errorf("reserve is %v until the lapse time after an urgent task, want the configured one", got)
	}
	if got := a.Reserve(time.Minute, r); got != (Reserve{}) {
		t.Errorf("reserve is %v after the lapse time without urgent tasks, want none", got)
	}
}
