package entryd

import (
	"context"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
)

// result is the core's answer to one call. It sets mint for Mint, reply for Submit,
// Fetch and Cancel, and neither for an inspection.
type result struct {
	reply entry.Reply
	mint  entry.MintReply
}

// Submit implements httpapi.Service.
func (d *Daemon) Submit(ctx context.Context, j job.Job, wait bool, trace string) (entry.Reply, error) {
	r, err := d.call(ctx, func(call uint64) entry.Event {
		return entry.SubmitCall{Call: call, Job: j, Wait: wait, Trace: trace}
	})
	return r.reply, err
}

// Fetch implements httpapi.Service.
func (d *Daemon) Fetch(ctx context.Context, f entry.FetchCall) (entry.Reply, error) {
	r, err := d.call(ctx, func(call uint64) entry.Event {
		f.Call = call
		return f
	})
	return r.reply, err
}

// Cancel implements httpapi.Service.
func (d *Daemon) Cancel(ctx context.Context, id job.ID, attempt int) (entry.Reply, error) {
	r, err := d.call(ctx, func(call uint64) entry.Event {
		return entry.CancelCall{Call: call, ID: id, Attempt: attempt}
	})
	return r.reply, err
}

// Mint implements httpapi.Service.
func (d *Daemon) Mint(ctx context.Context, count int) (entry.MintReply, error) {
	r, err := d.call(ctx, func(call uint64) entry.Event {
		return entry.MintCall{Call: call, Count: count}
	})
	return r.mint, err
}

// call posts the event of a new call to the core and waits for the answer. It returns
// an error if ctx ends or the daemon stops first.
func (d *Daemon) call(ctx context.Context, event func(call uint64) entry.Event) (result, error) {
	call, answer := d.calls.Add()
	defer d.calls.Remove(call)
	if !d.loop.Post(event(call)) {
		return result{}, process.ErrStopped
	}
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		d.loop.Post(entry.CallerGone{Call: call})
		return result{}, ctx.Err()
	case <-d.killed.Done():
		return result{}, process.ErrStopped
	case <-d.loop.Done():
		return result{}, process.ErrStopped
	}
}
