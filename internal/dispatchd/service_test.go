package dispatchd

import (
	"context"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
)

// newStartedAt returns a daemon without sockets that started at the given time.
func newStartedAt(at time.Time) *Daemon {
	d := &Daemon{startedAt: at, configured: lifecycle.NewSignal(), killed: lifecycle.NewSignal()}
	d.site.Store(&site.State{})
	return d
}

// TestCallsRightAfterTheStart checks the load after the return of all hosts: callers that
// reach a dispatcher before it has read its configuration are served as soon as it has.
func TestCallsRightAfterTheStart(t *testing.T) {
	d := newStartedAt(time.Now().Add(time.Hour)) // The wait cannot end by itself during the test.
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
	if s, waited := newStartedAt(time.Now().Add(-siteStartupWait)).AwaitSite(context.Background()); s.Configured || waited != 0 {
		t.Errorf("got state %+v after %v, want one without a configuration at once", s, waited)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if s, _ := newStartedAt(time.Now().Add(time.Hour)).AwaitSite(ctx); s.Configured {
		t.Errorf("got state %+v, want one without a configuration", s)
	}
}
