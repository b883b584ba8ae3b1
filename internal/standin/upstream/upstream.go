// Package upstream is a stand-in for an upstream: an HTTP server that runs tasks
// by waiting, counts what it starts, and announces itself to the agent beside
// it.
//
// The protocol between an agent and an upstream:
//
//	POST /v1/tasks
//	  headers Dogwoodgauge-Job, Dogwoodgauge-Attempt, Dogwoodgauge-Task (index),
//	  Dogwoodgauge-Team, traceparent; the payload is the body
//	  200 with the task's result as the body; any other status is a failure
//
// and from an upstream to its agent's HTTP address:
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
	DefaultTTL  = 3 * time.Second
	DefaultTask = 100 * time.Millisecond
)

// Config holds the settings of an Upstream.
type Config struct {
	// Name is the name to announce.
	Name string
	// Listen is the IP:port to serve on.
	Listen string
	// Agent is the HTTP host:port of the agent beside the upstream. Empty
	// announces to nobody.
	Agent string
	// Slots and Connections are announced limits.
	Slots       int
	Connections int
	// Labels are announced.
	Labels label.Set
	// Domain is the failure domain, for the ledger's count of late starts.
	Domain string
	// TTL is the life of an announcement, renewed every third of it.
	TTL time.Duration
	// DefaultTask is the duration of a task whose payload names none.
	DefaultTask time.Duration
	// Ledger counts starts over all upstreams that share it. It may be nil.
	Ledger *Ledger
}

// Faults are the failures that an Upstream shows.
type Faults struct {
	// Slow multiplies the duration of tasks. Zero is no change.
	Slow float64
	// FailAll starts tasks and answers with a failure at once.
	FailAll bool
	// DropAnswers runs tasks and cuts the connection in place of the answer.
	DropAnswers bool
	// Declares is announced in place of Config.Slots. Zero is no change.
	Declares int
	// Paused announces no slots.
	Paused bool
	// Serves is the number of tasks that run at a time; further ones that were
	// taken wait. Zero is no limit.
	Serves int
	// Refuse answers 503 without starting the task.
	Refuse bool
}

// Headers of a task request.
const (
	HeaderJob     = "Dogwoodgauge-Job"
	HeaderAttempt = "Dogwoodgauge-Attempt"
	HeaderTask    = "Dogwoodgauge-Task"
	HeaderTeam    = "Dogwoodgauge-Team"
)

// Upstream is one stand-in. All methods are safe for concurrent use.
type Upstream struct {
	cfg    Config
	echo   *echo.Echo
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	faults Faults
	// serving holds an element for each task that runs, up to Faults.Serves. It
	// is nil without that limit.
	serving chan struct{}
	server  *http.Server
	addr    string
	// announcing is nil when nothing is announced.
	announcing *announcing
}

// New returns an upstream that does not listen yet; it is an http.Handler.
func New(cfg Config) *Upstream {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.DefaultTask == 0 {
		cfg.DefaultTask = DefaultTask
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

// Start opens the socket, serves, and announces until Withdraw or Close.
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

// Close stops announcing and cuts all connections. Nothing is withdrawn.
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

// EditFaults changes the faults in place, so that several may hold together. A
// change of the declared slots is told by the next announcement.
func (u *Upstream) EditFaults(edit func(f *Faults)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	serves := u.faults.Serves
	edit(&u.faults)
	if u.faults.Serves == serves {
		return
	}
	u.serving = nil
	if u.faults.Serves > 0 {
		u.serving = make(chan struct{}, u.faults.Serves)
	}
}

func (u *Upstream) currentFaults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// serve runs f once the upstream serves fewer tasks than Faults.Serves. It
// reports false when the upstream was closed first or f does.
func (u *Upstream) serve(f func() bool) bool {
	u.mu.Lock()
	serving := u.serving
	u.mu.Unlock()
	if serving == nil {
		return f()
	}
	select {
	case serving <- struct{}{}:
		defer func() { <-serving }()
		return f()
	case <-u.ctx.Done():
		return false
	}
}

// Run serves and announces until ctx ends, then withdraws and waits for the
// tasks in flight.
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
