// Package dispatchd runs a dispatcher: it connects the core in package dispatch with
// the callers, the agents and the platform's store.
package dispatchd

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
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
	ErrKilled = errors.New("the dispatcher was killed")
	// ErrGraceExpired is returned if the grace time ended before every call was answered.
	ErrGraceExpired = errors.New("the grace time ended with calls in flight")
)

// Platform holds the parts of a dispatcher that depend on the platform.
type Platform struct {
	// Operators is the topic of the operators' records, and Agents that of the agents'
	// addresses.
	Operators, Agents sitestore.Topic
	// DecodeSite decodes the published state from the operators' records.
	DecodeSite sitestore.Decode
	// Callers returns the HTTP handler that submits and cancels jobs for callers.
	Callers func(Service) http.Handler
	// Ready returns the handler of the load balancer's readiness check.
	Ready func(ready func() error) http.Handler
}

// Config holds the settings of a Daemon.
type Config struct {
	Settings settings.Dispatcher
	Platform Platform
}

// dialTimeout bounds an attempt to connect to an agent. It covers several round trips
// between regions. It is not longer, because a host that was down when the attempt began
// has lost the first packet: once the host is back, a new attempt connects sooner.
const dialTimeout = 400 * time.Millisecond

// operatorConnections bounds the open connections of load balancers, and of operators.
const operatorConnections = 128

// Daemon is one dispatcher. Its methods are safe for concurrent use.
type Daemon struct {
	cfg       Config
	self      node.Ref
	logs      *telemetry.Logger
	metrics   *telemetry.Metrics
	core      *dispatch.Core
	loop      *process.Loop
	transport *transport.Transport
	agents    *agentConnector
	callers   *httpserver.Server
	ready     *httpserver.Server
	monitor   *httpserver.Server
	// submissions and cancellations are the calls that wait for an answer of the core.
	submissions   process.PendingCalls[dispatch.Answer]
	cancellations process.PendingCalls[bool]
	// site is the published state in force.
	site     atomic.Pointer[site.State]
	draining atomic.Bool
	// startedAt is when the process started. configured is set once the state has a
	// configuration.
	startedAt  time.Time
	configured *lifecycle.Signal
	// overloaded is set while the core reports overload.
	overloaded atomic.Bool
	// timing holds the times of a planned stop.
	timing atomic.Pointer[settings.LeasedTiming]
	// answerBy is when every call must be answered, once a planned stop has begun that drains
	// the connections. cutOff is set then, and callsCutOff counts the calls that were not.
	answerBy    atomic.Pointer[time.Time]
	cutOff      *lifecycle.Signal
	callsCutOff atomic.Int64
	// drained is set when the core has no more jobs. Kill sets killed.
	drained *lifecycle.Signal
	killed  *lifecycle.Signal
}

// New opens the sockets of a dispatcher. Run must be called next, or Kill.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg:     cfg,
		self:    node.Ref{ID: cfg.Settings.Node.ID, Incarnation: node.Incarnation(lifecycle.RandomNumber())},
		logs:    telemetry.NewLogger("dispatcher"),
		metrics: telemetry.NewMetrics(),
		drained: lifecycle.NewSignal(),
		killed:  lifecycle.NewSignal(),
		cutOff:  lifecycle.NewSignal(),

		startedAt: time.Now(), configured: lifecycle.NewSignal(),
	}
	d.site.Store(&site.State{})
	d.Apply(cfg.Settings)
	d.core = dispatch.New(dispatch.Config{
		Self:       d.self,
		Domain:     cfg.Settings.Node.Domain,
		LearnSpeed: cfg.Settings.Placement.LearnSpeed, SeparateInterfering: cfg.Settings.Placement.SeparateInterfering,
		OrderAcross:  cfg.Settings.Overload.OrderAcross,
		UsefulFactor: float64(cfg.Settings.Overload.UsefulFactor), Predict: cfg.Settings.Overload.Predict,
		RefuseLateStarts: cfg.Settings.Overload.RefuseLateStarts, MinShare: cfg.Settings.Overload.MinShare,
		MaxOpenTasks: cfg.Settings.Limits.MaxOpenTasks(),
	})
	d.loop = process.NewLoop(loop.Config[step.Event, step.Action]{
		Step: d.core.Handle, EndBatch: d.core.EndBatch, Execute: d.execute, Clock: loop.BootClock(),
	})
	if err := d.listen(); err != nil {
		d.closeSockets()
		return nil, err
	}
	d.agents = newAgentConnector(cfg.Settings.Node.Domain, d.transport, d.loop, d.logs)
	d.registerGauges()
	return d, nil
}

func (d *Daemon) listen() error {
	s := d.cfg.Settings
	var err error
	d.transport, err = transport.Listen(transport.Config{
		Self: d.self, Listen: s.Listen.Transport.String(), Handler: handler{d}, DialTimeout: dialTimeout,
	})
	if err != nil {
		return err
	}
	d.callers, err = httpserver.Listen(httpserver.Config{
		Listen: s.Listen.Callers.String(), Handler: d.cfg.Platform.Callers(d), MaxConnections: s.Limits.MaxConnections(),
		BodyMemory: httpserver.NewBodyMemory(s.Limits.BodyMemoryBytes()), Drainable: s.Timing.DrainConnections,
		Metrics: d.metrics, Logs: d.logs,
	})
	if err != nil {
		return err
	}
	d.ready, err = httpserver.Listen(httpserver.Config{
		Listen: s.Listen.Ready.String(), Handler: d.cfg.Platform.Ready(d.Ready), MaxConnections: operatorConnections,
		Metrics: d.metrics, Logs: d.logs,
	})
	if err != nil {
		return err
	}
	router := httpserver.NewRouter(d.metrics)
	httpserver.AddHealthRoutes(router, d.Ready, d.WriteMetrics)
	d.monitor, err = httpserver.Listen(httpserver.Config{
		Listen: s.Listen.Metrics.String(), Handler: router, MaxConnections: operatorConnections, Metrics: d.metrics, Logs: d.logs,
	})
	return err
}

// handler passes received messages, and reports of lost connections and of hints and proofs
// that incarnations have ended, to the core. It also passes hints and proofs to the
// agentConnector, which connects to the addresses again.
type handler struct{ d *Daemon }

// Deliver implements transport.Handler.
func (h handler) Deliver(env message.Envelope) { h.d.loop.Post(step.Received{Envelope: env}) }

// PeerReset implements transport.Handler.
func (h handler) PeerReset(ref node.Ref) { h.d.loop.Post(step.PeerReset{Ref: ref}) }

// PeerSuspect implements transport.Handler.
func (h handler) PeerSuspect(ref node.Ref, hint liveness.Sign) {
	h.d.loop.Post(step.PeerSuspect{Ref: ref, Hint: hint})
	h.d.agents.peerLost(ref)
}

// PeerDead implements transport.Handler.
func (h handler) PeerDead(ref node.Ref) {
	h.d.loop.Post(step.PeerDead{Ref: ref})
	h.d.agents.peerLost(ref)
}

// Apply applies the settings that can change while the process runs: its memory limit and
// the times of a planned stop. Changes of other settings need a restart.
func (d *Daemon) Apply(s settings.Dispatcher) {
	debug.SetMemoryLimit(process.HeapLimit(int64(s.Limits.Memory), s.Limits.MaxConnections()))
	d.timing.Store(&s.Timing)
}

// CallersAddr returns the IP:port of the callers' interface.
func (d *Daemon) CallersAddr() string { return d.callers.Addr() }

// Metrics returns the registry of the daemon's metrics.
func (d *Daemon) Metrics() *telemetry.Metrics { return d.metrics }

// Kill stops the daemon at once. It closes all connections and does not wait for calls.
func (d *Daemon) Kill() {
	d.killed.Set()
	d.closeSockets()
}

func (d *Daemon) closeSockets() {
	for _, s := range []*httpserver.Server{d.callers, d.ready, d.monitor} {
		if s != nil {
			_ = s.Close()
		}
	}
	if d.transport != nil {
		_ = d.transport.Close()
	}
}

// Run serves until ctx ends, then stops after all calls in flight are answered. It returns
// nil after a complete planned stop, and ErrGraceExpired or ErrKilled otherwise.
func (d *Daemon) Run(ctx context.Context) error {
	d.logs.Info("started", "id", d.self.String(), "callers", d.callers.Addr(), "transport", d.transport.Addr())
	actors := []func(context.Context) error{d.loop.Run, d.transport.Run, d.followSite().Run, d.followAgents().Run, d.agents.Run, d.useSeeds}
	err := lifecycle.Serve(func() error { return d.leave(ctx) }, d.Kill, actors, d.callers, d.ready, d.monitor)
	d.logs.Info("stopped", "id", d.self.String(), "err", err)
	return err
}
