// Package httpserver serves an HTTP handler with limits on connections, on the size
// of requests and on the time to send them. It also decodes request bodies strictly
// and encodes answers.
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/internal/listen"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// Defaults of the limits in Config.
const (
	DefaultMaxConnections = 1024
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = time.Minute
)

// MaxHeaderBytes is the largest header of a request.
const MaxHeaderBytes = 16 << 10

const (
	// receiveBufferBytes is the size of the receive buffer of a connection.
	receiveBufferBytes = 16 << 10
	// answerWriteTimeout bounds the time in which a client must read an answer.
	answerWriteTimeout = 20 * time.Second
)

// Config holds the settings of a Server. A limit of zero stands for its default.
type Config struct {
	// Listen is the IP:port to listen on.
	Listen  string
	Handler http.Handler
	// MaxConnections bounds the open connections. A further one takes the place of one that does
	// not wait for an answer, and is refused if there is none.
	MaxConnections int
	// BodyMemory bounds the memory of large request bodies. Servers may share it. If it is nil,
	// their memory is not bounded.
	BodyMemory *BodyMemory
	// HeaderTimeout bounds the time in which a client must send the header of a request.
	HeaderTimeout time.Duration
	// Metrics and Logs count and report connections that the server closes. They may be nil.
	Metrics *telemetry.Metrics
	Logs    *telemetry.Logger
	// Certificate, if not nil, makes the server accept only TLS connections.
	Certificate *Certificate
	// Drainable makes StartDraining, AwaitDrained and Retire available. It excludes
	// Certificate.
	Drainable bool
}

// Server serves HTTP on one listening socket. Its methods are safe for concurrent
// use.
type Server struct {
	listener  net.Listener
	server    *http.Server
	closed    chan struct{}
	closeOnce sync.Once
	admission *admission
	// drainer is nil unless Config.Drainable is set.
	drainer *drainer
}

// Listen opens the listening socket. The server handles no request before Run is
// called.
func Listen(cfg Config) (*Server, error) {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.HeaderTimeout == 0 {
		cfg.HeaderTimeout = DefaultHeaderTimeout
	}
	if cfg.Drainable && cfg.Certificate != nil {
		return nil, errors.New("a server with a certificate cannot be drainable")
	}
	socket, err := listen.TCP(cfg.Listen, receiveBufferBytes)
	if err != nil {
		return nil, errors.Wrap(err, "listen for HTTP")
	}
	s := &Server{
		closed:    make(chan struct{}),
		admission: &admission{max: cfg.MaxConnections, metrics: cfg.Metrics, logs: cfg.Logs},
	}
	s.SetTimeouts(cfg.HeaderTimeout, DefaultIdleTimeout)
	s.listener = admittingListener{socket, s.admission}
	if cfg.Certificate != nil {
		s.listener = tls.NewListener(s.listener, cfg.Certificate.tlsConfig())
	}
	handler, stateChanged := s.admission.wrap(cfg.Handler), s.admission.stateChanged
	if cfg.Drainable {
		s.drainer = newDrainer(socket)
		s.listener = trackedListener{s.listener, s.drainer}
		handler = s.drainer.wrap(handler)
		stateChanged = func(c net.Conn, state http.ConnState) {
			s.admission.stateChanged(c, state)
			s.drainer.stateChanged(c, state)
		}
	}
	s.server = &http.Server{
		Handler: handler, MaxHeaderBytes: MaxHeaderBytes, ConnState: stateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(context.WithValue(ctx, connKey{}, c), bodyMemoryKey{}, cfg.BodyMemory)
		},
	}
	return s, nil
}

// SetTimeouts sets the time in which a client must send the header of a request, and the time for
// which a connection stays open without a request.
func (s *Server) SetTimeouts(header, idle time.Duration) {
	s.admission.headerTimeout.Store(int64(header))
	s.admission.idleTimeout.Store(int64(idle))
}

// Addr returns the bound IP:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves requests until Close is called. After Shutdown or Retire it waits for Close.
func (s *Server) Run() error {
	go s.admission.run(s.closed)
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	<-s.closed
	return nil
}

// Shutdown closes the listening socket and waits until every request is answered or ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes the listening socket and all connections at once.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	err := s.server.Close()
	_ = s.listener.Close()
	if s.drainer != nil {
		s.drainer.closeAll()
	}
	s.admission.closeAll()
	return err
}
