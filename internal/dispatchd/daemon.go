// Package dispatchd runs a dispatcher: it joins the core of package dispatch to the
// callers, to the agents and to the platform's store.
package dispatchd

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
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
	// ErrKilled says that Kill ended the daemon.
	ErrKilled = errors.New("the dispatcher was killed")
	// ErrCut says that the grace time ended before every call was answered.
	ErrCut = errors.New("the grace time ended with calls in flight")
)

// Platform is what a dispatcher needs of the platform it runs on.
type Platform struct {
	// Operators holds the operators' records, and Agents the agents' addresses.
	Operators, Agents sitestore.Topic
	// DecodeSite returns the published state in the operators' records.
	DecodeSite sitestore.Decode
	// Callers returns the handler of the callers' interface.
	Callers func(Service) http.Handler
	// Ready returns the handler of the balancer's check.
	Ready func(ready func() error) http.Handler
}

// Config holds the settings of a Daemon.
type Config struct {
	Settings settings.Dispatcher
	Platform Platform
}

// dialTime bounds an attempt to reach an agent: several round trips between regions. A
// host that has just come back has not seen the first packet of a longer attempt.
const dialTime = 400 * time.Millisecond

// Daemon is one dispatcher. Its methods are safe for concurrent use.
type Daemon struct {
	cfg       Config
	self      node.Ref
	logs      *telemetry.Logger
	metrics   *telemetry.Metrics
	core      *dispatch.Core
	loop      *process.Loop
	transport *transport.Transport
	agents    *agents
	callers   *httpserver.Server
	ready     *httpserver.Server
	monitor   *httpserver.Server
	calls     process.Calls[dispatch.Answer]
	cancels   process.Calls[bool]
	site      atomic.Pointer[site.State]
	draining  atomic.Bool
	// overloaded is set while the core says so.
	overloaded atomic.Bool
	timing     atomic.Pointer[settings.LeasedTiming]
	drained    *lifecycle.Signal
	killed     *lifecycle.Signal
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
	}
	d.site.Store(&site.State{})
	d.Apply(cfg.Settings)
	d.core = dispatch.New(dispatch.Config{Domain: cfg.Settings.Node.Domain})
	d.loop = process.NewLoop(loop.Config[step.Event, step.Action]{
		Step: d.core.Handle, EndBatch: d.core.EndBatch, Execute: d.do, Clock: loop.BootClock(),
	})
	if err := d.listen(); err != nil {
		d.closeSockets()
		return nil, err
	}
	d.agents = newAgents(d.transport, d.loop, d.logs)
	d.registerGauges()
	return d, nil
}

func (d *Daemon) listen() error {
	s := d.cfg.Settings
	var err error
	d.transport, err = transport.Listen(transport.Config{
		Self: d.self, Listen: s.Listen.Transport.String(), Handler: handler{d}, DialTimeout: dialTime,
	})
	if err != nil {
		return err
	}
	d.callers, err = httpserver.Listen(httpserver.Config{
		Listen: s.Listen.Callers.String(), Handler: d.cfg.Platform.Callers(d), MaxConnections: s.Limits.Connections,
	})
	if err != nil {
		return err
	}
	d.ready, err = httpserver.Listen(httpserver.Config{
		Listen: s.Listen.Ready.String(), Handler: d.cfg.Platform.Ready(d.Ready),
	})
	if err != nil {
		return err
	}
	router := httpserver.NewRouter(d.metrics)
	httpserver.AddHealthRoutes(router, d.Ready, d.WriteMetrics)
	d.monitor, err = httpserver.Listen(httpserver.Config{Listen: s.Listen.Metrics.String(), Handler: router})
	return err
}

// handler passes what the transport receives to the core, and the end of an agent
// also to those who keep its connection.
type handler struct{ d *Daemon }

// Deliver implements transport.Handler.
func (h handler) Deliver(env message.Envelope) { h.d.loop.Post(step.Received{Envelope: env}) }

// PeerReset implements transport.Handler.
func (h handler) PeerReset(ref node.Ref) { h.d.loop.Post(step.PeerReset{Ref: ref}) }

// PeerDead implements transport.Handler.
func (h handler) PeerDead(ref node.Ref) {
	h.d.loop.Post(step.PeerDead{Ref: ref})
	h.d.agents.lost(ref)
}

// Apply takes the settings that may change while the process runs: its memory and
// the times of a planned stop. The others take a restart.
func (d *Daemon) Apply(s settings.Dispatcher) {
	debug.SetMemoryLimit(process.HeapLimit(int64(s.Limits.Memory)))
	d.timing.Store(&s.Timing)
}

// CallersAddr returns the IP:port of the callers' interface.
func (d *Daemon) CallersAddr() string { return d.callers.Addr() }

// Metrics returns the registry of the daemon's metrics.
func (d *Daemon) Metrics() *telemetry.Metrics { return d.metrics }

// Kill stops the daemon at once: connections are cut and nothing is finished.
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

// Run serves until ctx ends and every call that came before is answered. It
// returns nil after a whole stop, and ErrCut or ErrKilled otherwise.
func (d *Daemon) Run(ctx context.Context) error {
	d.logs.Info("started", "id", d.self.String(), "callers", d.callers.Addr(), "transport", d.transport.Addr())
	actors := []func(context.Context) error{d.loop.Run, d.transport.Run, d.followSite().Run, d.followAgents().Run, d.agents.Run, d.useSeeds}
	err := lifecycle.Serve(func() error { return d.leave(ctx) }, d.Kill, actors, d.callers, d.ready, d.monitor)
	d.logs.Info("stopped", "id", d.self.String(), "err", err)
	return err
}
