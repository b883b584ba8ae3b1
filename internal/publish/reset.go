package publish

import (
	"bytes"
	"context"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
)

// ErrComplete means that the stream has a complete configuration and must not be
// reset.
var ErrComplete = errors.New("the log holds a complete configuration")

// ErrUndecided means that a reset may have taken effect or may still do so.
var ErrUndecided = errors.New("it is not known whether the stream was reset")

// Reset appends a record from which a stream that has lost its configuration starts
// again, and returns the offset of that record. It retries failed requests until
// ctx ends. The error is ErrComplete when the configuration is not lost. It is
// ErrUndecided when the reply to an append was lost, and reading the stream failed,
// so that it is not known whether the record is there.
func (c *Client) Reset(ctx context.Context, author string) (int64, error) {
	r := resetAttempt{author: author}
	for {
		err := r.read(ctx, c)
		switch {
		case err == nil && r.done():
			return r.offset, nil
		case err == nil && r.state.Synced():
			return 0, ErrComplete
		case err == nil:
			err = r.append(ctx, c)
		}
		if err == nil {
			continue
		}
		if err := waitForRetry(ctx, err); err != nil {
			return 0, r.failure(err)
		}
	}
}

// resetAttempt is the state of one call of Client.Reset.
type resetAttempt struct {
	author string
	state  *control.State
	// offset is the only offset at which record takes effect.
	offset int64
	record []byte
	// found is true when the stream has record at offset.
	found bool
	// effectUnknown is true when an append may have taken effect or may still do so.
	effectUnknown bool
}

// read folds the whole stream into state and searches it for the record.
func (r *resetAttempt) read(ctx context.Context, c *Client) error {
	r.state = control.NewState()
	for {
		res, err := c.Log.Read(ctx, c.Stream, r.state.Next(), readLimit, 0)
		if err != nil {
			return err
		}
		for i, record := range res.Records {
			offset := res.From + int64(i)
			r.found = r.found || offset == r.offset && bytes.Equal(record, r.record)
			r.state.Apply(offset, record)
		}
		if r.state.Next() >= res.End || len(res.Records) == 0 {
			return nil
		}
	}
}

func (r *resetAttempt) done() bool { return r.record != nil && r.found }

// append appends a reset record for the offset at the end of the stream. Duplicate
// and delayed copies have no effect, because they are at another offset.
func (r *resetAttempt) append(ctx context.Context, c *Client) error {
	r.offset = r.state.Next()
	r.record = control.EncodeReset(r.author, r.offset)
	_, err := c.Log.Append(ctx, c.Stream, r.record)
	r.effectUnknown = r.effectUnknown || errors.Is(err, logclient.ErrUnknownEffect)
	return err
}

func (r *resetAttempt) failure(cause error) error {
	if r.effectUnknown {
		return errors.Wrap(ErrUndecided, cause.Error())
	}
	return cause
}
