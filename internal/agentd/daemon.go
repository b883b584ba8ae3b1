package agentd

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/follow"
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
	ErrKilled = errors.New("the agent was killed")
	// ErrGraceExpired means that tasks or jobs were still in flight at the end of the grace time.
	ErrGraceExpired = errors.New("the grace time ended with work in flight")
)

// Daemon runs one agent. Its exported methods are safe for concurrent use.
type Daemon struct {
	cfg       Config
	self      node.Ref
	logs      *telemetry.Logger
	metrics   *telemetry.Metrics
	tracer    *telemetry.Tracer
	core      *agent.Core
	loop      *process.Loop
	transport *transport.Transport
	stream    *follow.Stream
	http      *httpserver.Server
	upstreams upstreams
	tasks     *taskRunner
	spans     homeSpans

	lastState  atomic.Pointer[coreState]
	lastScrape atomic.Pointer[Status]
	// messagesSent is the number of messages passed to the transport.
	messagesSent atomic.Uint64
	draining     atomic.Bool
	// tasksCutOff is the number of tasks that were running when Kill aborted them.
	tasksCutOff atomic.Int64
	drained     *lifecycle.Signal
	killed      *lifecycle.Signal
}

// New creates an agent and opens its sockets. The caller must call Run or Kill next.
func New(cfg Config) (*Daemon, error) {
	tracer, err := telemetry.NewTracer(cfg.Settings.Trace, settings.RoleAgent, cfg.Settings.Node.ID)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		cfg:     cfg,
		self:    node.Ref{ID: cfg.Settings.Node.ID, Incarnation: node.Incarnation(lifecycle.RandomNumber())},
		logs:    telemetry.NewLogger("agent"),
		metrics: telemetry.NewMetrics(),
		tracer:  tracer,
		tasks:   newTaskRunner(),
		spans:   homeSpans{tracer: tracer, open: make(map[submissionKey]telemetry.Span)},
		drained: lifecycle.NewSignal(),
		killed:  lifecycle.NewSignal(),
	}
	d.loop = process.NewLoop(loop.Config[step.Event, step.Action]{
		Step:          d.step,
		Execute:       d.execute,
		BeforeActions: d.publishCoreState,
	})
	d.upstreams.mono = d.loop.Mono
	if err := d.listen(); err != nil {
		d.Kill()
		return nil, err
	}
	d.core = agent.New(cfg.coreConfig(d.self, d.transport.Addr()))
	d.followLog()
	d.registerGauges()
	return d, nil
}

// listen opens the sockets of the transport and of the HTTP interface.
func (d *Daemon) listen() error {
	s := d.cfg.Settings
	var err error
	d.transport, err = transport.Listen(transport.Config{
		Self:     d.self,
		Listen:   s.Listen.Transport.String(),
		Handler:  process.Handler{Loop: d.loop},
		Annotate: d.annotate,
		Delay:    d.cfg.LinkDelay,
		Cut:      d.cfg.LinkCut,
		Refused:  d.cfg.LinkRefused,

		RefusalLimit: process.RefusalLimit,
	})
	if err != nil {
		return err
	}
	d.http, err = httpserver.Listen(httpserver.Config{
		Listen:     s.Listen.Upstream.String(),
		Handler:    d.handler(),
		BodyMemory: httpserver.NewBodyMemory(announcementMemory),
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
		Wait:    min(follow.DefaultWait, d.cfg.Settings.Timing.Lease/3),
		Offset:  d.offset,
		Synced:  d.synced,
		Mono:    d.loop.Mono,
		Deliver: d.loop.PostWait,
		Peers:   d.transport,
		Seeds:   d.cfg.Settings.Peers.Seeds,
		Logs:    d.logs,
		Metrics: d.metrics,
	})
}

// step passes one event to the core and returns the core's actions.
func (d *Daemon) step(now clock.Now, event step.Event) []step.Action {
	if e, ok := event.(step.Received); ok {
		d.spans.startSubmitted(&e.Envelope)
	}
	return d.core.Step(now, event)
}

// Self identifies this incarnation of the agent.
func (d *Daemon) Self() node.Ref { return d.self }

// Addr returns the IP:port of the transport.
func (d *Daemon) Addr() string { return d.transport.Addr() }

// HTTPAddr returns the IP:port of the HTTP interface for upstreams, metrics, health
// and readiness.
func (d *Daemon) HTTPAddr() string { return d.http.Addr() }

// Kill stops the daemon at once. It aborts the running tasks and completes no job. It
// closes the transport last, because connections that are refused for long tell the other
// processes that this incarnation can start no further task.
func (d *Daemon) Kill() {
	d.tasksCutOff.CompareAndSwap(0, int64(d.tasks.count()))
	d.killed.Set()
	d.tasks.stop()
	if d.http != nil {
		_ = d.http.Close()
	}
	if d.transport != nil {
		_ = d.transport.Close()
	}
}

// Run serves until ctx ends and the tasks and jobs in flight have completed. It then
// returns nil. It returns ErrGraceExpired after the grace time and ErrKilled after Kill.
func (d *Daemon) Run(ctx context.Context) error {
	d.logs.Info("started", "id", d.self.ID, "http", d.HTTPAddr(), "transport", d.Addr())
	actors := append(d.stream.Actors(), d.loop.Run, d.transport.Run)
	err := lifecycle.Serve(func() error { return d.leave(ctx) }, d.Kill, actors, d.http)
	if err := lifecycle.WithTimeout(process.TracerTimeout, d.tracer.Shutdown); err != nil {
		d.logs.Error(err, "could not export the last spans")
	}
	d.logs.Info("stopped", "id", d.self.ID)
	return err
}
