package entryd

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/follow"
	"github.com/dogwoodgauge/dogwoodgauge/internal/handover"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loop"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Errors of Run.
var (
	// ErrKilled means that Kill stopped the daemon.
	ErrKilled = errors.New("the entry was killed")
	// ErrGraceExpired means that calls were still unanswered at the end of the grace time.
	ErrGraceExpired = errors.New("the grace time ended with calls in flight")
)

// Daemon runs one entry. Its exported methods are safe for concurrent use.
type Daemon struct {
	cfg       Config
	self      node.Ref
	logs      *telemetry.Logger
	metrics   *telemetry.Metrics
	tracer    *telemetry.Tracer
	core      *entry.Core
	loop      *process.Loop
	transport *transport.Transport
	stream    *follow.Stream
	api       *httpserver.Server
	monitor   *httpserver.Server
	calls     process.PendingCalls[result]
	// readOffsets may be used only on the goroutine of the loop.
	readOffsets readOffsets

	// offset is the core's offset after the last batch of events.
	offset atomic.Int64
	// unsynced is true while the core lacks records before offset.
	unsynced atomic.Bool
	// agentsAtLastScrape is the number of known agents at the last scrape.
	agentsAtLastScrape atomic.Int64
	draining           atomic.Bool
	// callsCutOff is the number of calls that were unanswered when Kill ended them.
	callsCutOff atomic.Int64
	drained     *lifecycle.Signal
	killed      *lifecycle.Signal
}

// New creates an entry and opens its sockets. The caller must call Run or Kill next.
func New(cfg Config) (*Daemon, error) {
	if path := string(cfg.Settings.Access.KeyFile); path != "" {
		if _, err := handover.ReadKey(path); err != nil {
			return nil, err
		}
	}
	tracer, err := telemetry.NewTracer(cfg.Settings.Trace, settings.RoleEntry, cfg.Settings.Node.ID)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		cfg:         cfg,
		self:        node.Ref{ID: cfg.Settings.Node.ID, Incarnation: node.Incarnation(lifecycle.RandomNumber())},
		logs:        telemetry.NewLogger("entry"),
		metrics:     telemetry.NewMetrics(),
		tracer:      tracer,
		drained:     lifecycle.NewSignal(),
		killed:      lifecycle.NewSignal(),
		readOffsets: make(readOffsets),
	}
	d.loop = process.NewLoop(loop.Config[step.Event, step.Action]{
		Step:          d.step,
		Execute:       d.execute,
		BeforeActions: d.publishCoreState,
	})
	if err := d.listen(); err != nil {
		d.closeSockets()
		return nil, err
	}
	d.core = entry.New(cfg.coreConfig(d.self, d.transport.Addr()))
	d.followLog()
	d.registerGauges()
	return d, nil
}

// listen opens the sockets of the transport, of the HTTP interface for callers and of
// the one for operators.
func (d *Daemon) listen() error {
	s := d.cfg.Settings
	var err error
	d.transport, err = transport.Listen(transport.Config{
		Self:     d.self,
		Listen:   s.Listen.Transport.String(),
		Handler:  process.Handler{Loop: d.loop},
		Annotate: func(env *message.Envelope) { env.Offset = d.offset.Load() },
		Delay:    d.cfg.LinkDelay,
		Cut:      d.cfg.LinkCut,
		Refused:  d.cfg.LinkRefused,

		RefusalLimit: process.RefusalLimit,
	})
	if err != nil {
		return err
	}
	var certificate *httpserver.Certificate
	if s.TLS.Certificate != "" {
		certificate, err = httpserver.LoadCertificate(string(s.TLS.Certificate), string(s.TLS.Key))
		if err != nil {
			return err
		}
	}
	bodies := httpserver.NewBodyMemory(s.Limits.BodyMemoryBytes())
	d.api, err = httpserver.Listen(httpserver.Config{
		Certificate:    certificate,
		Listen:         s.Listen.HTTP.String(),
		Handler:        d.apiHandler(),
		MaxConnections: s.Limits.MaxConnections(),
		HeaderTimeout:  s.Limits.HeaderTime,
		BodyMemory:     bodies,
		Metrics:        d.metrics,
		Logs:           d.logs,
	})
	if err != nil {
		return err
	}
	d.monitor, err = httpserver.Listen(httpserver.Config{
		Listen:     s.Listen.Metrics.String(),
		Handler:    d.monitorHandler(),
		BodyMemory: bodies,
		Metrics:    d.metrics,
		Logs:       d.logs,
	})
	return err
}

// followLog creates the stream that reads the control stream for the core and
// appends the core's records to it.
func (d *Daemon) followLog() {
	d.stream = follow.NewStream(follow.StreamConfig{
		Log:     d.cfg.LogClient(d.cfg.Settings.Log),
		Name:    d.cfg.Settings.Log.Stream,
		Offset:  d.offset.Load,
		Synced:  func() bool { return !d.unsynced.Load() },
		Mono:    d.loop.Mono,
		Deliver: d.loop.PostWait,
		Peers:   d.transport,
		Seeds:   d.cfg.Settings.Peers.Seeds,
		Logs:    d.logs,
		Metrics: d.metrics,
	})
}

// apiHandler returns the handler of the HTTP interface for callers.
func (d *Daemon) apiHandler() http.Handler {
	return httpapi.New(httpapi.Config{
		Service: d,
		Limits:  d.cfg.apiLimits(),
		Metrics: d.metrics,
		Tracer:  d.tracer,
		Now:     func() int64 { return time.Now().UnixMilli() },
	})
}

// monitorHandler returns the handler of the HTTP interface for operators: handovers
// of records, metrics and health.
func (d *Daemon) monitorHandler() http.Handler {
	router := httpserver.NewRouter(d.metrics)
	router.POST(PublishedPath, d.handleHandover)
	httpserver.AddHealthRoutes(router, d.Ready, d.WriteMetrics)
	return router
}

// publishCoreState stores the offset of the core, and whether it lacks records before
// it, for the other goroutines.
func (d *Daemon) publishCoreState() {
	d.offset.Store(d.core.Offset())
	d.unsynced.Store(!d.core.Synced())
}

// step passes one event to the core and returns the core's actions.
func (d *Daemon) step(now clock.Now, event step.Event) []step.Action {
	if e, ok := event.(step.Received); ok {
		d.readOffsets.record(e.Envelope.From, e.Envelope.Offset)
	}
	return d.core.Step(now, event)
}

// Self identifies this incarnation of the entry.
func (d *Daemon) Self() node.Ref { return d.self }

// Addr returns the IP:port of the transport.
func (d *Daemon) Addr() string { return d.transport.Addr() }

// HTTPAddr returns the IP:port of the HTTP interface for callers.
func (d *Daemon) HTTPAddr() string { return d.api.Addr() }

// MetricsAddr returns the IP:port of the HTTP interface for operators: handovers of
// records, metrics, health and readiness.
func (d *Daemon) MetricsAddr() string { return d.monitor.Addr() }

// Kill stops the daemon at once. It closes all connections and leaves open calls
// unanswered.
func (d *Daemon) Kill() {
	d.callsCutOff.CompareAndSwap(0, int64(d.calls.Count()))
	d.killed.Set()
	d.closeSockets()
}

func (d *Daemon) closeSockets() {
	for _, s := range []*httpserver.Server{d.api, d.monitor} {
		if s != nil {
			_ = s.Close()
		}
	}
	if d.transport != nil {
		_ = d.transport.Close()
	}
}

// Run serves until ctx ends and every call in flight is answered. It then returns
// nil. It returns ErrGraceExpired after the grace time and ErrKilled after Kill.
func (d *Daemon) Run(ctx context.Context) error {
	d.logs.Info("started", "id", d.self.ID, "http", d.HTTPAddr(), "transport", d.Addr())
	actors := append(d.stream.Actors(), d.loop.Run, d.transport.Run)
	err := lifecycle.Serve(func() error { return d.leave(ctx) }, d.Kill, actors, d.api, d.monitor)
	if err := lifecycle.WithTimeout(process.TracerTimeout, d.tracer.Shutdown); err != nil {
		d.logs.Error(err, "could not export the last spans")
	}
	d.logs.Info("stopped", "id", d.self.ID)
	return err
}
