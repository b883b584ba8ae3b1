// Package httpserver serves an HTTP handler with bounded connections, header
// time and body size, and reads request bodies strictly.
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"
)

// Defaults of the limits in Config.
const (
	DefaultMaxConnections = 1024
	DefaultHeaderTime     = 5 * time.Second
)

const (
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// bodyTime is the longest time for a client to send its body.
	bodyTime = 10 * time.Second
	// writeTime is the longest time for a client to take an answer.
	writeTime = 20 * time.Second
)

// Config holds the settings of a Server. Zero limits take the defaults.
type Config struct {
	// Listen is the IP:port to serve on.
	Listen  string
	Handler http.Handler
	// MaxConnections bounds the open connections; more wait to be accepted.
	MaxConnections int
	// HeaderTime is the longest time for a client to send its header.
	HeaderTime time.Duration
	// Certificate makes the server speak TLS only. It may be nil.
	Certificate *Certificate
}

// Server serves one listening socket. Its methods are safe for concurrent use.
type Server struct {
	listener  net.Listener
	server    *http.Server
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen opens the socket. Requests are handled once Run is called.
func Listen(cfg Config) (*Server, error) {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.HeaderTime == 0 {
		cfg.HeaderTime = DefaultHeaderTime
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for HTTP")
	}
	listener = netutil.LimitListener(listener, cfg.MaxConnections)
	if cfg.Certificate != nil {
		listener = tls.NewListener(listener, cfg.Certificate.config())
	}
	return &Server{
		closed:   make(chan struct{}),
		listener: listener,
		server: &http.Server{
			Handler:           cfg.Handler,
			ReadHeaderTimeout: cfg.HeaderTime,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}, nil
}

// Addr returns the bound IP:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until Close. Shutdown alone does not end it.
func (s *Server) Run() error {
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	<-s.closed
	return nil
}

// Shutdown closes the socket and waits until every request is answered or ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes the socket and cuts all connections.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	err := s.server.Close()
	_ = s.listener.Close()
	return err
}
