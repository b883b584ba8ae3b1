// Package logclient reads streams of the platform's append-only log and appends
// records to them.
//
// The HTTP protocol, with JSON bodies and records in base64:
//
//	POST /v1/streams/{stream}/records  {"record":"..."}
//	  200 {"offset":7}
//	GET  /v1/streams/{stream}/records?from=7&max=100&wait_ms=1000
//	  200 {"from":7,"records":["..."],"end":8,"oldest":3}
//
// A read from the end of the stream waits up to wait_ms for a record. Offsets
// start at 0 and increase by one with each record. If retention has deleted the
// record at the requested offset, the read starts at the oldest record, and "from"
// in the reply is greater than the requested offset. A status from 400 to 499, or
// 503, means that an append had no effect.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Log, to be tested with errors.Is.
var (
	// ErrUnavailable means that the request had no effect.
	ErrUnavailable = errors.New("log unavailable")
	// ErrUnknownEffect means that an append may or may not have taken effect.
	ErrUnknownEffect = errors.New("the log append may or may not have taken effect")
)

// maxReplyBytes bounds the size of the reply to one request.
const maxReplyBytes = 64 << 20

// ReadResult is the reply to one read.
type ReadResult struct {
	// From is the offset of the first record, or of the next record to come when
	// Records is empty. It is greater than the requested offset when retention has
	// deleted the record there.
	From    int64    `json:"from"`
	Records [][]byte `json:"records"`
	// End is the offset that the next append would get.
	End int64 `json:"end"`
	// Oldest is the offset of the oldest record that the log retains.
	Oldest int64 `json:"oldest"`
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Record []byte `json:"record"`
}

// AppendResult is the reply to an append.
type AppendResult struct {
	Offset int64 `json:"offset"`
}

// Log is the platform's append-only log. Implementations are safe for
// concurrent use.
type Log interface {
	// Append appends one record and returns its offset. Its error is
	// ErrUnavailable or ErrUnknownEffect.
	Append(ctx context.Context, stream string, record []byte) (offset int64, err error)
	// Read returns up to limit records, starting at the offset from. At the end of
	// the stream it waits up to wait for a record. Its error is ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (ReadResult, error)
}

// Client is a Log over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Log = (*Client)(nil)

// New returns a client of the service at base, such as "http://127.0.0.1:7000".
// Each request is limited to timeout, plus the wait of a read. With a timeout of zero,
// only the context limits a request.
func New(base string, timeout time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &Client{base: base, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, record []byte) (int64, error) {
	ctx, cancel := c.limit(ctx, 0)
	defer cancel()
	body, err := json.Marshal(AppendRequest{Record: record})
	if err != nil {
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream, nil), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	// Without GetBody, net/http never sends the request again over a new
	// connection, so that the record is not appended twice.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	var result AppendResult
	if err := c.do(req, &result); err != nil {
		return 0, appendError(err)
	}
	return result.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (ReadResult, error) {
	ctx, cancel := c.limit(ctx, wait)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"max":     {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, query), nil)
	if err != nil {
		return ReadResult{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	var result ReadResult
	if err := c.do(req, &result); err != nil {
		return ReadResult{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return result, nil
}

// limit returns a context that limits a request to the timeout plus wait.
func (c *Client) limit(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if c.timeout == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout+wait)
}

func (c *Client) url(stream string, query url.Values) string {
	u := c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}

// statusError is a reply with a status other than 200.
type statusError struct{ status int }

func (e *statusError) Error() string {
	return "log service replied with status " + strconv.Itoa(e.status)
}

func (c *Client) do(req *http.Request, result any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
		return &statusError{status: resp.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(result)
}

// appendError returns ErrUnavailable for an append that certainly had no effect,
// and ErrUnknownEffect for any other failed append.
func appendError(err error) error {
	var status *statusError
	if errors.As(err, &status) {
		rejected := status.status >= 400 && status.status < 500
		if rejected || status.status == http.StatusServiceUnavailable {
			return errors.Wrap(ErrUnavailable, err.Error())
		}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUnknownEffect, err.Error())
}
