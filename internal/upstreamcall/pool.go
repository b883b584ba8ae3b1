// Package upstreamcall runs tasks on an upstream over HTTP and reports reliably
// whether the upstream may have received the request.
//
// The request of a task is sent at most once. It is a POST without an
// Idempotency-Key header and without GetBody, so net/http does not send it again
// once a byte of it was written. Before the first byte, a gate checks the clock
// and records that the request may have been sent.
package upstreamcall

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Headers of a task request.
const (
	HeaderJob         = "Dogwoodgauge-Job"
	HeaderAttempt     = "Dogwoodgauge-Attempt"
	HeaderTask        = "Dogwoodgauge-Task"
	HeaderTeam        = "Dogwoodgauge-Team"
	headerTraceparent = "traceparent"
)

// taskPath is the path of a task request.
const taskPath = "/v1/tasks"

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the keep-alive timeout of common servers, so that
	// this side and not the upstream closes an idle connection.
	idleTimeout = 4 * time.Second
	// maxOverrun is how long Do waits for the answer after the job's deadline.
	maxOverrun = time.Minute
	// maxResultBytes bounds the result of one task.
	maxResultBytes = job.MaxPayloadBytes
	// maxDetailBytes bounds the part of an error reply that Outcome.Detail quotes.
	maxDetailBytes = 256
)

// Task is one task to run.
type Task struct {
	ID      job.ID
	Attempt int
	Index   int
	Team    string
	Payload []byte
	// Timeout is the time left until the job's deadline.
	Timeout time.Duration
	// NotAfter is the monotonic time after which the task must not start.
	NotAfter time.Duration
	// Trace is a W3C traceparent value, or empty.
	Trace string
}

// Outcome is the final state of a task and its result. State is one of
//   - job.Done or job.Failed, as answered by the upstream,
//   - job.NotRun: no byte of the request was sent or will be sent,
//   - job.Unknown: the task may have run, but its outcome is not known.
type Outcome struct {
	State  job.TaskState
	Body   []byte
	Detail string
}

// Pool is a pool of connections to one upstream. It is safe for concurrent use.
type Pool struct {
	url       string
	mono      func() time.Duration
	transport *http.Transport
}

// NewPool returns a pool for the upstream at addr, an IP:port. The argument
// connections is the maximum number of connections. Mono returns the monotonic
// time, on the clock of Task.NotAfter.
func NewPool(addr string, connections int, mono func() time.Duration) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
	return &Pool{
		url:  "http://" + addr + taskPath,
		mono: mono,
		transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Close closes the idle connections. Running tasks continue.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }

// Do runs a task and waits for its completion. When ctx ends first, the outcome is
// job.NotRun or job.Unknown.
func (p *Pool) Do(ctx context.Context, t Task) Outcome {
	ctx, cancel := context.WithTimeout(ctx, max(t.Timeout, 0)+maxOverrun)
	defer cancel()
	g := &gate{notAfter: t.NotAfter, mono: p.mono}
	startTimer := time.AfterFunc(t.NotAfter-p.mono(), func() {
		if g.close() {
			cancel()
		}
	})
	defer startTimer.Stop()
	req, err := p.request(ctx, g, t)
	if err != nil {
		return Outcome{State: job.NotRun, Detail: err.Error()}
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return outcomeWithoutAnswer(g, err)
	}
	defer resp.Body.Close()
	return readOutcome(resp)
}

func (p *Pool) request(ctx context.Context, g *gate, t Task) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*gatedConn); ok {
				c.gate.Store(g)
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url, bytes.NewReader(t.Payload))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set(HeaderJob, string(t.ID))
	req.Header.Set(HeaderAttempt, strconv.Itoa(t.Attempt))
	req.Header.Set(HeaderTask, strconv.Itoa(t.Index))
	req.Header.Set(HeaderTeam, t.Team)
	if t.Trace != "" {
		req.Header.Set(headerTraceparent, t.Trace)
	}
	return req, nil
}

// outcomeWithoutAnswer returns the outcome of a request that got no answer.
func outcomeWithoutAnswer(g *gate, err error) Outcome {
	if !g.close() {
		return Outcome{State: job.Unknown, Detail: "the upstream's answer was lost: " + err.Error()}
	}
	if g.mono() > g.notAfter {
		err = errTooLate
	}
	return Outcome{State: job.NotRun, Detail: err.Error()}
}

func readOutcome(resp *http.Response) Outcome {
	if resp.StatusCode != http.StatusOK {
		return errorReplyOutcome(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		return Outcome{State: job.Unknown, Detail: "the upstream's answer was cut: " + err.Error()}
	}
	if len(body) > maxResultBytes {
		return Outcome{
			State:  job.Failed,
			Detail: fmt.Sprintf("the task's result exceeds %d bytes", maxResultBytes),
		}
	}
	return Outcome{State: job.Done, Body: body}
}

// errorReplyOutcome returns the outcome of a request that the upstream answered with
// another status than 200.
func errorReplyOutcome(resp *http.Response) Outcome {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	return Outcome{
		State:  job.Failed,
		Detail: fmt.Sprintf("the upstream answered %d: %s", resp.StatusCode, bytes.TrimSpace(text)),
	}
}
