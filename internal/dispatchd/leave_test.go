package dispatchd

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// newDaemon returns a daemon whose processes are not running yet.
func newDaemon(t *testing.T, grace time.Duration, callers func(Service) http.Handler) *Daemon {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	d, err := New(Config{
		Settings: settings.Dispatcher{
			Node:   settings.Node{ID: "entry-1", Domain: "zone-a"},
			Listen: settings.DispatcherListen{Callers: loopback, Ready: loopback, Transport: loopback, Metrics: loopback},
			Limits: settings.LeasedLimits{Memory: 64 << 20, Body: 1 << 20, Connections: 10},
			Timing: settings.LeasedTiming{Grace: grace, DrainConnections: true},
		},
		Platform: Platform{Callers: callers, Ready: func(func() error) http.Handler { return http.NotFoundHandler() }},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.closeSockets)
	return d
}

// TestCallInFlightAfterAPauseDuringAPlannedStop guards against a call without an answer when the
// process stands still during a planned stop until the calls must be answered, or past the grace
// time: writing the answer takes some time then as well.
func TestCallInFlightAfterAPauseDuringAPlannedStop(t *testing.T) {
	const grace = 5 * time.Second
	const writeTime = 40 * time.Millisecond
	for name, left := range map[string]time.Duration{"before the end": writeTime / 4, "past the end": -60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			var d *Daemon
			handler := func(Service) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					close(arrived)
					<-d.cutOff.Done()
					time.Sleep(writeTime)
					w.WriteHeader(http.StatusGatewayTimeout)
				})
			}
			d = newDaemon(t, grace, handler)
			go func() { _ = d.callers.Run() }()
			c, err := net.Dial("tcp", d.CallersAddr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			r, err := http.NewRequest(http.MethodPost, "http://"+d.CallersAddr()+"/", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			if err := r.Write(c); err != nil {
				t.Fatal(err)
			}
			<-arrived

			ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(left))
			defer cancel()
			if err := d.drainCallers(ctx, grace, 0); err != nil {
				t.Errorf("the planned stop returned %v", err)
			}
			d.closeSockets() // As when the process exits.
			resp, err := http.ReadResponse(bufio.NewReader(c), r)
			if err != nil {
				t.Fatalf("the connection was closed without an answer: %v", err)
			}
			if resp.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("got status %d, want 504", resp.StatusCode)
			}
		})
	}
}
