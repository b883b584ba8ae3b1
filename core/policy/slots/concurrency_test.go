package slots

import (
	"testing"
	"time"
)

func TestConcurrency(t *testing.T) {
	tests := []struct {
		name           string
		level          int
		after          time.Duration
		slots, running int
		want           int
	}{
		{"no urgent task", 0, time.Minute, 8, 0, 0},
		{"one urgent task at a time", 1, time.Minute, 8, 0, 2},
		{"running urgent tasks need no further slot", 1, time.Minute, 8, 1, 1},
		{"a task that has just arrived", 1, 10 * time.Millisecond, 8, 1, 0},
		{"a burst that has just begun", 4, 500 * time.Millisecond, 8, 0, 3},
		{"a burst is limited to half of the slots", 20, time.Minute, 8, 0, 4},
		{"more running urgent tasks than kept slots", 20, time.Minute, 8, 6, 0},
		{"an only slot is not kept free", 5, time.Minute, 1, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Concurrency
			c.Set(time.Second, tt.level)
			if got := c.SlotsToKeep(time.Second+tt.after, tt.slots, tt.running); got != tt.want {
				t.Errorf("%d slots are kept free, want %d", got, tt.want)
			}
		})
	}
}

func TestConcurrencyFallsAfterBurst(t *testing.T) {
	var c Concurrency
	c.Set(0, 10)
	c.Set(time.Minute, 0)
	if got := c.SlotsToKeep(time.Minute, 8, 0); got != 4 {
		t.Errorf("%d slots are kept free at the end of the burst, want 4", got)
	}
	if got := c.SlotsToKeep(time.Minute+5*time.Second, 8, 0); got != 0 {
		t.Errorf("%d slots are kept free 5 s after the burst, want none", got)
	}
}
