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

// Errors of Run and of calls.
var (
	// ErrKilled says that Kill ended the daemon.
	ErrKilled = errors.New("the entry was killed")
	// ErrCut says that the grace time ended before every call was answered.
	ErrCut = errors.New("the grace time ended with calls in flight")
)

// Daemon is one entry. Its methods are safe for concurrent use.
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
	calls     process.Calls[result]
	// reached belongs to the goroutine of the loop.
	reached reached

	// offset is the core's offset after the last batch of events.
	offset atomic.Int64
	// unsynced says that the core misses records before offset.
	unsynced atomic.Bool
	// members is the number of known agents at the last scrape.
	members  atomic.Int64
	draining atomic.Bool
	// cut is the number of calls that a kill cut off.
	cut     atomic.Int64
	drained *lifecycle.Signal
	killed  *lifecycle.Signal
}

// New opens the sockets of an entry. Run must be called next, or Kill.
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
		cfg:     cfg,
		self:    node.Ref{ID: cfg.Settings.Node.ID, Incarnation: node.Incarnation(lifecycle.RandomNumber())},
		logs:    telemetry.Part("entry"),
		metrics: telemetry.NewMetrics(),
		tracer:  tracer,
		drained: lifecycle.NewSignal(),
		killed:  lifecycle.NewSignal(),
		reached: make(reached),
	}
	d.loop = process.NewLoop(loop.Config[step.Event, step.Action]{
		Step:          d.step,
		Execute:       d.do,
		BeforeActions: d.stepped,
	})
	if err := d.listen(); err != nil {
		d.closeSockets()
		return nil, err
	}
	d.core = entry.New(cfg.core(d.self, d.transport.Addr()))
	d.followLog()
	d.registerGauges()
	return d, nil
}

// listen opens the sockets.
func (d *Daemon) listen() error {
	s := d.cfg.Settings
	var err error
	d.transport, err = transport.Listen(transport.Config{
		Self:     d.self,
		Listen:   s.Listen.Transport.String(),
		Handler:  process.Handler{Loop: d.loop},
		Annotate: func(env *message.Envelope) { env.Offset = d.offset.Load() },
		Delay:    d.cfg.Delay,
		Cut:      d.cfg.Cut,
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
	d.api, err = httpserver.Listen(httpserver.Config{
		Certificate:    certificate,
		Listen:         s.Listen.HTTP.String(),
		Handler:        d.apiHandler(),
		MaxConnections: s.Limits.Connections,
		HeaderTime:     s.Limits.HeaderTime,
	})
	if err != nil {
		return err
	}
	d.monitor, err = httpserver.Listen(httpserver.Config{
		Listen:  s.Listen.Metrics.String(),
		Handler: d.monitorHandler(),
	})
	return err
}

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

func (d *Daemon) apiHandler() http.Handler {
	return httpapi.New(httpapi.Config{
		Service: d,
		Limits:  d.cfg.limits(),
		Metrics: d.metrics,
		Tracer:  d.tracer,
		Now:     func() int64 { return time.Now().UnixMilli() },
	})
}

func (d *Daemon) monitorHandler() http.Handler {
	router := httpserver.NewRouter(d.metrics)
	router.POST(PublishedPath, d.takePublished)
	httpserver.Health(router, d.Ready, d.WriteMetrics)
	return router
}

// stepped makes how far the core has come known.
func (d *Daemon) stepped() {
	d.offset.Store(d.core.Offset())
	d.unsynced.Store(!d.core.Synced())
}

// step hands one event to the core.
func (d *Daemon) step(now clock.Now, event step.Event) []step.Action {
	if e, ok := event.(step.Received); ok {
		d.reached.heard(e.Envelope.From, e.Envelope.Offset)
	}
	return d.core.Step(now, event)
}

// Self returns the name of this run.
func (d *Daemon) Self() node.Ref { return d.self }

// Addr returns the IP:port of the transport.
func (d *Daemon) Addr() string { return d.transport.Addr() }

// HTTPAddr returns the IP:port of the callers' interface.
func (d *Daemon) HTTPAddr() string { return d.api.Addr() }

// MetricsAddr returns the IP:port of metrics, health and readiness.
func (d *Daemon) MetricsAddr() string { return d.monitor.Addr() }

// Kill stops the daemon at once: connections are cut and nothing is finished.
func (d *Daemon) Kill() {
	d.cut.CompareAndSwap(0, int64(d.calls.Count()))
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

// Run serves until ctx ends and every call that came before is answered. It
// returns nil after a whole stop, and ErrCut or ErrKilled otherwise.
func (d *Daemon) Run(ctx context.Context) error {
	d.logs.Info("started", "id", d.self.ID, "http", d.HTTPAddr(), "transport", d.Addr())
	actors := append(d.stream.Actors(), d.loop.Run, d.transport.Run)
	err := lifecycle.Serve(func() error { return d.leave(ctx) }, d.Kill, actors, d.api, d.monitor)
	if err := lifecycle.WithTimeout(process.TracerTime, d.tracer.Shutdown); err != nil {
		d.logs.Error(err, "exporting the last spans failed")
	}
	d.logs.Info("stopped", "id", d.self.ID)
	return err
}
