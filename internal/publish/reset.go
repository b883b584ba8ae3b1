package publish

import (
	"bytes"
	"context"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
)

// ErrComplete says that the stream holds a complete configuration, so that it
// must not be reset.
var ErrComplete = errors.New("the log holds a complete configuration")

// ErrUndecided says that a reset may still take effect.
var ErrUndecided = errors.New("it is not known whether the stream was reset")

// Reset begins a stream anew whose configuration is lost, and returns the offset
// of the reset. It waits for the log until ctx ends. The error is ErrComplete
// when nothing is lost and ErrUndecided when a reply was lost and the record
// could not be looked up.
func (c *Client) Reset(ctx context.Context, author string) (int64, error) {
	r := reset{author: author}
	for {
		err := r.read(ctx, c)
		switch {
		case err == nil && r.done():
			return r.next, nil
		case err == nil && r.state.Synced():
			return 0, ErrComplete
		case err == nil:
			err = r.append(ctx, c)
		}
		if err == nil {
			continue
		}
		if err := pause(ctx, err); err != nil {
			return 0, r.failure(err)
		}
	}
}

// reset is one run of Client.Reset.
type reset struct {
	author string
	state  *control.State
	// next is the offset at which record counts.
	next   int64
	record []byte
	// found says that record is at next.
	found bool
	// open says that an append of record may still arrive.
	open bool
}

// read folds the whole stream and looks for the record.
func (r *reset) read(ctx context.Context, c *Client) error {
	r.state = control.NewState()
	for {
		res, err := c.Log.Read(ctx, c.Stream, r.state.Next(), readLimit, 0)
		if err != nil {
			return err
		}
		for i, record := range res.Records {
			offset := res.From + int64(i)
			r.found = r.found || offset == r.next && bytes.Equal(record, r.record)
			r.state.Apply(offset, record)
		}
		if r.state.Next() >= res.End || len(res.Records) == 0 {
			return nil
		}
	}
}

func (r *reset) done() bool { return r.record != nil && r.found }

// append appends the record for the end of the stream. Doubles and late copies
// count at no other offset.
func (r *reset) append(ctx context.Context, c *Client) error {
	r.next = r.state.Next()
	r.record = control.EncodeReset(r.author, r.next)
	_, err := c.Log.Append(ctx, c.Stream, r.record)
	r.open = r.open || errors.Is(err, logclient.ErrUnknownEffect)
	return err
}

func (r *reset) failure(cause error) error {
	if r.open {
		return errors.Wrap(ErrUndecided, cause.Error())
	}
	return cause
}
