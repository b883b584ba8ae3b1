package agentd_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/agentd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/entryd"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/logservice"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// span is one span as the file exporter writes it.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// readSpans returns the spans in the given files by name.
func readSpans(t *testing.T, files ...string) map[string][]span {
	t.Helper()
	spans := make(map[string][]span)
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		dec := json.NewDecoder(f)
		for {
			var s span
			err := dec.Decode(&s)
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			spans[s.Name] = append(spans[s.Name], s)
		}
	}
	return spans
}

// startLog starts a stand-in log service and returns its address.
func startLog(t *testing.T) netip.AddrPort {
	t.Helper()
	log := logservice.New(logservice.Config{Listen: "127.0.0.1:0"})
	if err := log.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	return netip.MustParseAddrPort(log.Addr())
}

// startDaemon runs a daemon in the background. The returned function stops it and
// fails the test if it returned an error.
func startDaemon(t *testing.T, f func(context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- f(ctx) }()
	return func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	}
}

// awaitReady waits until the entry accepts jobs.
func awaitReady(t *testing.T, d *entryd.Daemon) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if d.Ready() == nil {
			return
		}
	}
	t.Fatal("the entry is not ready after a minute:", d.Ready())
}

// TestSpansOfOneJob checks, with each exporter, that the spans of an entry and an
// agent for one job form one tree under the caller's span.
func TestSpansOfOneJob(t *testing.T) {
	t.Run("file", func(t *testing.T) {
		dir := t.TempDir()
		runTracedJob(t, func(file string) settings.Trace {
			return settings.Trace{Exporter: settings.ExporterFile, File: settings.Path(filepath.Join(dir, file))}
		})
		checkSpanTree(t, readSpans(t, filepath.Join(dir, "entry"), filepath.Join(dir, "agent")))
	})
	t.Run("otlp", func(t *testing.T) {
		c, addr := startCollector(t)
		runTracedJob(t, func(string) settings.Trace {
			return settings.Trace{Exporter: settings.ExporterOTLP, Endpoint: addr}
		})
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.faults) > 0 || len(c.senders) != 2 || !c.senders["entry-a"] || !c.senders["agent-a"] {
			t.Errorf("senders %v, faults %v; want entry-a, agent-a and no faults", c.senders, c.faults)
		}
		checkSpanTree(t, c.spans)
	})
}

// traceID and callerSpan are the IDs of the caller's trace and span.
const traceID, callerSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"

// runTracedJob starts an entry and an agent, sends them a job of two tasks and stops
// both. Trace returns the trace settings of the daemon whose file has the given name.
func runTracedJob(t *testing.T, trace func(file string) settings.Trace) {
	t.Helper()
	logAddr := startLog(t)

	as := settings.DefaultAgent()
	as.Node = settings.Node{Role: settings.RoleAgent, ID: node.ID("agent-a"), Domain: "d"}
	as.Worker.Name = "w"
	as.Listen = settings.AgentListen{Transport: anyPort, Upstream: anyPort}
	as.Log.Address = logAddr
	as.Trace = trace("agent")
	agent, err := agentd.New(agentd.Config{Settings: as, Options: process.Options{PanicOnViolation: true}})
	if err != nil {
		t.Fatal(err)
	}
	stopAgent := startDaemon(t, agent.Run)

	es := settings.DefaultEntry()
	es.Node = settings.Node{Role: settings.RoleEntry, ID: node.ID("entry-a"), Domain: "d"}
	es.Listen = settings.EntryListen{HTTP: anyPort, Transport: anyPort, Metrics: anyPort}
	es.Timing.ReadinessDelay = 0
	es.Log.Address = logAddr
	es.Trace = trace("entry")
	entry, err := entryd.New(entryd.Config{Settings: es, Options: process.Options{PanicOnViolation: true}})
	if err != nil {
		t.Fatal(err)
	}
	stopEntry := startDaemon(t, entry.Run)

	up := upstream.New(upstream.Config{
		Name: "u", Listen: "127.0.0.1:0", Agent: agent.HTTPAddr(), Slots: 2, Connections: 2, DefaultTaskDuration: time.Millisecond,
	})
	if err := up.Start(); err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	awaitReady(t, entry)

	req, err := http.NewRequest("POST", "http://"+entry.HTTPAddr()+"/v1/jobs", strings.NewReader(`{"team":"t","tasks":[{},{}]}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(telemetry.TraceparentHeader, "00-"+traceID+"-"+callerSpan+"-01")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("the job was answered with status %d, want 200", resp.StatusCode)
	}
	stopEntry()
	stopAgent()
}

// checkSpanTree checks the spans of runTracedJob: the span of the entry is a child of
// the caller's, and each further span is a child of one of the previous process or
// call.
func checkSpanTree(t *testing.T, spans map[string][]span) {
	t.Helper()
	parents := map[string]bool{callerSpan: true}
	hops := []struct {
		name  string
		count int
	}{
		{telemetry.SpanEntry, 1},
		{telemetry.SpanHome, 1},
		{telemetry.SpanExecutor, 2},
		{telemetry.SpanUpstream, 2},
	}
	for _, hop := range hops {
		if len(spans[hop.name]) != hop.count {
			t.Fatalf("got %d spans with name %s, want %d", len(spans[hop.name]), hop.name, hop.count)
		}
		next := make(map[string]bool)
		for _, s := range spans[hop.name] {
			if s.SpanContext.TraceID != traceID || !parents[s.Parent.SpanID] {
				t.Errorf("span %s has trace %s and parent %s, want one of %v", s.Name, s.SpanContext.TraceID, s.Parent.SpanID, parents)
			}
			next[s.SpanContext.SpanID] = true
		}
		parents = next
	}
}
