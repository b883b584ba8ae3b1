// Package logservice is a stand-in for the platform's append-only log. It serves
// streams from memory over HTTP, with retention and injected faults. Package
// logclient documents the protocol.
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
	// MaxRecords is the number of newest records that each stream keeps. Zero keeps all.
	MaxRecords int
	// MaxAge is the age above which records are dropped. Zero keeps all.
	MaxAge time.Duration
}

// Faults are the faults that a Service injects.
type Faults struct {
	// Outage answers every request with 503.
	Outage bool
	// Delay is the time that every request waits before it is handled.
	Delay time.Duration
	// LoseReplies executes appends, but closes the connection instead of replying.
	LoseReplies bool
	// AppendsPerSecond is the rate above which the service refuses appends with 429.
	// Zero is no limit.
	AppendsPerSecond int
}

// Service is the log service. All methods are safe for concurrent use.
type Service struct {
	cfg  Config
	echo *echo.Echo

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	// appendTokens is the number of appends that Faults.AppendsPerSecond allowed at
	// tokensRefilledAt.
	appendTokens     float64
	tokensRefilledAt time.Time
	appends          int64
	server           *http.Server
	// serveDone is closed once the server accepts no more connections.
	serveDone chan struct{}
	addr      string
}

// New returns a service that does not listen yet. It can be used as an
// http.Handler without listening.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, echo: echo.New(), streams: make(map[string]*stream)}
	s.echo.HideBanner = true
	s.echo.POST("/v1/streams/:stream/records", s.handleAppend, s.injectFaults)
	s.echo.GET("/v1/streams/:stream/records", s.handleRead, s.injectFaults)
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
	serveDone := make(chan struct{})
	s.serveDone = serveDone
	s.mu.Unlock()
	go func() {
		defer close(serveDone)
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

// Close stops serving and closes all connections. It waits for the goroutine that
// accepts connections, because the socket stays open until that goroutine returns:
// once Close has returned, the port refuses connections.
func (s *Service) Close() error {
	s.mu.Lock()
	server, serveDone := s.server, s.serveDone
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Close()
	<-serveDone
	return err
}

// SetFaults replaces the faults. An outage also ends reads that are waiting for
// records.
func (s *Service) SetFaults(f Faults) { s.EditFaults(func(faults *Faults) { *faults = f }) }

// EditFaults changes the faults in place, so that several can be in effect at once. It
// allows one append at once and wakes waiting reads, so that they see an outage.
func (s *Service) EditFaults(edit func(f *Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.faults)
	s.appendTokens, s.tokensRefilledAt = 1, time.Now()
	for _, st := range s.streams {
		st.wakeReaders()
	}
}

// Appends returns the number of appends that were executed, including those whose
// replies were lost.
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
