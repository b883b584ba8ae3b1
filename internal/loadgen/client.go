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
	// connsPerEntry is how many idle connections are kept to each entry.
	connsPerEntry = 512
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// errNotSent says that an entry could not be connected to.
var errNotSent = errors.New("entry not reached")

// errNoAnswer says that a connection ended before its answer.
var errNoAnswer = errors.New("connection ended before the answer")

// client speaks the caller's interface.
type client struct {
	http  *http.Client
	delay time.Duration
}

// newClient returns a client whose link to the entries has a one-way delay.
func newClient(delay time.Duration) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: connsPerEntry,
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
	err = c.call(ctx, http.MethodPost, "http://"+entry+"/v1/jobs", body, &answer)
	return answer, err
}

// cancel cancels a job and waits for its answer.
func (c *client) cancel(ctx context.Context, entry string, id job.ID, attempt int) (httpapi.JobAnswer, error) {
	var answer httpapi.JobAnswer
	url := "http://" + entry + "/v1/jobs/" + string(id) + "?attempt=" + strconv.Itoa(attempt)
	err := c.call(ctx, http.MethodDelete, url, nil, &answer)
	return answer, err
}

// mint returns new job IDs.
func (c *client) mint(ctx context.Context, entry string, count int) ([]job.ID, error) {
	body, err := json.Marshal(httpapi.IDsRequest{Count: count})
	if err != nil {
		return nil, err
	}
	var answer httpapi.IDsAnswer
	err = c.call(ctx, http.MethodPost, "http://"+entry+"/v1/ids", body, &answer)
	return answer.IDs, err
}

// call makes one request over the delayed link.
func (c *client) call(ctx context.Context, method, url string, body []byte, answer any) error {
	sleep(ctx, c.delay)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// The client decides itself whether and where to send a request again.
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
		return errors.Errorf("%s %s: status %d, body %.100q", method, url, resp.StatusCode, data)
	}
	return nil
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(errNotSent, err.Error())
	}
	return errors.Wrap(errNoAnswer, err.Error())
}

// sleep reports false when ctx ended before d had passed.
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
