package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// startReader starts a server that reads bodies of up to 256 KiB.
func startReader(t *testing.T, memory int64) *Server {
	t.Helper()
	e := NewRouter(telemetry.NewMetrics())
	e.POST("/", func(c echo.Context) error {
		return ReadBody(c, 256<<10, func(body []byte) error { return c.String(http.StatusOK, fmt.Sprint(len(body))) })
	})
	return start(t, Config{Handler: e, BodyMemory: NewBodyMemory(memory)})
}

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
}

// TestBodiesThatDoNotFit guards against large bodies that take all memory, and against small ones
// that are refused beside them.
func TestBodiesThatDoNotFit(t *testing.T) {
	const size = 100 << 10
	s := startReader(t, 250<<10)
	for range 2 {
		send(t, dial(t, s), post(size)+strings.Repeat("x", size-1))
	}
	for refused := 0; refused < 3; {
		third := dial(t, s)
		send(t, third, post(size))
		go func() { _, _ = io.WriteString(third, strings.Repeat("x", size)) }()
		switch status, err := answerOf(third); status {
		case http.StatusServiceUnavailable:
			refused++
		case http.StatusOK: // The first two have not arrived yet.
		default:
			t.Fatalf("got status %d, %v, want 503", status, err)
		}
		_ = third.Close()
	}
	small := dial(t, s)
	send(t, small, post(100)+strings.Repeat("x", 100))
	if status, err := answerOf(small); status != http.StatusOK {
		t.Errorf("small body: got status %d, %v, want 200", status, err)
	}
}

// TestTooLargeBodyIsRefusedUnread guards against a server that reads a body although its
// announced length is too large.
func TestTooLargeBodyIsRefusedUnread(t *testing.T) {
	c := dial(t, startReader(t, 1<<20))
	send(t, c, post(64<<20))
	if status, err := answerOf(c); status != http.StatusRequestEntityTooLarge {
		t.Errorf("got status %d, %v, want 413", status, err)
	}
	if _, err := io.Copy(io.Discard, c); isTimeout(err) {
		t.Error("the connection was not closed")
	}
}

// TestSlowestBodyLosesItsMemory guards against clients that never complete their bodies and so
// keep those of others out.
func TestSlowestBodyLosesItsMemory(t *testing.T) {
	m := NewBodyMemory(100)
	cut := ""
	begin := func(name string, age time.Duration) *body {
		return &body{memory: m, since: time.Now().Add(-age), cut: func() { cut += name }}
	}
	slow, recent, next := begin("slow", time.Minute), begin("recent", 0), begin("next", 0)
	for _, b := range []*body{slow, recent, next} {
		if err := b.reserve(40); err != nil {
			t.Errorf("got %v", err)
		}
	}
	if cut != "slow" || slow.complete() || !recent.complete() {
		t.Errorf("cut off: %q, want only the slow body", cut)
	}
	if err := begin("last", 0).reserve(40); !errors.Is(err, ErrNoMemory) {
		t.Errorf("got %v, want ErrNoMemory while the others have just begun", err)
	}
	for _, b := range []*body{slow, recent, next} {
		b.release(100)
	}
	if m.free != 100 {
		t.Errorf("%d bytes are free at the end, want 100", m.free)
	}
}
