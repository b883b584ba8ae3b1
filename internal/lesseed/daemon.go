// Package lesseed runs an agent beside an upstream that runs tasks under leases: it
// joins the core of package lessee to the upstream, to the dispatchers and to the
// platform's store.
package lesseed

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loop"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/sitestore"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Errors of Run.
var (
	// ErrKilled says that Kill ended the daemon.
	ErrKilled = errors.New("the agent was killed")
	// ErrCut says that the grace time ended with runs in flight.
	ErrCut = errors.New("the grace time ended with runs in flight")
)

// Upstream carries calls to the upstream beside the agent. Implementations are safe
// for concurrent use.
type Upstream interface {
	// Start starts a run. It returns the upstream's clock, or zero.
	Start(ctx context.Context, a lessee.StartRun) (lessee.CallResult, time.Duration)
	// Stop stops a run.
	Stop(ctx context.Context, a lessee.StopRun) lessee.CallResult
	// Poll reads the upstream's lists of runs. Renewal and SentAt are not set.
	Poll(ctx context.Context, a lessee.Poll) lessee.PollCompleted
}

// AnnouncementReceiver receives the announcements of an upstream.
type AnnouncementReceiver interface {
	Announce(a lessee.Announcement)
	Withdraw(id string)
}

// Platform is what an agent needs of the platform it runs on.
type Platform struct {
	// Operators holds the operators' records, Agents the agents' addresses, and
	// Upstreams what agents have noted of their upstreams.
	Operators, Agents, Upstreams sitestore.Topic
	// DecodeSite returns the published state in the operators' records.
	DecodeSite sitestore.Decode
	// Upstream calls the upstream.
	Upstream Upstream
	// Announcements returns the handler of the upstream's announcements.
	Announcements func(AnnouncementReceiver) http.Handler
}

// Config holds the settings of a Daemon.
type Config struct {
	Settings settings.Lessee
	Platform Platform
}

// siteWait is how long a read of the operators' records waits. Dispatchers tell
// agents of changes; their own reads only back that up.
const siteWait = 10 * time.Second

// Daemon is one agent. Its methods are safe for concurrent use.
type Daemon struct {
	cfg       Config
	self      node.Ref
	logs      *telemetry.Logger
	metrics   *telemetry.Metrics
	core      *lessee.Core
	loop      *process.Loop
	transport *transport.Transport
	announced *httpserver.Server
	monitor   *httpserver.Server
	calls     context.Context
	draining  atomic.Bool
	timing    atomic.Pointer[settings.LeasedTiming]
	drained   *lifecycle.Signal
	killed    *lifecycle.Signal
	// notes holds the newest announcement that is to be noted.
	notes chan lessee.Announcement
}

// New opens the sockets of an agent. Run must be called next, or Kill.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg:     cfg,
		self:    node.Ref{ID: cfg.Settings.Node.ID, Incarnation: node.Incarnation(lifecycle.RandomNumber())},
		logs:    telemetry.NewLogger("agent"),
		metrics: telemetry.NewMetrics(),
		drained: lifecycle.NewSignal(),
		killed:  lifecycle.NewSignal(),
		notes:   make(chan lessee.Announcement, 1),
	}
	d.Apply(cfg.Settings)
	d.core = lessee.New(lessee.Config{Token: time.Now().UnixMilli()})
	d.loop = process.NewLoop(loop.Config[step.Event, step.Action]{
		Step: d.core.Step, Execute: d.do, Clock: loop.BootClock(),
	})
	if err := d.listen(); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	s := d.cfg.Settings
	var err error
	d.transport, err = transport.Listen(transport.Config{
		Self: d.self, Listen: s.Listen.Transport.String(), Handler: process.Handler{Loop: d.loop},
	})
	if err != nil {
		return err
	}
	d.announced, err = httpserver.Listen(httpserver.Config{
		Listen: s.Listen.Announcements.String(), Handler: d.cfg.Platform.Announcements(d),
	})
	if err != nil {
		return err
	}
	router := httpserver.NewRouter(d.metrics)
	httpserver.AddHealthRoutes(router, d.Ready, d.WriteMetrics)
	d.monitor, err = httpserver.Listen(httpserver.Config{Listen: s.Listen.Metrics.String(), Handler: router})
	return err
}

// Announce implements AnnouncementReceiver.
func (d *Daemon) Announce(a lessee.Announcement) {
	d.loop.PostWait(lessee.Announced{Announcement: a})
}

// Withdraw implements AnnouncementReceiver.
func (d *Daemon) Withdraw(id string) { d.loop.PostWait(lessee.Withdrawn{ID: id}) }

// Apply takes the settings that may change while the process runs: its memory and
// the times of a planned stop. The others take a restart.
func (d *Daemon) Apply(s settings.Lessee) {
	debug.SetMemoryLimit(process.HeapLimit(int64(s.Limits.Memory)))
	d.timing.Store(&s.Timing)
}

// Addr returns the IP:port of the transport.
func (d *Daemon) Addr() string { return d.transport.Addr() }

// Metrics returns the registry of the daemon's metrics.
func (d *Daemon) Metrics() *telemetry.Metrics { return d.metrics }

// Kill stops the daemon at once. Runs at the upstream end with their lease.
func (d *Daemon) Kill() {
	d.killed.Set()
	for _, s := range []*httpserver.Server{d.announced, d.monitor} {
		if s != nil {
			_ = s.Close()
		}
	}
	if d.transport != nil {
		_ = d.transport.Close()
	}
}

// Run serves until ctx ends and what runs has ended. It returns nil after a whole
// stop, and ErrCut or ErrKilled otherwise.
func (d *Daemon) Run(ctx context.Context) error {
	d.logs.Info("started", "id", d.self.String(), "announcements", d.announced.Addr(), "transport", d.transport.Addr())
	calls, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.calls = calls
	actors := []func(context.Context) error{d.loop.Run, d.transport.Run, d.followSite().Run, d.register, d.remember}
	err := lifecycle.Serve(func() error { return d.leave(ctx) }, d.Kill, actors, d.announced, d.monitor)
	d.logs.Info("stopped", "id", d.self.String(), "err", err)
	return err
}

// register publishes the address of the agent, then waits for the end of ctx.
func (d *Daemon) register(ctx context.Context) error {
	s := d.cfg.Settings
	record := sitestore.Agent{ID: s.Node.ID, Addr: netip.MustParseAddrPort(d.transport.Addr()), Domain: s.Node.Domain}
	if err := sitestore.PutWithRetry(ctx, d.cfg.Platform.Agents, "address", string(s.Node.ID), record.Encode(), d.logs); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (d *Daemon) followSite() *sitestore.Follower {
	p := d.cfg.Platform
	return sitestore.FollowSite(p.Operators, p.DecodeSite, siteWait, d.logs, func(s *site.State) {
		d.loop.Post(lessee.SiteChanged{State: s})
	})
}

// leave waits for the end of ctx, then lets the runs end.
func (d *Daemon) leave(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.killed.Done():
		return ErrKilled
	}
	d.draining.Store(true)
	d.logs.Info("leaving")
	d.loop.Post(step.Drain{})
	grace := time.NewTimer(d.timing.Load().Grace)
	defer grace.Stop()
	select {
	case <-d.drained.Done():
		lifecycle.Wait(flushTime, d.killed.Done())
		return nil
	case <-d.killed.Done():
		return ErrKilled
	case <-grace.C:
		d.logs.Info("runs cut off at the end of the grace time")
		return ErrCut
	}
}

// flushTime lets the last messages be written.
const flushTime = 50 * time.Millisecond

// Ready returns nil when the upstream takes work, or the reason why not.
func (d *Daemon) Ready() error {
	if d.draining.Load() {
		return process.ErrLeaving
	}
	s, err := process.Probe(d.Snapshot)
	if err != nil {
		return err
	}
	if !s.Ready {
		return errors.New("the upstream takes no work")
	}
	return nil
}

// Snapshot returns the state of the core.
func (d *Daemon) Snapshot(ctx context.Context) (lessee.Stats, error) {
	return process.Snapshot(ctx, d.loop, d.core.Stats)
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (d *Daemon) WriteMetrics(w io.Writer) {
	process.WriteMetrics(w, d.metrics, d.Snapshot, func(s lessee.Stats) {
		ready := 0.0
		if s.Ready {
			ready = 1
		}
		d.metrics.SetGauge(telemetry.UpstreamReady, ready)
		d.metrics.SetGauge(telemetry.RunsOpen, float64(s.Runs))
		d.metrics.SetGauge(telemetry.CapacityInUse, float64(s.Used.MilliCPU))
		d.metrics.SetGauge(telemetry.TotalCapacity, float64(s.Capacity.MilliCPU))
		d.metrics.SetGauge(telemetry.SiteRevision, float64(s.Revision))
		process.CollectCounts(d.metrics, nil, d.transport.Stats())
	})
}
