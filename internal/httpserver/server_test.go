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

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestSlowHeaderIsCut(t *testing.T) {
	s := start(t, Config{Handler: http.NotFoundHandler(), HeaderTime: 20 * time.Millisecond})
	c := dial(t, s)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Slow: "); err != nil {
		t.Fatal(err)
	}
	// The read ends only when the server closes the connection.
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Logf("connection ended with %v", err)
	}
}

func TestLargeHeaderIsRefused(t *testing.T) {
	s := start(t, Config{Handler: http.NotFoundHandler()})
	c := dial(t, s)
	// The server may close before it has read everything, so that the write may
	// fail.
	go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Large: "+strings.Repeat("x", 64<<10)) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", resp.StatusCode)
	}
}

func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	s := start(t, Config{
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		MaxConnections: 1,
	})
	first := dial(t, s)
	second := dial(t, s)
	const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	answered := func(c net.Conn) {
		t.Helper()
		if _, err := io.WriteString(c, get); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
	}
	answered(first)
	_ = first.Close()
	answered(second)
}

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
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
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
	shut := make(chan error, 1)
	go func() { shut <- s.Shutdown(context.Background()) }()
	close(release)
	if got := <-status; got != http.StatusNoContent {
		t.Errorf("status %d, want 204", got)
	}
	if err := <-shut; err != nil {
		t.Error(err)
	}
	select {
	case err := <-ended:
		t.Errorf("Run ended before Close: %v", err)
	default:
	}
	_ = s.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestRoutesBoundTheLabelsOfMetrics(t *testing.T) {
	m := telemetry.NewMetrics()
	e := NewRouter(m)
	Health(e, func() error { return nil }, m.Write)
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
		t.Errorf("metrics carry paths of callers:\n%s", text.String())
	}
	if !strings.Contains(text.String(), `route="/v1/jobs/:id",code="204"} 3`) {
		t.Errorf("metrics lack the route:\n%s", text.String())
	}
}
