package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// start serves a handler until the test ends.
func start(t *testing.T, cfg Config) *Server {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	s, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

// dial opens a connection to s until the test ends.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestSlowHeaderClosesTheConnection guards against clients that hold connections by
// never completing a header. The test hangs if the server keeps the connection open.
func TestSlowHeaderClosesTheConnection(t *testing.T) {
	s := start(t, Config{Handler: http.NotFoundHandler(), HeaderTimeout: 20 * time.Millisecond})
	c := dial(t, s)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Slow: "); err != nil {
		t.Fatal(err)
	}
	// The copy returns only when the server closes the connection.
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Logf("connection ended with %v", err)
	}
}

func TestLargeHeaderIsRefused(t *testing.T) {
	s := start(t, Config{Handler: http.NotFoundHandler()})
	c := dial(t, s)
	// The write may fail because the server may close the connection before it has
	// read everything.
	go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Large: "+strings.Repeat("x", 64<<10)) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", resp.StatusCode)
	}
}

// TestConnectionsBeyondTheLimitAreServed checks that a connection above the limit is served, not
// refused and not kept waiting, whether or not the one before it was closed.
func TestConnectionsBeyondTheLimitAreServed(t *testing.T) {
	s := start(t, Config{
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		MaxConnections: 1,
	})
	for _, closed := range []bool{false, true, false} {
		c := dial(t, s)
		send(t, c, get)
		if status, err := answerOf(c); status != http.StatusNoContent {
			t.Fatalf("got status %d, %v, want 204", status, err)
		}
		if closed {
			_ = c.Close()
		}
	}
}

// TestShutdownWaitsForRequestsAndRunForClose checks that a request in flight is still
// answered during Shutdown, and that Run does not return before Close.
func TestShutdownWaitsForRequestsAndRunForClose(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s, err := Listen(Config{
		Listen: "127.0.0.1:0",
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-release
			w.WriteHeader(http.StatusNoContent)
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	runErr := make(chan error, 1)
	go func() { runErr <- s.Run() }()
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + s.Addr())
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-entered
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- s.Shutdown(context.Background()) }()
	close(release)
	if got := <-status; got != http.StatusNoContent {
		t.Errorf("status %d, want 204", got)
	}
	if err := <-shutdownErr; err != nil {
		t.Error(err)
	}
	select {
	case err := <-runErr:
		t.Errorf("Run returned before Close: %v", err)
	default:
	}
	_ = s.Close()
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}

// TestRoutesBoundTheLabelsOfMetrics guards against metrics that take the paths of
// requests as labels: clients could add any number of time series.
func TestRoutesBoundTheLabelsOfMetrics(t *testing.T) {
	m := telemetry.NewMetrics()
	e := NewRouter(m)
	AddHealthRoutes(e, func() error { return nil }, m.Write)
	e.GET("/v1/jobs/:id", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	s := start(t, Config{Handler: e})
	for _, path := range []string{"/v1/jobs/a", "/v1/jobs/b", "/secret-1", "/secret-2", "/v1/jobs/a/b/c"} {
		resp, err := http.Get("http://" + s.Addr() + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	var text strings.Builder
	m.Write(&text)
	if strings.Contains(text.String(), "secret") || strings.Contains(text.String(), "jobs/a") {
		t.Errorf("the metrics contain paths of requests:\n%s", text.String())
	}
	if !strings.Contains(text.String(), `route="/v1/jobs/:id",code="204"} 3`) {
		t.Errorf("the metrics lack 3 requests for the route /v1/jobs/:id:\n%s", text.String())
	}
}
