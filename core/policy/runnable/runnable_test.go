package runnable

import (
	"testing"
	"time"
)

const s = time.Second

func TestRemainingWait(t *testing.T) {
	tests := []struct {
		name    string
		changes []time.Duration
		now     time.Duration
		task    Task
		want    time.Duration
	}{
		{"no wait in a stable fleet", nil, 60 * s, Task{WaitingSince: 60 * s, Deadline: 90 * s}, 0},
		{"process just started", nil, 0, Task{Deadline: 30 * s}, settleTime},
		{"recent change", []time.Duration{59 * s}, 60 * s, Task{WaitingSince: 60 * s, Deadline: 90 * s}, s},
		{"repeated changes prolong the wait to its limit", []time.Duration{59 * s, 64 * s}, 64 * s, Task{WaitingSince: 60 * s, Deadline: 90 * s}, s},
		{"wait is over", []time.Duration{65 * s}, 65 * s, Task{WaitingSince: 60 * s, Deadline: 90 * s}, 0},
		{"deadline comes first", []time.Duration{60 * s}, 60 * s, Task{WaitingSince: 60 * s, Deadline: 61 * s}, s},
		{"matching upstream restarts", nil, 60 * s, Task{WaitingSince: 60 * s, Deadline: 90 * s, MatchedBefore: true, LastMatch: 59 * s}, maxWait},
		{"last match long ago", nil, 60 * s, Task{WaitingSince: 60 * s, Deadline: 90 * s, MatchedBefore: true, LastMatch: 10 * s}, 0},
		{"changes out of order", []time.Duration{59 * s, 10 * s}, 60 * s, Task{WaitingSince: 60 * s, Deadline: 90 * s}, s},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := New(0)
			for _, c := range tt.changes {
				w.RecordChange(c)
			}
			if got := w.RemainingWait(tt.now, tt.task); got != tt.want {
				t.Errorf("remaining wait is %v, want %v", got, tt.want)
			}
		})
	}
}
