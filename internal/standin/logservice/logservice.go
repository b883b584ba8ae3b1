// Package logservice is a stand-in for the platform's append-only log: streams
// in memory over HTTP, with retention and faults. Package logclient documents
// its protocol.
package logservice

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
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
type Service struct {
	cfg  Config
	echo *echo.Echo

	mu       sync.Mutex
	streams  map[string]*stream
	faults   Faults
	tokens   float64
	refilled time.Time
	appends  int64
	server   *http.Server
	// served is closed once the server accepts no more.
	served chan struct{}
	addr   string
}

// New returns a service that does not listen yet; it is an http.Handler.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, echo: echo.New(), streams: make(map[string]*stream)}
	s.echo.HideBanner = true
	s.echo.POST("/v1/streams/:stream/records", s.handleAppend, s.faulty)
	s.echo.GET("/v1/streams/:stream/records", s.handleRead, s.faulty)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Listen opens the socket and serves until Close.
func (s *Service) Listen() error {
	listener, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for log clients")
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	s.mu.Lock()
	s.server, s.addr = server, listener.Addr().String()
	served := make(chan struct{})
	s.served = served
	s.mu.Unlock()
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	return nil
}

// Addr returns the bound IP:port.
func (s *Service) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// URL returns the base URL for a client.
func (s *Service) URL() string { return "http://" + s.Addr() }

// Close stops serving and cuts all connections. Its port refuses connections
// once Close has returned: the socket is only closed when the goroutine that
// accepts from it lets go.
func (s *Service) Close() error {
	s.mu.Lock()
	server, served := s.server, s.served
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Close()
	<-served
	return err
}

// SetFaults replaces the faults. An outage also ends the reads that wait.
func (s *Service) SetFaults(f Faults) { s.EditFaults(func(faults *Faults) { *faults = f }) }

// EditFaults changes the faults in place, so that several may hold together.
func (s *Service) EditFaults(edit func(f *Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.faults)
	s.tokens, s.refilled = 1, time.Now()
	for _, st := range s.streams {
		st.wake()
	}
}

// Appends returns the number of appends that have taken effect.
func (s *Service) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Run serves until ctx ends.
func Run(ctx context.Context, cfg Config) error {
	s := New(cfg)
	if err := s.Listen(); err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close()
}
