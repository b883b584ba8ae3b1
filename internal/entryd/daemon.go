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
	"github.com/dogwoodgauge/dogwoodgauge/internal/follow"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loop"
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

	errStopped = errors.New("the entry has stopped")
)

// Daemon is one entry. Its methods are safe for concurrent use.
type Daemon struct {
	cfg       Config
	self      node.Ref
	logs      *telemetry.Logger
	metrics   *telemetry.Metrics
	tracer    *telemetry.Tracer
	core      *entry.Core
	loop      *loop.Loop[entry.Event, entry.Action]
	transport *transport.Transport
	reader    *follow.Reader
	appender  *follow.Appender
	api       *httpserver.Server
	monitor   *httpserver.Server
	calls     calls
	// reached belongs to the goroutine of the loop.
	reached reached

	// offset is the core's offset after the last batch of events.
	offset atomic.Int64
	// members is the number of known agents at the last scrape.
	members  atomic.Int64
	draining atomic.Bool
	// cut is the number of calls that a kill cut off.
	cut atomic.Int64
	// hasRead says that the log has answered.
	hasRead atomic.Bool
	drained *lifecycle.Signal
	killed  *lifecycle.Signal
}

// New opens the sockets of an entry. Run must be called next, or Kill.
func New(cfg Config) (*Daemon, error) {
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
	d.loop = loop.New(loop.Config[entry.Event, entry.Action]{
		Step:    d.step,
		Do:      d.do,
		Stepped: func() { d.offset.Store(d.core.Offset()) },
		Tick:    entry.Tick{},
		Queue:   eventQueue,
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
		Handler:  handler{d},
		Annotate: func(env *message.Envelope) { env.Offset = d.offset.Load() },
		Delay:    d.cfg.Delay,
		Cut:      d.cfg.Cut,
	})
	if err != nil {
		return err
	}
	d.api, err = httpserver.Listen(httpserver.Config{
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
	log, stream := d.cfg.log(), d.cfg.Settings.Log.Stream
	d.appender = follow.NewAppender(log, stream, d.logs, d.metrics)
	d.reader = &follow.Reader{
		Log:     log,
		Stream:  stream,
		Offset:  d.offset.Load,
		Mono:    d.loop.Mono,
		Wait:    follow.DefaultWait,
		Logs:    d.logs,
		Metrics: d.metrics,
		Deliver: func(r follow.Read) bool {
			d.hasRead.Store(true)
			return d.loop.PostWait(entry.LogRead{
				From: r.From, Records: r.Records, End: r.End, Oldest: r.Oldest, AskedAt: r.AskedAt,
			})
		},
	}
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

// seeds returns what asks known agents for the configuration.
func (d *Daemon) seeds() *follow.Seeds {
	return &follow.Seeds{
		Peers:    d.transport,
		Addrs:    d.cfg.Settings.Peers.Seeds,
		Logs:     d.logs,
		Informed: d.informed,
	}
}

// informed reports whether anything of the control stream has come, be it that
// it is empty.
func (d *Daemon) informed() bool { return d.hasRead.Load() || d.offset.Load() > 0 }

// step hands one event to the core.
func (d *Daemon) step(now clock.Now, event entry.Event) []entry.Action {
	if e, ok := event.(entry.Received); ok {
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
	d.cut.CompareAndSwap(0, int64(d.calls.count()))
	d.killed.Give()
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
	actors := []func(context.Context) error{
		d.loop.Run, d.transport.Run, d.reader.Run, d.seeds().Run, d.appender.Run,
	}
	err := lifecycle.Serve(func() error { return d.leave(ctx) }, d.Kill, actors, d.api, d.monitor)
	if err := lifecycle.Bounded(tracerTime, d.tracer.Shutdown); err != nil {
		d.logs.Error(err, "exporting the last spans failed")
	}
	d.logs.Info("stopped", "id", d.self.ID)
	return err
}
