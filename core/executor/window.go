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
	completed
	refused
)

// entry is the state of one task that a home has sent.
type entry struct {
	home     *window
	start    *message.Start
	state    entryState
	handle   uint64
	upstream *upstream
	// queueHandle identifies the entry in the queue, where it has been since
	// queuedAt.
	queueHandle queue.Handle
	queuedAt    time.Duration
	deadline    time.Duration
	startedAt   time.Duration
	result      *message.Result
	refusal     *message.Refused
	// detached is true once the home needs no report, because it has settled the
	// task or has ended.
	detached bool
}

// dropTaskData frees the payload and the labels, which are not needed once the
// outcome is known. It copies the Start, which a Command may still use.
func (e *entry) dropTaskData() {
	s := *e.start
	s.Task.Payload = nil
	s.Task.Labels = nil
	e.start = &s
}

// window holds the tasks of one home incarnation, by sequence number.
type window struct {
	ref node.Ref
	// floor is the highest floor received. Every number below it is settled at the
	// home, and starts nothing.
	floor uint64
	// resultsDroppedBelow is a bound above every number whose outcome was dropped
	// because the home sent no messages. A Start or Abort below it without an entry
	// is answered as unknown.
	resultsDroppedBelow uint64
	entries             map[uint64]*entry
	lastMessageAt       time.Duration
	// dead is true once the home incarnation has provably ended.
	dead bool
}

// window returns the window of the home ref, and creates it if there is none.
func (c *Core) window(ref node.Ref) *window {
	w, ok := c.homes[ref]
	if !ok {
		w = &window{ref: ref, floor: 1, resultsDroppedBelow: 1, entries: make(map[uint64]*entry)}
		c.homes[ref] = w
	}
	return w
}

// raiseFloor drops every entry below floor. A waiting task below it never starts.
func (c *Core) raiseFloor(w *window, floor uint64) {
	if floor <= w.floor {
		return
	}
	if floor-w.floor <= uint64(len(w.entries)) {
		for seq := w.floor; seq < floor; seq++ {
			c.dropEntry(w, seq)
		}
	} else {
		for seq := range w.entries {
			if seq < floor {
				c.dropEntry(w, seq)
			}
		}
	}
	w.floor = floor
}

// dropEntry removes an entry from the window, and from the queue if it waits.
func (c *Core) dropEntry(w *window, seq uint64) {
	e, ok := w.entries[seq]
	if !ok {
		return
	}
	if e.state == queued {
		c.queue.Remove(e.queueHandle)
		e.state = refused
	}
	e.detached = true
	delete(w.entries, seq)
}

// dropIdleResults drops the stored outcomes of homes from which no message was
// received for ResultRetention. Later requests for them are answered as unknown.
func (c *Core) dropIdleResults(now time.Duration) {
	for _, w := range c.homes {
		if w.dead || now-w.lastMessageAt < c.cfg.ResultRetention {
			continue
		}
		for seq, e := range w.entries {
			if e.state == queued || e.state == running {
				continue
			}
			delete(w.entries, seq)
			w.resultsDroppedBelow = max(w.resultsDroppedBelow, seq+1)
		}
	}
}
