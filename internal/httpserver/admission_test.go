package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// answerOf returns the status of the next answer on a connection, or an error within a minute.
func answerOf(c net.Conn) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// TestNewConnectionTakesThePlace guards against clients that keep others out by holding all
// connections, without a request, with a part of one, or without reading the answers.
func TestNewConnectionTakesThePlace(t *testing.T) {
	large := strings.Repeat("x", 8<<20)
	for name, request := range map[string]string{
		"silent": "", "header": "GET / HTT", "body": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n",
		"unread answer": "GET /large HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, Config{MaxConnections: 1, HeaderTimeout: time.Hour, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/large" {
					_, _ = io.WriteString(w, large)
				}
			})})
			first := dial(t, s)
			send(t, first, request)
			// A connection in which a request or an answer is on its way is replaced only then.
			for status := 0; status != http.StatusOK; time.Sleep(10 * time.Millisecond) {
				second := dial(t, s)
				send(t, second, get)
				status, _ = answerOf(second)
				_ = second.Close()
			}
			_ = first.SetReadDeadline(time.Now().Add(time.Minute))
			if _, err := io.Copy(io.Discard, first); isTimeout(err) {
				t.Error("the first connection was not closed")
			}
		})
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// readUntilClosed returns what the server sends until it closes the connection, or an error if it
// does not within a minute.
func readUntilClosed(c net.Conn) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	text, err := io.ReadAll(c)
	if isTimeout(err) {
		return string(text), err
	}
	return string(text), nil
}

// TestReplacedConnectionGetsNoAnswer guards against a client whose request crosses the end of its
// connection and that is told that the request never runs: an earlier one with the same ID may.
func TestReplacedConnectionGetsNoAnswer(t *testing.T) {
	s := start(t, Config{MaxConnections: 1, Handler: http.NotFoundHandler()})
	first := dial(t, s)
	send(t, first, get)
	if status, err := answerOf(first); status != http.StatusNotFound {
		t.Fatalf("got status %d, %v, want 404", status, err)
	}
	second := dial(t, s)
	send(t, second, get)
	if status, err := answerOf(second); status != http.StatusNotFound {
		t.Errorf("second connection: got status %d, %v, want 404", status, err)
	}
	if text, err := readUntilClosed(first); text != "" || err != nil {
		t.Errorf("first connection: got %q, %v, want its end without an answer", text, err)
	}
}

// TestConnectionIsClosedWhileAllWait guards against a connection that is closed although its client
// waits for an answer, against new ones that wait for a place, and against an answer to a request
// that was not read.
func TestConnectionIsClosedWhileAllWait(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := start(t, Config{MaxConnections: 1, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	})})
	first := dial(t, s)
	send(t, first, get)
	<-entered
	if text, err := readUntilClosed(dial(t, s)); text != "" || err != nil {
		t.Errorf("second connection: got %q, %v, want its end without an answer", text, err)
	}
	close(release)
	if status, err := answerOf(first); status != http.StatusOK {
		t.Errorf("first connection: got status %d, %v, want 200", status, err)
	}
}
