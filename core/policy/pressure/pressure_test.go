package pressure

import (
	"testing"
	"time"
)

// TestStalls: a host that stands still for 80 of every 100 ms has long delays, but
// between them short ones, and is not overloaded.
func TestStalls(t *testing.T) {
	var g Gauge
	for at := time.Second; at < 3*time.Second; at += 10 * time.Millisecond {
		phase := at % (100 * time.Millisecond)
		delay := time.Duration(0)
		if phase < 80*time.Millisecond {
			delay = 80*time.Millisecond - phase
		}
		if g.Observe(at, delay) {
			t.Fatalf("overloaded at %v", at)
		}
	}
	if g.Recovering(3 * time.Second) {
		t.Error("counts as recovering without an overload")
	}
}

// TestStandingQueue: delays that never get short are an overload after the interval,
// and the process counts as recovering for a while after the last.
func TestStandingQueue(t *testing.T) {
	var g Gauge
	var first time.Duration
	at := time.Second
	for ; at < 2*time.Second && first == 0; at += 10 * time.Millisecond {
		if g.Observe(at, 2*Target) {
			first = at
		}
	}
	if first != time.Second+Interval {
		t.Fatalf("overloaded at %v, want %v", first, time.Second+Interval)
	}
	if g.Observe(at, Target/2) {
		t.Error("still overloaded with a short delay")
	}
	if !g.Recovering(first+Recovery-time.Millisecond) || g.Recovering(first+Recovery) {
		t.Error("recovers at the wrong time")
	}
}

// TestRareRequests: single long delays far apart say nothing.
func TestRareRequests(t *testing.T) {
	var g Gauge
	for at := time.Second; at < 10*time.Second; at += 2 * Interval {
		if g.Observe(at, 10*Target) {
			t.Fatalf("overloaded at %v", at)
		}
	}
}
