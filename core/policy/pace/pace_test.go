package pace

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
)

// TestSmallFleetKeepsLeasePace checks that agents with few dispatchers send every heartbeat
// to all of them.
func TestSmallFleetKeepsLeasePace(t *testing.T) {
	for dispatchers := 1; dispatchers < 5; dispatchers++ {
		n := IdlePerRound(dispatchers, IdleRate)
		if n != float64(dispatchers) || IdleInterval(dispatchers, n) != lease.HeartbeatInterval {
			t.Errorf("%d dispatchers: got %.1f heartbeats in a round and interval %v, want one each, each round", dispatchers, n, IdleInterval(dispatchers, n))
		}
	}
}

// TestRateIsBounded checks that the rate of heartbeats does not grow with the number of
// dispatchers until the interval has reached its limit, and that each dispatcher gets one
// within the interval.
func TestRateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatchers := rapid.IntRange(1, 2000).Draw(t, "dispatchers")
		n := IdlePerRound(dispatchers, IdleRate)
		interval := IdleInterval(dispatchers, n)
		rate := n / lease.HeartbeatInterval.Seconds()
		if limit := max(IdleRate, float64(dispatchers)/maxIdleInterval.Seconds()); rate > limit*1.001 {
			t.Errorf("%d dispatchers: got %.1f heartbeats a second, want at most %.1f", dispatchers, rate, limit)
		}
		if all := time.Duration(float64(dispatchers) / rate * float64(time.Second)); all > interval || interval > maxIdleInterval+2*lease.HeartbeatInterval {
			t.Errorf("%d dispatchers: all are reached after %v, want interval %v or less", dispatchers, all, interval)
		}
		if StatedInterval(interval) != interval {
			t.Errorf("a dispatcher expects interval %v of an agent that has stated %v", StatedInterval(interval), interval)
		}
		if SuspectAfter(interval) < 2*interval || ReconnectAfter(interval) < SuspectAfter(interval) {
			t.Errorf("interval %v: suspected after %v, reconnected after %v", interval, SuspectAfter(interval), ReconnectAfter(interval))
		}
	})
}
