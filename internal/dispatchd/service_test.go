package dispatchd

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// newStartedAt returns a daemon that started at the given time and has no sockets but that of the
// callers' interface.
func newStartedAt(t *testing.T, at time.Time) *Daemon {
	t.Helper()
	callers, err := httpserver.Listen(httpserver.Config{Listen: "127.0.0.1:0", Handler: http.NotFoundHandler()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = callers.Close() })
	d := &Daemon{
		startedAt: at, configured: lifecycle.NewSignal(), killed: lifecycle.NewSignal(), callers: callers, logs: telemetry.NewLogger("dispatcher"),
	}
	d.cfg.Settings.Limits = settings.LeasedLimits{Memory: 96 << 20, Body: 1 << 20}
	d.site.Store(&site.State{})
	return d
}

// TestOperatorsLimits guards against bodies that are refused although the operators allow them,
// and against limits that the memory of the process does not permit.
func TestOperatorsLimits(t *testing.T) {
	d := newStartedAt(t, time.Now())
	for _, tt := range []struct{ operators, want int64 }{{0, 1 << 20}, {256 << 10, 256 << 10}, {2 << 20, 2 << 20}, {1 << 30, 4 << 20}} {
		d.execute(dispatch.SiteUpdated{State: &site.State{Limits: site.Limits{BodyBytes: tt.operators}}})
		if got := d.MaxBodyBytes(); got != tt.want {
			t.Errorf("limit of the operators %d: got %d, want %d", tt.operators, got, tt.want)
		}
	}
}

// TestCallsRightAfterTheStart checks the load after the return of all hosts: callers that
// reach a dispatcher before it has read its configuration are served as soon as it has.
func TestCallsRightAfterTheStart(t *testing.T) {
	d := newStartedAt(t, time.Now().Add(time.Hour)) // The wait cannot end by itself during the test.
	got := make(chan *site.State)
	go func() {
		s, _ := d.AwaitSite(context.Background())
		got <- s
	}()
	d.execute(dispatch.SiteUpdated{State: &site.State{Revision: 1}})
	select {
	case s := <-got:
		t.Fatalf("got state %+v without a configuration", s)
	case <-time.After(10 * time.Millisecond):
	}
	d.execute(dispatch.SiteUpdated{State: &site.State{Revision: 2, Configured: true}})
	if s := <-got; s.Revision != 2 {
		t.Errorf("got revision %d, want 2", s.Revision)
	}
}

// TestCallsWithoutConfiguration checks that a caller gets its answer at once when the
// dispatcher has run for a while without a configuration, or when the caller leaves.
func TestCallsWithoutConfiguration(t *testing.T) {
	if s, waited := newStartedAt(t, time.Now().Add(-siteStartupWait)).AwaitSite(context.Background()); s.Configured || waited != 0 {
		t.Errorf("got state %+v after %v, want one without a configuration at once", s, waited)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if s, _ := newStartedAt(t, time.Now().Add(time.Hour)).AwaitSite(ctx); s.Configured {
		t.Errorf("got state %+v, want one without a configuration", s)
	}
}

// TestSubmissionAfterTheCoreHasStopped guards against a job that is refused as not run by a process
// that no longer knows whether an earlier submission of it has run.
func TestSubmissionAfterTheCoreHasStopped(t *testing.T) {
	d := newDaemon(t, time.Second, func(Service) http.Handler { return http.NotFoundHandler() })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := d.loop.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if got := d.submit(context.Background(), dispatch.Job{ID: "j", Route: &site.Route{}}); got.Outcome != dispatch.Interrupted {
		t.Errorf("got %+v, want interrupted", got)
	}
}
