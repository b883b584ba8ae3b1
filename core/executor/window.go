package executor

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/queue"
)

// entryState is the state of one task at the executor.
type entryState uint8

const (
	queued entryState = iota
	running
	ended
	refused
)

// entry is one task that a home has sent.
type entry struct {
	home     *window
	start    *message.Start
	state    entryState
	handle   uint64
	upstream *upstream
	// waits names the entry in the queue, in which it is since queuedAt.
	waits     queue.Handle
	queuedAt  time.Duration
	deadline  time.Duration
	startedAt time.Duration
	result    *message.Result
	refusal   *message.Refused
	// detached is set once the home needs no report.
	detached bool
}

// release drops what is no longer needed once the outcome is known.
func (e *entry) release() {
	s := *e.start
	s.Task.Payload = nil
	s.Task.Labels = nil
	e.start = &s
}

// window holds the tasks of one home incarnation.
type window struct {
	ref       node.Ref
	floor     uint64
	forgotten uint64
	entries   map[uint64]*entry
	lastHeard time.Duration
	dead      bool
}

func (c *Core) window(ref node.Ref) *window {
	w, ok := c.homes[ref]
	if !ok {
		w = &window{ref: ref, floor: 1, forgotten: 1, entries: make(map[uint64]*entry)}
		c.homes[ref] = w
	}
	return w
}

// raiseFloor forgets every sequence number below floor. A waiting task below
// it never starts.
func (c *Core) raiseFloor(w *window, floor uint64) {
	if floor <= w.floor {
		return
	}
	if floor-w.floor <= uint64(len(w.entries)) {
		for seq := w.floor; seq < floor; seq++ {
			c.drop(w, seq)
		}
	} else {
		for seq := range w.entries {
			if seq < floor {
				c.drop(w, seq)
			}
		}
	}
	w.floor = floor
}

func (c *Core) drop(w *window, seq uint64) {
	e, ok := w.entries[seq]
	if !ok {
		return
	}
	if e.state == queued {
		c.queue.Remove(e.waits)
		e.state = refused
	}
	e.detached = true
	delete(w.entries, seq)
}

// forgetIdle drops the outcomes held for homes that have been silent. What is
// asked about later is answered as unknown.
func (c *Core) forgetIdle(now time.Duration) {
	for _, w := range c.homes {
		if w.dead || now-w.lastHeard < c.cfg.RetainIdle {
			continue
		}
		for seq, e := range w.entries {
			if e.state == queued || e.state == running {
				continue
			}
			delete(w.entries, seq)
			w.forgotten = max(w.forgotten, seq+1)
		}
	}
}
