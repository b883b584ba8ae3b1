package agent

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
)

// drainLinger is how long a leaving agent goes on answering after it has
// announced that it leaves, so that no process still chooses it.
const drainLinger = time.Second

// drainState is the progress of a planned stop.
type drainState struct {
	begun bool
	since time.Duration
	done  bool
}

// beginDrain announces that the agent leaves.
func (c *Core) beginDrain() {
	if c.drain.begun {
		return
	}
	c.drain.begun = true
	c.drain.since = c.now.Mono
	c.members.left = true
	c.appendControl(control.EncodeLeave(c.cfg.Self))
	c.exec.Drain(c.now, &c.execOut)
	load := c.Load()
	c.home.ObserveLoad(c.now, c.cfg.Self, load)
	c.home.Place(c.now, &c.homeOut)
}

// checkDrained reports that the process may exit.
func (c *Core) checkDrained() {
	if !c.drain.begun || c.drain.done {
		return
	}
	if c.now.Mono-c.drain.since < drainLinger || !c.exec.Idle() || !c.home.Idle() {
		return
	}
	c.drain.done = true
	c.actions = append(c.actions, Drained{})
}
