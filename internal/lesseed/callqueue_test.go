package lesseed

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// silentUpstream answers no call before its context ends, except polls.
type silentUpstream struct {
	active, most atomic.Int64
	calls        atomic.Int64
}

func (u *silentUpstream) wait(ctx context.Context) {
	n := u.active.Add(1)
	for most := u.most.Load(); n > most && !u.most.CompareAndSwap(most, n); most = u.most.Load() {
	}
	<-ctx.Done()
	u.active.Add(-1)
	u.calls.Add(1)
}

func (u *silentUpstream) Start(ctx context.Context, _ lessee.StartRun) (lessee.CallResult, time.Duration) {
	u.wait(ctx)
	return lessee.CallUnknown, 0
}

func (u *silentUpstream) Stop(ctx context.Context, _ lessee.StopRun) lessee.CallResult {
	u.wait(ctx)
	return lessee.CallUnknown
}

func (u *silentUpstream) Poll(context.Context, lessee.Poll) lessee.PollCompleted {
	return lessee.PollCompleted{}
}

// TestCallsAtOnce lets the core start and stop more runs than an agent calls its upstream for at
// once: each call holds a goroutine, a request and its encoded body.
func TestCallsAtOnce(t *testing.T) {
	const calls = 1500
	upstream := &silentUpstream{}
	local := netip.MustParseAddrPort("127.0.0.1:0")
	d, err := New(Config{
		Settings: settings.Lessee{Node: settings.Node{ID: "agent-1"}, Listen: settings.LesseeListen{Announcements: local, Transport: local, Metrics: local}},
		Platform: Platform{
			Upstream:      upstream,
			Announcements: func(AnnouncementReceiver) http.Handler { return http.NotFoundHandler() },
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	d.callContext = t.Context()
	go func() { _ = d.loop.Run(t.Context()) }()
	for i := range calls {
		d.execute(lessee.StartRun{Handle: uint64(i), Try: 1})
		d.execute(lessee.StopRun{RunNumber: i})
	}
	for end := time.Now().Add(time.Minute); upstream.calls.Load() < 2*calls; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d calls have ended, want %d", upstream.calls.Load(), 2*calls)
		}
	}
	if most := upstream.most.Load(); most > maxCalls {
		t.Errorf("%d calls at once, want at most %d", most, maxCalls)
	}
}
