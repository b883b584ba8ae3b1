// Package publish appends changes by operators to the control stream and reads the
// stream until their outcome is known.
package publish

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
)

const (
	// readLimit is the maximum number of records of one read.
	readLimit = 500
	// retryDelay is the delay before a retry of a failed request to the log.
	retryDelay = 200 * time.Millisecond
	// tailRecords is the number of records at the end of the stream that are kept
	// for a handover.
	tailRecords = 64
)

// ErrIncomplete means that the stream has no complete configuration: retention has
// deleted its beginning, and no snapshot follows.
var ErrIncomplete = errors.New("the log holds no complete configuration")

// Client publishes changes to one control stream. It is safe for concurrent use.
type Client struct {
	Log    logclient.Log
	Stream string
}

// Publication is the result of Publish.
type Publication struct {
	control.Result
	// State is the state folded from the records read so far.
	State *control.State
	// From is the offset of the first of Records, the last records read.
	From    int64
	Records [][]byte
}

// Publish publishes one change and retries failed requests until ctx ends. An error
// means that the change is not known to be accepted. Publication.Status then states
// whether it may still be accepted. Author names the operator.
func (c *Client) Publish(ctx context.Context, author string, edit control.EditFunc) (Publication, error) {
	p := control.NewPublisher(uuid.NewString(), author, edit)
	var tail tail
	for p.Step() != control.StepDone {
		if err := c.step(ctx, p, &tail); err != nil {
			return Publication{Result: p.Result(), State: p.State()}, err
		}
	}
	return Publication{Result: p.Result(), State: p.State(), From: tail.from, Records: tail.records}, nil
}

// step performs one step of the publisher, and waits if the step fails. It returns an
// error only when the step failed and ctx has ended.
func (c *Client) step(ctx context.Context, p *control.Publisher, t *tail) error {
	var err error
	if p.Step() == control.StepAppend {
		err = c.append(ctx, p)
	} else {
		err = c.read(ctx, p, t)
	}
	if err != nil {
		return waitForRetry(ctx, err)
	}
	return nil
}

func (c *Client) append(ctx context.Context, p *control.Publisher) error {
	_, err := c.Log.Append(ctx, c.Stream, p.Record())
	switch {
	case err == nil:
		p.Appended()
	case !errors.Is(err, logclient.ErrUnavailable):
		p.AppendFailed()
	}
	return err
}

func (c *Client) read(ctx context.Context, p *control.Publisher, t *tail) error {
	r, err := c.Log.Read(ctx, c.Stream, p.State().Next(), readLimit, 0)
	if err != nil {
		return err
	}
	t.add(r.From, r.Records)
	p.RecordsRead(r.From, r.Records, r.End)
	if p.Step() == control.StepRead && p.State().Next() >= r.End && !p.State().Synced() {
		return ErrIncomplete
	}
	return nil
}

// Read returns the state at the end of the stream. It calls each, which may be nil,
// with the configuration after every record.
func (c *Client) Read(ctx context.Context, each func(*config.Config)) (*control.State, error) {
	state := control.NewState()
	for {
		r, err := c.Log.Read(ctx, c.Stream, state.Next(), readLimit, 0)
		if err != nil {
			if err := waitForRetry(ctx, err); err != nil {
				return nil, err
			}
			continue
		}
		for i, record := range r.Records {
			state.Apply(r.From+int64(i), record)
			if each != nil {
				each(state.Config())
			}
		}
		if state.Next() < r.End && len(r.Records) > 0 {
			continue
		}
		if !state.Synced() {
			return nil, ErrIncomplete
		}
		return state, nil
	}
}

// waitForRetry waits for retryDelay. It returns cause when ctx has ended.
func waitForRetry(ctx context.Context, cause error) error {
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return cause
	case <-t.C:
		return nil
	}
}

// tail holds the last consecutive records that were read.
type tail struct {
	from    int64
	records [][]byte
}

func (t *tail) add(from int64, records [][]byte) {
	if from != t.from+int64(len(t.records)) {
		t.from, t.records = from, nil
	}
	t.records = append(t.records, records...)
	if extra := len(t.records) - tailRecords; extra > 0 {
		t.records = t.records[extra:]
		t.from += int64(extra)
	}
}
