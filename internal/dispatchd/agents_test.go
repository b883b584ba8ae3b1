package dispatchd

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/sitestore"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// TestGoneAgentsCostLittle guards against endless attempts, several a second, to connect to
// agents whose records stay in the store after their hosts have been replaced.
func TestGoneAgentsCostLittle(t *testing.T) {
	attempts := 0
	delay, elapsed := minConnectDelay, time.Duration(0)
	for elapsed < time.Hour {
		elapsed += delay
		delay = nextConnectDelay(delay, elapsed)
		attempts++
		if elapsed < goneAfter && delay > maxConnectDelay {
			t.Fatalf("delay %v after %v without a connection, want at most %v", delay, elapsed, maxConnectDelay)
		}
	}
	if limit := int(time.Hour/maxGoneDelay) + 100; attempts > limit {
		t.Errorf("got %d attempts in an hour, want at most %d", attempts, limit)
	}
}

// TestRestartedAgentEndsTheDelay checks that the record of a new incarnation of an agent ends
// the delay before the next attempt, and that the same record again does not.
func TestRestartedAgentEndsTheDelay(t *testing.T) {
	record := sitestore.Agent{ID: "a", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
	a := newAgentConnector("z", nil, nil, telemetry.NewLogger("test"))
	a.setAgents([]sitestore.Agent{record})
	c := a.known[record.Addr]
	a.setAgents([]sitestore.Agent{record})
	if !c.waitToRetry(context.Background(), time.Millisecond) {
		t.Error("the delay ended early although the record has not changed")
	}
	record.Incarnation = 2
	a.setAgents([]sitestore.Agent{record})
	if c.waitToRetry(context.Background(), time.Hour) {
		t.Error("the delay did not end with the record of the new incarnation")
	}
}
