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
	"net/http"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/label"
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

// Announcement is the body of POST /v1/upstream.
type Announcement struct {
	Name        string    `json:"name"`
	Addr        string    `json:"addr"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	Labels      label.Set `json:"labels,omitempty"`
	// TTLMillis is the life of the announcement in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// Faults are the failures that an Upstream shows.
type Faults struct {
	// Slow multiplies the duration of tasks. Zero is no change.
	Slow float64
	// FailAll starts tasks and answers with a failure at once.
	FailAll bool
	// DropAnswers runs tasks and cuts the connection in place of the answer.
	DropAnswers bool
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
type Upstream struct{ cfg Config }

// New returns an upstream that does not listen yet; it is an http.Handler.
func New(cfg Config) *Upstream { return &Upstream{cfg: cfg} }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {}

// Start opens the socket, serves, and announces until Withdraw or Close.
func (u *Upstream) Start() error { return nil }

// Addr returns the bound IP:port.
func (u *Upstream) Addr() string { return u.cfg.Listen }

// Withdraw tells the agent that the upstream leaves. It goes on serving.
func (u *Upstream) Withdraw(ctx context.Context) error { return nil }

// Close cuts all connections.
func (u *Upstream) Close() error { return nil }

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) {}

// Run serves and announces until ctx ends, then withdraws.
func Run(ctx context.Context, cfg Config) error {
	<-ctx.Done()
	return nil
}
