// Package logservice is a stand-in for the platform's append-only log: streams
// in memory over HTTP, with retention and faults. Package logclient documents
// its protocol.
package logservice

import (
	"context"
	"net/http"
	"time"
)

// Config holds the settings of a Service.
type Config struct {
	// Listen is the IP:port to serve on.
	Listen string
	// MaxRecords bounds the records kept in each stream. Zero keeps all.
	MaxRecords int
	// MaxAge bounds the age of records kept. Zero keeps all.
	MaxAge time.Duration
}

// Faults are the failures that a Service shows.
type Faults struct {
	// Outage answers every request with 503.
	Outage bool
	// Delay is added before every request is handled.
	Delay time.Duration
	// LoseReplies makes appends take effect and cuts the connection.
	LoseReplies bool
	// AppendsPerSecond refuses appends above the rate with 429. Zero is no limit.
	AppendsPerSecond int
}

// Service is the log service. All methods are safe for concurrent use.
type Service struct{ cfg Config }

// New returns a service that does not listen yet; it is an http.Handler.
func New(cfg Config) *Service { return &Service{cfg: cfg} }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {}

// Listen opens the socket and serves until Close.
func (s *Service) Listen() error { return nil }

// Addr returns the bound IP:port.
func (s *Service) Addr() string { return s.cfg.Listen }

// Close stops serving and cuts all connections.
func (s *Service) Close() error { return nil }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {}

// Run serves until ctx ends.
func Run(ctx context.Context, cfg Config) error {
	<-ctx.Done()
	return nil
}
