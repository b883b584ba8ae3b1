// Package lesseed runs an agent whose local upstream runs tasks under leases. It connects
// the core in package lessee with the upstream, the dispatchers and the platform's
// store.
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
	// ErrKilled is returned if Kill stopped the daemon.
	ErrKilled = errors.New("the agent was killed")
	// ErrGraceExpired is returned if the grace time ended before all runs had completed.
	ErrGraceExpired = errors.New("the grace time ended with runs in flight")
)

// Upstream is a client of the agent's local upstream. Implementations are safe for
// concurrent use.
type Upstream interface {
	// Start starts a run. It returns the reading of the upstream's clock, or zero if it
	// is unknown.
	Start(ctx context.Context, a lessee.StartRun) (lessee.CallResult, time.Duration)
	// Stop stops a run.
	Stop(ctx context.Context, a lessee.StopRun) lessee.CallResult
	// Poll reads the upstream's active and completed runs. It leaves Renewal, SentAt,
	// Token and AcknowledgedUpTo of the result for the caller to set.
	Poll(ctx context.Context, a lessee.Poll) lessee.PollCompleted
}

// AnnouncementReceiver receives the announcements of an upstream, and their withdrawal.
type AnnouncementReceiver interface {
	Announce(a lessee.Announcement)
	Withdraw(id string)
	// Ignore records that an announcement of this upstream was refused, and why.
	Ignore(id string, reason error)
}

// Platform holds the parts of an agent that depend on the platform.
type Platform struct {
	// Operators is the topic of the operators' records, Agents that of the agents'
	// addresses, and Upstreams that of the announcements that agents persist.
	Operators, Agents, Upstreams sitestore.Topic
	// DecodeSite decodes the published state from the operators' records.
	DecodeSite sitestore.Decode
	// Upstream is a client of the local upstream.
	Upstream Upstream
	// Announcements returns the HTTP handler that passes the upstream's announcements to
	// a receiver.
	Announcements func(AnnouncementReceiver) http.Handler
}

// Config holds the settings of a Daemon.
type Config struct {
	Settings settings.Lessee
	Platform Platform
}

// siteReadWait bounds a long poll for the operators' records. It can be long, because
// agents normally receive changes from dispatchers; their own reads are a fallback.
const siteReadWait = 10 * time.Second

// localConnections bounds the open connections of the upstream, and of operators.
const localConnections = 128

// Daemon is one agent. Its methods are safe for concurrent use.
type Daemon struct {
	cfg       Config
	self      node.Ref
	logs      *telemetry.Logger
	metrics   *telemetry.Metrics
	core      *lessee.Core
	loop      *process.Loop
	transport *transport.Transport
	// announcements is the server that receives the announcements of the upstream.
	announcements *httpserver.Server
	monitor       *httpserver.Server
	// callContext is the parent context of calls to the upstream. It ends with Run.
	callContext context.Context
	// calls holds the start and stop calls to the upstream.
	calls    callQueue
	draining atomic.Bool
	// timing holds the times of a planned stop.
	timing atomic.Pointer[settings.LeasedTiming]
	// drained is set when the core has no more runs. Kill sets killed.
	drained *lifecycle.Signal
	killed  *lifecycle.Signal
	// toPersist holds the newest announcement that is not yet persisted.
	toPersist chan lessee.Announcement
}

// New opens the sockets of an agent. Run must be called next, or Kill.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg:       cfg,
		self:      node.Ref{ID: cfg.Settings.Node.ID, Incarnation: node.Incarnation(lifecycle.RandomNumber())},
		logs:      telemetry.NewLogger("agent"),
		metrics:   telemetry.NewMetrics(),
		drained:   lifecycle.NewSignal(),
		killed:    lifecycle.NewSignal(),
		toPersist: make(chan lessee.Announcement, 1),
		calls:     callQueue{limit: maxCalls},
	}
	d.Apply(cfg.Settings)
	d.core = lessee.New(lessee.Config{
		Token: time.Now().UnixMilli(), LearnCapacity: cfg.Settings.Upstream.LearnCapacity, RefuseFailing: cfg.Settings.Upstream.RefuseFailing,
	})
	d.loop = process.NewLoop(loop.Config[step.Event, step.Action]{
		Step: d.core.Step, Execute: d.execute, Clock: loop.BootClock(),
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
	d.announcements, err = httpserver.Listen(httpserver.Config{
		Listen: s.Listen.Announcements.String(), Handler: d.cfg.Platform.Announcements(d), MaxConnections: localConnections,
		BodyMemory: httpserver.NewBodyMemory(s.Limits.BodyMemoryBytes()), Metrics: d.metrics, Logs: d.logs,
	})
	if err != nil {
		return err
	}
	router := httpserver.NewRouter(d.metrics)
	httpserver.AddHealthRoutes(router, d.Ready, d.WriteMetrics)
	d.monitor, err = httpserver.Listen(httpserver.Config{
		Listen: s.Listen.Metrics.String(), Handler: router, MaxConnections: localConnections, Metrics: d.metrics, Logs: d.logs,
	})
	return err
}

// Announce implements AnnouncementReceiver.
func (d *Daemon) Announce(a lessee.Announcement) {
	d.loop.PostWait(lessee.Announced{Announcement: a})
}

// Withdraw implements AnnouncementReceiver.
func (d *Daemon) Withdraw(id string) { d.loop.PostWait(lessee.Withdrawn{ID: id}) }

// maxLoggedBytes bounds the part of a foreign text that a log line repeats.
const maxLoggedBytes = 256

// Ignore implements AnnouncementReceiver.
func (d *Daemon) Ignore(id string, reason error) {
	text := reason.Error()
	d.logs.Info("announcement ignored", "upstream", id[:min(len(id), maxLoggedBytes)], "reason", text[:min(len(text), maxLoggedBytes)])
}

// Apply applies the settings that can change while the process runs: its memory limit and
// the times of a planned stop. Changes of other settings need a restart.
func (d *Daemon) Apply(s settings.Lessee) {
	debug.SetMemoryLimit(process.HeapLimit(int64(s.Limits.Memory), localConnections))
	d.timing.Store(&s.Timing)
}

// Addr returns the IP:port of the transport.
func (d *Daemon) Addr() string { return d.transport.Addr() }

// Metrics returns the registry of the daemon's metrics.
func (d *Daemon) Metrics() *telemetry.Metrics { return d.metrics }

// Kill stops the daemon at once. Active runs at the upstream lapse when their lease
// expires.
func (d *Daemon) Kill() {
	d.killed.Set()
	for _, s := range []*httpserver.Server{d.announcements, d.monitor} {
		if s != nil {
			_ = s.Close()
		}
	}
	if d.transport != nil {
		_ = d.transport.Close()
	}
}

// Run serves until ctx ends, then stops after all runs have completed. It returns nil after
// a complete planned stop, and ErrGraceExpired or ErrKilled otherwise.
func (d *Daemon) Run(ctx context.Context) error {
	d.logs.Info("started", "id", d.self.String(), "announcements", d.announcements.Addr(), "transport", d.transport.Addr())
	callContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.callContext = callContext
	actors := []func(context.Context) error{d.loop.Run, d.transport.Run, d.followSite().Run, d.publishAddress, d.restoreAndPersist}
	err := lifecycle.Serve(func() error { return d.leave(ctx) }, d.Kill, actors, d.announcements, d.monitor)
	d.logs.Info("stopped", "id", d.self.String(), "err", err)
	return err
}

// publishAddress puts the agent's address into the store, then waits for the end of ctx.
func (d *Daemon) publishAddress(ctx context.Context) error {
	s := d.cfg.Settings
	record := sitestore.Agent{ID: s.Node.ID, Addr: netip.MustParseAddrPort(d.transport.Addr()), Domain: s.Node.Domain, Incarnation: d.self.Incarnation}
	if err := sitestore.PutWithRetry(ctx, d.cfg.Platform.Agents, "address", string(s.Node.ID), record.Encode(), d.logs); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// followSite returns a follower that passes the published state to the core.
func (d *Daemon) followSite() *sitestore.Follower {
	p := d.cfg.Platform
	return sitestore.FollowSite(p.Operators, p.DecodeSite, siteReadWait, d.logs, func(s *site.State) {
		d.loop.Post(lessee.SiteChanged{State: s})
	})
}

// leave waits for the end of ctx and then carries out the planned stop: it waits until
// all runs have completed or the grace time has ended.
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
		lifecycle.Wait(flushDelay, d.killed.Done())
		return nil
	case <-d.killed.Done():
		return ErrKilled
	case <-grace.C:
		d.logs.Info("runs still active at the end of the grace time")
		return ErrGraceExpired
	}
}

// flushDelay is how long a planned stop waits for the last messages to be written.
const flushDelay = 50 * time.Millisecond

// Ready returns nil if the upstream accepts work, or an error with the reason why not.
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
		d.metrics.SetGauge(telemetry.UpstreamCrashesTotal, float64(s.Crashes))
		d.metrics.SetGauge(telemetry.CapacityInUse, float64(s.Used.MilliCPU))
		d.metrics.SetGauge(telemetry.TotalCapacity, float64(s.Capacity.MilliCPU))
		d.metrics.SetGauge(telemetry.UsableCapacity, float64(s.Usable.MilliCPU))
		d.metrics.SetGauge(telemetry.StartsRefusedTotal, float64(s.StartsRefused))
		d.metrics.SetGauge(telemetry.CancelsForgottenTotal, float64(s.CancelsForgotten))
		d.metrics.SetGauge(telemetry.HoldsForgottenTotal, float64(s.HoldsForgotten))
		d.metrics.SetGauge(telemetry.OfferAnswers, float64(s.Answers))
		d.metrics.SetGauge(telemetry.OfferAnswersForgottenTotal, float64(s.AnswersForgotten))
		d.metrics.SetGauge(telemetry.SiteRevision, float64(s.Revision))
		d.metrics.SetGauge(telemetry.UpstreamSlowdown, float64(s.Slowdown))
		process.CopyCounters(d.metrics, nil, d.transport.Stats())
	})
}
