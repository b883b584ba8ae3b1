// Package upstream is a stand-in for an upstream. It is an HTTP server that runs
// tasks by waiting, counts the starts of tasks, and announces itself to the agent on
// the same host.
//
// The agent sends tasks to the upstream:
//
//	POST /v1/tasks
//	  headers Dogwoodgauge-Job, Dogwoodgauge-Attempt, Dogwoodgauge-Task (index),
//	  Dogwoodgauge-Team, traceparent; the payload is the body
//	  200 with the task's result as the body; any other status is a failure
//
// The upstream announces and withdraws itself at the HTTP address of the agent:
//
//	POST   /v1/upstream {"name","addr","slots","connections","labels","ttl_ms"}
//	DELETE /v1/upstream/{name}
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
)

// Defaults of Config.
const (
	DefaultTTL          = 3 * time.Second
	DefaultTaskDuration = 100 * time.Millisecond
)

// Config holds the settings of an Upstream.
type Config struct {
	// Name is the name that the upstream announces.
	Name string
	// Listen is the IP:port to serve on.
	Listen string
	// Agent is the HTTP host:port of the agent on the same host. If it is empty, the
	// upstream does not announce itself.
	Agent string
	// Slots and Connections are the limits that the upstream announces.
	Slots       int
	Connections int
	// Labels are the labels that the upstream announces.
	Labels label.Set
	// Domain is the failure domain. The ledger needs it to count late starts.
	Domain string
	// TTL is how long an announcement is valid. The upstream renews it every third of
	// this time.
	TTL time.Duration
	// DefaultTaskDuration is the duration of a task whose payload does not set one.
	DefaultTaskDuration time.Duration
	// Ledger counts starts across all upstreams that share it. It may be nil.
	Ledger *Ledger
}

// Faults are the faults that an Upstream injects.
type Faults struct {
	// SlowFactor multiplies the duration of tasks. Zero is no change.
	SlowFactor float64
	// FailAll starts each task and answers at once that it failed.
	FailAll bool
	// DropAnswers runs tasks, but closes the connections instead of answering.
	DropAnswers bool
	// AnnouncedSlots is the number of slots to announce instead of Config.Slots. Zero
	// announces Config.Slots; use NoSlots to announce none.
	AnnouncedSlots int
	// NoSlots makes the upstream announce zero slots.
	NoSlots bool
	// MaxRunning is the number of tasks that run at a time. Further tasks that the
	// upstream has accepted wait. Zero is no limit.
	MaxRunning int
	// Refuse answers with 503 without starting the task.
	Refuse bool
}

// Headers of a task request.
const (
	HeaderJob     = "Dogwoodgauge-Job"
	HeaderAttempt = "Dogwoodgauge-Attempt"
	HeaderTask    = "Dogwoodgauge-Task"
	HeaderTeam    = "Dogwoodgauge-Team"
)

// Upstream is one stand-in upstream. All methods are safe for concurrent use.
type Upstream struct {
	cfg    Config
	echo   *echo.Echo
	client *http.Client
	// ctx ends once the upstream is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	faults Faults
	// runningTasks holds an element for each running task, up to Faults.MaxRunning. It is
	// nil without that limit.
	runningTasks chan struct{}
	server       *http.Server
	addr         string
	// announcer is nil while the upstream does not announce itself.
	announcer *announcer
}

// New returns an upstream that does not listen yet. It can be used as an
// http.Handler without listening.
func New(cfg Config) *Upstream {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.DefaultTaskDuration == 0 {
		cfg.DefaultTaskDuration = DefaultTaskDuration
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	u := &Upstream{
		cfg:    cfg,
		echo:   echo.New(),
		client: &http.Client{Transport: transport, Timeout: announceTimeout},
	}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	u.echo.HideBanner = true
	u.echo.POST("/v1/tasks", u.handleTask)
	return u
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.echo.ServeHTTP(w, r) }

// Start opens the socket, serves tasks, and announces the upstream until Withdraw or
// Close.
func (u *Upstream) Start() error {
	listener, err := net.Listen("tcp", u.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for tasks")
	}
	server := &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	u.mu.Lock()
	u.server, u.addr = server, listener.Addr().String()
	u.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	u.Announce()
	return nil
}

// Addr returns the bound IP:port.
func (u *Upstream) Addr() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.addr
}

// Close stops announcing and closes all connections. It does not withdraw the
// announcement.
func (u *Upstream) Close() error {
	u.cancel()
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	u.client.CloseIdleConnections()
	if server == nil {
		return nil
	}
	return server.Close()
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) { u.EditFaults(func(faults *Faults) { *faults = f }) }

// EditFaults changes the faults in place, so that several can be in effect at once.
// The next announcement carries a change of the announced slots.
func (u *Upstream) EditFaults(edit func(f *Faults)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	oldMaxRunning := u.faults.MaxRunning
	edit(&u.faults)
	if u.faults.MaxRunning == oldMaxRunning {
		return
	}
	u.runningTasks = nil
	if u.faults.MaxRunning > 0 {
		u.runningTasks = make(chan struct{}, u.faults.MaxRunning)
	}
}

func (u *Upstream) currentFaults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// runLimited runs f once fewer than Faults.MaxRunning tasks are running. It reports false
// if the upstream was closed before that, and otherwise what f reports.
func (u *Upstream) runLimited(f func() bool) bool {
	u.mu.Lock()
	runningTasks := u.runningTasks
	u.mu.Unlock()
	if runningTasks == nil {
		return f()
	}
	select {
	case runningTasks <- struct{}{}:
		defer func() { <-runningTasks }()
		return f()
	case <-u.ctx.Done():
		return false
	}
}

// Run serves and announces until ctx ends. Then it withdraws and waits for the
// tasks in progress.
func Run(ctx context.Context, cfg Config) error {
	u := New(cfg)
	if err := u.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	withdrawErr := u.Withdraw(grace)
	shutdownErr := u.server.Shutdown(grace)
	_ = u.Close()
	if withdrawErr != nil {
		return withdrawErr
	}
	return shutdownErr
}
