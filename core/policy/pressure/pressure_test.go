package pressure

import (
	"testing"
	"time"
)

// TestStalls checks that a host that is paused for 80 of every 100 ms does not count
// as overloaded: short delays follow its long ones.
func TestStalls(t *testing.T) {
	var g Gauge
	for at := time.Second; at < 3*time.Second; at += 10 * time.Millisecond {
		phase := at % (100 * time.Millisecond)
		delay := time.Duration(0)
		if phase < 80*time.Millisecond {
			delay = 80*time.Millisecond - phase
		}
		if g.Observe(at, delay) {
			t.Fatalf("overloaded at %v although some delays were short", at)
		}
	}
	if g.Recovering(3 * time.Second) {
		t.Error("recovering although the process was never overloaded")
	}
}

// TestStandingQueue checks that a process counts as overloaded when all delays of an
// interval are long, and as recovering for Recovery after that.
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
		t.Fatalf("first overloaded at %v, want %v", first, time.Second+Interval)
	}
	if g.Observe(at, Target/2) {
		t.Error("still overloaded after a short delay")
	}
	if !g.Recovering(first+Recovery-time.Millisecond) || g.Recovering(first+Recovery) {
		t.Error("Recovering does not end exactly Recovery after the last overload")
	}
}

// TestRareRequests checks that single long delays, farther apart than the interval,
// do not count as an overload.
func TestRareRequests(t *testing.T) {
	var g Gauge
	for at := time.Second; at < 10*time.Second; at += 2 * Interval {
		if g.Observe(at, 10*Target) {
			t.Fatalf("overloaded at %v by a single long delay", at)
		}
	}
}
