package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/go-faster/errors"
)

const (
	// maxIdleConnsPerEntry is the number of idle connections kept open to each entry.
	maxIdleConnsPerEntry = 512
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
)

// errNotSent means that no connection to the entry could be opened.
var errNotSent = errors.New("cannot connect to the entry")

// errNoAnswer means that the connection failed before the complete answer arrived.
var errNoAnswer = errors.New("connection closed before the answer")

// client sends requests to entries over the HTTP interface for callers. delay is the
// simulated one-way delay of the link.
type client struct {
	http  *http.Client
	delay time.Duration
}

// newClient returns a client with a simulated one-way delay to the entries.
func newClient(delay time.Duration) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		MaxIdleConns:        0,
	}
	return &client{http: &http.Client{Transport: transport}, delay: delay}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// submit sends a job and waits for its answer.
func (c *client) submit(ctx context.Context, entry string, r *httpapi.JobRequest) (httpapi.JobAnswer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return httpapi.JobAnswer{}, err
	}
	var answer httpapi.JobAnswer
	err = c.doRequest(ctx, http.MethodPost, "http://"+entry+"/v1/jobs", body, &answer)
	return answer, err
}

// cancel cancels a job and waits for its answer.
func (c *client) cancel(ctx context.Context, entry string, id job.ID, attempt int) (httpapi.JobAnswer, error) {
	var answer httpapi.JobAnswer
	url := "http://" + entry + "/v1/jobs/" + string(id) + "?attempt=" + strconv.Itoa(attempt)
	err := c.doRequest(ctx, http.MethodDelete, url, nil, &answer)
	return answer, err
}

// mint requests new job IDs from an entry.
func (c *client) mint(ctx context.Context, entry string, count int) ([]job.ID, error) {
	body, err := json.Marshal(httpapi.IDsRequest{Count: count})
	if err != nil {
		return nil, err
	}
	var answer httpapi.IDsAnswer
	err = c.doRequest(ctx, http.MethodPost, "http://"+entry+"/v1/ids", body, &answer)
	return answer.IDs, err
}

// doRequest makes one request over the delayed link.
func (c *client) doRequest(ctx context.Context, method, url string, body []byte, answer any) error {
	sleep(ctx, c.delay)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Without GetBody, net/http cannot send the body again by itself: the caller of this
	// method decides whether and where to send a request again.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return classify(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(errNoAnswer, err.Error())
	}
	sleep(ctx, c.delay)
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Errorf("%s %s: cannot decode the answer: status %d, body %.100q", method, url, resp.StatusCode, data)
	}
	return nil
}

// classify wraps a transport error in errNotSent or errNoAnswer.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(errNotSent, err.Error())
	}
	return errors.Wrap(errNoAnswer, err.Error())
}

// sleep reports false if ctx ended before d had passed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
