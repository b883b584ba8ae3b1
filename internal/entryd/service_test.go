package entryd

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// TestCallsAreAnsweredOnce checks that each call gets its own answer, and that a second
// answer, or one to a forgotten call, neither blocks nor is delivered.
func TestCallsAreAnsweredOnce(t *testing.T) {
	var c process.PendingCalls[result]
	first, firstAnswer := c.Add()
	second, secondAnswer := c.Add()
	if first == second {
		t.Fatal("two calls have the same number")
	}
	c.Answer(first, result{reply: entry.Reply{Call: first}})
	c.Answer(first, result{reply: entry.Reply{Call: 99}}) // Must not block.
	if r := <-firstAnswer; r.reply.Call != first {
		t.Errorf("call %d got the answer of call %d", first, r.reply.Call)
	}
	c.Remove(second)
	c.Answer(second, result{})
	select {
	case <-secondAnswer:
		t.Error("a forgotten call was answered")
	default:
	}
	if c.Count() != 0 {
		t.Errorf("%d calls wait for an answer, want 0", c.Count())
	}
}

// startEntry runs an entry whose log service does not exist, with settings changed by
// the given functions. The entry stops at the end of the test.
func startEntry(t testing.TB, change ...func(*settings.Entry)) *Daemon {
	t.Helper()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	s := settings.DefaultEntry()
	s.Node = settings.Node{Role: settings.RoleEntry, ID: "entry-a", Domain: "d"}
	s.Listen = settings.EntryListen{HTTP: anyPort, Transport: anyPort, Metrics: anyPort}
	s.Timing.ReadinessDelay = 0
	s.Log.Address = netip.MustParseAddrPort("127.0.0.1:1")
	for _, f := range change {
		f(&s)
	}
	d, err := New(Config{Settings: s, Options: process.Options{PanicOnViolation: true}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-runErr; err != nil && !errors.Is(err, ErrKilled) {
			t.Error(err)
		}
	})
	return d
}

func oneTask() job.Job {
	return job.Job{Team: "t", Timeout: job.MaxTimeout, Class: job.Normal, Tasks: []job.Task{{}}}
}

// TestEntryWithoutAgentsRefusesCalls checks that an entry that knows no agent answers
// with error kinds that say that nothing was started, and is not ready.
func TestEntryWithoutAgentsRefusesCalls(t *testing.T) {
	d := startEntry(t)
	ctx := context.Background()
	reply, err := d.Submit(ctx, oneTask(), true, "")
	if err != nil || reply.Answer.Kind != errkind.NotRun {
		t.Errorf("submit: %+v, error %v; want kind not_run", reply, err)
	}
	mint, err := d.Mint(ctx, 1)
	if err != nil || mint.Kind != errkind.Unavailable {
		t.Errorf("mint: %+v, error %v; want kind unavailable", mint, err)
	}
	if err := d.Ready(); err == nil || !strings.Contains(err.Error(), "configuration") {
		t.Errorf("ready: error %v, want one about the configuration", err)
	}
	var text bytes.Buffer
	d.WriteMetrics(&text)
	if !strings.Contains(text.String(), "dogwoodgauge_members 0") {
		t.Errorf("the metrics lack dogwoodgauge_members 0:\n%s", text.String())
	}
}

// TestCallsEndWithTheirCallerAndWithTheEntry guards against calls that wait forever:
// a call must return when its caller disconnects and when the entry is killed.
func TestCallsEndWithTheirCallerAndWithTheEntry(t *testing.T) {
	d := startEntry(t)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, answer := d.calls.Add()
	if _, err := d.call(gone, func(uint64) entry.Event { return entry.Tick{} }); !errors.Is(err, context.Canceled) {
		t.Errorf("caller gone: error %v, want context.Canceled", err)
	}
	d.Kill()
	if _, err := d.call(context.Background(), func(uint64) entry.Event { return entry.Tick{} }); !errors.Is(err, process.ErrStopped) {
		t.Errorf("entry killed: error %v, want process.ErrStopped", err)
	}
	select {
	case r := <-answer:
		t.Errorf("a call without an event was answered with %+v", r)
	default:
	}
}
