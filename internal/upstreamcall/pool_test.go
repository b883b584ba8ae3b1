package upstreamcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

func fixedTime(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

func task() Task {
	return Task{
		ID:       "j1",
		Attempt:  2,
		Index:    7,
		Team:     "records",
		Payload:  []byte("check"),
		Timeout:  10 * time.Second,
		NotAfter: time.Minute,
		Trace:    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
	}
}

func TestDoSendsHeadersAndReturnsResult(t *testing.T) {
	var got *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		_, _ = w.Write([]byte("valid"))
	}))
	defer server.Close()
	pool := NewPool(server.Listener.Addr().String(), 1, fixedTime(0))
	defer pool.Close()

	out := pool.Do(context.Background(), task())

	if out.State != job.Done || string(out.Body) != "valid" {
		t.Fatalf("got outcome %+v, want done with the upstream's body", out)
	}
	if string(body) != "check" || got.Method != http.MethodPost || got.URL.Path != "/v1/tasks" {
		t.Errorf("got request %s %s with body %q, want POST /v1/tasks with the payload", got.Method, got.URL.Path, body)
	}
	want := map[string]string{
		upstream.HeaderJob:     "j1",
		upstream.HeaderAttempt: "2",
		upstream.HeaderTask:    "7",
		upstream.HeaderTeam:    "records",
		"traceparent":          task().Trace,
		"Idempotency-Key":      "",
	}
	for name, value := range want {
		if got.Header.Get(name) != value {
			t.Errorf("got header %s = %q, want %q", name, got.Header.Get(name), value)
		}
	}
}

func TestDoStatus(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   job.TaskState
	}{
		{"no content is not a result", 204, "", job.Failed},
		{"redirect is not followed", 307, "", job.Failed},
		{"bad request", 400, "no such attendant", job.Failed},
		{"unavailable", 503, "", job.Failed},
		{"result at the limit", 200, strings.Repeat("x", maxResultBytes), job.Done},
		{"result beyond the limit", 200, strings.Repeat("x", maxResultBytes+1), job.Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var starts atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				starts.Add(1)
				w.Header().Set("Location", "/v1/tasks")
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer server.Close()
			pool := NewPool(server.Listener.Addr().String(), 1, fixedTime(0))
			defer pool.Close()
			out := pool.Do(context.Background(), task())
			if out.State != tt.want {
				t.Errorf("got state %s (%s), want %s", out.State, out.Detail, tt.want)
			}
			if starts.Load() != 1 {
				t.Errorf("got %d starts, want 1", starts.Load())
			}
		})
	}
}

func TestDoRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	pool := NewPool(addr, 1, fixedTime(0))
	if out := pool.Do(context.Background(), task()); out.State != job.NotRun {
		t.Errorf("got outcome %+v, want not_run", out)
	}
}

// rawUpstream is a server that counts the requests it has read and writes raw
// answers.
type rawUpstream struct {
	listener net.Listener
	starts   atomic.Int32
	// answer writes the answer to the request with number n, counted from 1. It
	// reports whether the connection stays open.
	answer func(n int32, c net.Conn) bool
}

func newRawUpstream(t *testing.T, answer func(n int32, c net.Conn) bool) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go u.serve()
	return u
}

func (u *rawUpstream) serve() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(c)
	}
}

func (u *rawUpstream) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if !u.answer(u.starts.Add(1), c) {
			return
		}
	}
}

const rawOK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestDoLostAnswerIsUnknownAndStartsOnce guards against a request that is sent twice.
// net/http repeats some requests when the server closes the connection without an
// answer, and the task would then run twice.
func TestDoLostAnswerIsUnknownAndStartsOnce(t *testing.T) {
	write := func(text string) func(net.Conn) bool {
		return func(c net.Conn) bool {
			_, _ = io.WriteString(c, text)
			return false
		}
	}
	tests := []struct {
		name    string
		payload string
		// earlier is the number of requests that the upstream answers before the one
		// whose answer is lost.
		earlier int32
		last    func(net.Conn) bool
	}{
		{"new connection", "check", 0, write("")},
		{"new connection, empty payload", "", 0, write("")},
		{"kept connection", "check", 3, write("")},
		{"kept connection, empty payload", "", 3, write("")},
		{"answer cut in the header", "check", 1, write("HTTP/1.1 200 OK\r\nContent-Le")},
		{"answer cut in the body", "check", 1, write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")},
		{"answer is garbage", "check", 1, write("SSH-2.0\r\n\r\n")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newRawUpstream(t, func(n int32, c net.Conn) bool {
				if n <= tt.earlier {
					_, err := io.WriteString(c, rawOK)
					return err == nil
				}
				return tt.last(c)
			})
			pool := NewPool(u.listener.Addr().String(), 1, fixedTime(0))
			defer pool.Close()
			tk := task()
			tk.Payload = []byte(tt.payload)
			for range tt.earlier {
				if out := pool.Do(context.Background(), tk); out.State != job.Done {
					t.Fatalf("got outcome %+v of an earlier task, want done", out)
				}
			}
			if out := pool.Do(context.Background(), tk); out.State != job.Unknown {
				t.Errorf("got outcome %+v, want unknown", out)
			}
			if got := u.starts.Load(); got != tt.earlier+1 {
				t.Errorf("got %d starts, want %d", got, tt.earlier+1)
			}
		})
	}
}

func TestDoAfterNotAfterSendsNothing(t *testing.T) {
	u := newRawUpstream(t, func(_ int32, c net.Conn) bool {
		_, err := io.WriteString(c, rawOK)
		return err == nil
	})
	var now atomic.Int64
	mono := func() time.Duration { return time.Duration(now.Load()) }
	pool := NewPool(u.listener.Addr().String(), 1, mono)
	defer pool.Close()
	if out := pool.Do(context.Background(), task()); out.State != job.Done {
		t.Fatalf("got outcome %+v of the first task, want done", out)
	}
	now.Store(int64(time.Minute + 1))
	out := pool.Do(context.Background(), task())
	if out.State != job.NotRun || out.Detail != errTooLate.Error() {
		t.Errorf("got outcome %+v, want not_run", out)
	}
	if got := u.starts.Load(); got != 1 {
		t.Errorf("got %d starts, want 1", got)
	}
}

// TestDoWaitsForConnectionUntilNotAfter checks that a task which finds every connection
// busy is given up, and not started late, when its latest start time has passed.
func TestDoWaitsForConnectionUntilNotAfter(t *testing.T) {
	release := make(chan struct{})
	busy := make(chan struct{})
	u := newRawUpstream(t, func(_ int32, c net.Conn) bool {
		close(busy)
		<-release
		_, err := io.WriteString(c, rawOK)
		return err == nil
	})
	start := time.Now()
	pool := NewPool(u.listener.Addr().String(), 1, func() time.Duration { return time.Since(start) })
	defer pool.Close()
	first := make(chan Outcome, 1)
	go func() { first <- pool.Do(context.Background(), task()) }()
	<-busy
	late := task()
	late.NotAfter = time.Since(start) + 20*time.Millisecond
	if out := pool.Do(context.Background(), late); out.State != job.NotRun {
		t.Errorf("got outcome %+v of the second task, want not_run", out)
	}
	close(release)
	if out := <-first; out.State != job.Done {
		t.Errorf("got outcome %+v of the first task, want done", out)
	}
	if got := u.starts.Load(); got != 1 {
		t.Errorf("got %d starts, want 1", got)
	}
}

func TestDoCancelledBeforeSendIsNotRun(t *testing.T) {
	u := newRawUpstream(t, func(int32, net.Conn) bool { return false })
	pool := NewPool(u.listener.Addr().String(), 1, fixedTime(0))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if out := pool.Do(ctx, task()); out.State != job.NotRun {
		t.Errorf("got outcome %+v, want not_run", out)
	}
	if got := u.starts.Load(); got != 0 {
		t.Errorf("got %d starts, want 0", got)
	}
}

// TestGateDecidesOnce checks that a closed gate cannot be opened, nor an open one closed.
func TestGateDecidesOnce(t *testing.T) {
	g := &gate{notAfter: time.Second, mono: fixedTime(0)}
	if !g.close() {
		t.Fatal("close() = false for a waiting gate, want true")
	}
	if err := g.pass(); err == nil {
		t.Error("a closed gate let a request pass")
	}
	g = &gate{notAfter: time.Second, mono: fixedTime(0)}
	if err := g.pass(); err != nil {
		t.Fatal(err)
	}
	if g.close() {
		t.Error("close() = true for an open gate, want false")
	}
}

// TestGateChecksTheClockAtTheFirstByte checks that the write itself compares the
// clock with the latest start time, although no timer has closed the gate.
func TestGateChecksTheClockAtTheFirstByte(t *testing.T) {
	now := time.Second
	g := &gate{notAfter: time.Second, mono: func() time.Duration { return now }}
	now++
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	c := &gatedConn{Conn: client}
	c.gate.Store(g)
	if n, err := c.Write([]byte("POST")); n != 0 || err != errTooLate {
		t.Errorf("got %d bytes written, error %v, want none and errTooLate", n, err)
	}
	if !g.close() {
		t.Error("the gate is open after the latest start time")
	}
}
