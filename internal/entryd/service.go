package entryd

import (
	"context"
	"sync"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
)

// result is the core's answer to one call.
type result struct {
	reply entry.Reply
	mint  entry.MintReply
}

// calls holds those who wait for the core's answer to a call.
type calls struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan result
}

// begin returns a new call and the channel of its answer.
func (c *calls) begin() (uint64, <-chan result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = make(map[uint64]chan result)
	}
	c.last++
	ch := make(chan result, 1)
	c.waiting[c.last] = ch
	return c.last, ch
}

// answer hands a result to the one who waits for it, if there still is one.
func (c *calls) answer(call uint64, r result) {
	c.mu.Lock()
	ch, ok := c.waiting[call]
	delete(c.waiting, call)
	c.mu.Unlock()
	if ok {
		ch <- r
	}
}

// forget drops a call that nobody waits for.
func (c *calls) forget(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, call)
}

// count returns the number of calls that wait.
func (c *calls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
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

// call hands an event to the core and waits for its answer.
func (d *Daemon) call(ctx context.Context, event func(call uint64) entry.Event) (result, error) {
	call, answer := d.calls.begin()
	defer d.calls.forget(call)
	if !d.loop.Post(event(call)) {
		return result{}, process.ErrStopped
	}
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		d.loop.Post(entry.CallerGone{Call: call})
		return result{}, ctx.Err()
	case <-d.killed.Given():
		return result{}, process.ErrStopped
	case <-d.loop.Done():
		return result{}, process.ErrStopped
	}
}
