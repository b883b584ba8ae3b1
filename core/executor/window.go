package executor

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/queue"
)

// taskState is the state of one task at the executor.
type taskState uint8

const (
	queued taskState = iota
	running
	completed
	refused
)

// task is the state of one task that a home has sent.
type task struct {
	home     *window
	start    *message.Start
	state    taskState
	handle   uint64
	upstream *upstream
	// queueHandle identifies the task in the queue, where it has been since
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
func (t *task) dropTaskData() {
	s := *t.start
	s.Task.Payload = nil
	s.Task.Labels = nil
	t.start = &s
}

// window holds the tasks of one home incarnation, by sequence number.
type window struct {
	ref node.Ref
	// floor is the highest floor received. The home has settled every number below
	// it, so the executor starts none of them.
	floor uint64
	// resultsDroppedBelow is a bound above every number whose outcome was dropped
	// because the home sent no messages. A Start or Abort below it is answered as
	// unknown if its task is not in the window.
	resultsDroppedBelow uint64
	tasks               map[uint64]*task
	lastMessageAt       time.Duration
	// dead is true once the home incarnation has provably ended.
	dead bool
}

// window returns the window of the home ref, and creates it if there is none.
func (c *Core) window(ref node.Ref) *window {
	w, ok := c.homes[ref]
	if !ok {
		w = &window{ref: ref, floor: 1, resultsDroppedBelow: 1, tasks: make(map[uint64]*task)}
		c.homes[ref] = w
	}
	return w
}

// raiseFloor drops every task below floor. A waiting task below it never starts.
func (c *Core) raiseFloor(w *window, floor uint64) {
	if floor <= w.floor {
		return
	}
	if floor-w.floor <= uint64(len(w.tasks)) {
		for seq := w.floor; seq < floor; seq++ {
			c.dropTask(w, seq)
		}
	} else {
		for seq := range w.tasks {
			if seq < floor {
				c.dropTask(w, seq)
			}
		}
	}
	w.floor = floor
}

// dropTask removes a task from the window, and from the queue if it waits.
func (c *Core) dropTask(w *window, seq uint64) {
	t, ok := w.tasks[seq]
	if !ok {
		return
	}
	if t.state == queued {
		c.queue.Remove(t.queueHandle)
		t.state = refused
	}
	t.detached = true
	delete(w.tasks, seq)
}

// dropIdleResults drops the stored outcomes of homes from which no message was
// received for ResultRetention. Later requests for them are answered as unknown.
func (c *Core) dropIdleResults(now time.Duration) {
	for _, w := range c.homes {
		if w.dead || now-w.lastMessageAt < c.cfg.ResultRetention {
			continue
		}
		for seq, t := range w.tasks {
			if t.state == queued || t.state == running {
				continue
			}
			delete(w.tasks, seq)
			w.resultsDroppedBelow = max(w.resultsDroppedBelow, seq+1)
		}
	}
}
