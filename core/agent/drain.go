package agent

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

const (
	// drainLinger is how long a leaving agent goes on answering after the last
	// job that is placed on it may have been created, clock bound not included.
	drainLinger = 300 * time.Millisecond
	// handoffRetry is the pause before unacknowledged parts are sent again.
	handoffRetry = 200 * time.Millisecond
	// handoffLimit bounds the time that a leaving agent spends on the handoff.
	handoffLimit = 2 * time.Second
	// handoffBytes bounds the results in one part.
	handoffBytes = 256 << 10
	// handoffAnswers bounds the answers in one part.
	handoffAnswers = 500
)

// drainState is the progress of a planned stop.
type drainState struct {
	begun bool
	// until is the earliest end of the stop.
	until time.Duration
	done  bool
	// parts is what has to be handed over; a part is nil once it is taken.
	parts     []*message.Handoff
	handingAt time.Duration
	sentAt    time.Duration
}

// beginDrain announces that the agent leaves.
func (c *Core) beginDrain() {
	if c.drain.begun {
		return
	}
	c.drain.begun = true
	delay := c.changeDelay()
	c.drain.until = c.now.Mono + delay + c.cfg.ClockBound + drainLinger
	c.members.left = true
	c.lease.Leave()
	c.appendControl(control.EncodeLeave(c.cfg.Self, c.now.After(delay).Wall))
	c.exec.Drain(c.now, &c.execOut)
	c.home.ObserveLoad(c.now, c.cfg.Self, c.Load())
	c.home.PlaceWaiting(c.now, &c.homeOut)
}

// checkDrained hands the final answers over once nothing is in flight, and then
// reports that the process may exit.
func (c *Core) checkDrained() {
	if !c.drain.begun || c.drain.done {
		return
	}
	if c.now.Mono < c.drain.until || !c.exec.Idle() || !c.home.Idle() {
		return
	}
	if c.drain.handingAt == 0 {
		c.drain.handingAt = c.now.Mono
		c.drain.parts = splitAnswers(c.cfg.Self, c.home.FinalAnswers())
	}
	if c.handOver() {
		c.drain.done = true
		c.actions = append(c.actions, Drained{})
	}
}

// handOver sends the parts that are not taken. It reports true when nothing is
// left to do.
func (c *Core) handOver() bool {
	open := 0
	for _, p := range c.drain.parts {
		if p != nil {
			open++
		}
	}
	successor, ok := c.successor()
	if open == 0 || !ok || c.now.Mono-c.drain.handingAt >= handoffLimit {
		return true
	}
	if c.drain.sentAt != 0 && c.now.Mono-c.drain.sentAt < handoffRetry {
		return false
	}
	c.drain.sentAt = c.now.Mono
	for _, p := range c.drain.parts {
		if p != nil {
			c.send(successor, message.Message{Handoff: p})
		}
	}
	return false
}

// successor returns the agent that entries ask for the jobs of this one after it has
// ended.
func (c *Core) successor() (node.Ref, bool) {
	var others []control.Member
	for _, m := range c.state.Agents() {
		if m.Ref != c.cfg.Self {
			others = append(others, m)
		}
	}
	list := rendezvous.Candidates(c.cfg.Self.String(), others, 1)
	if len(list) == 0 {
		return node.Ref{}, false
	}
	return list[0].Ref, true
}

func splitAnswers(self node.Ref, answers []job.Answer) []*message.Handoff {
	var parts []*message.Handoff
	bytes := handoffBytes
	for _, a := range answers {
		size := 0
		for _, b := range a.Results {
			size += len(b)
		}
		if len(parts) == 0 || bytes+size > handoffBytes || len(parts[len(parts)-1].Answers) >= handoffAnswers {
			parts = append(parts, &message.Handoff{Home: self, Part: len(parts)})
			bytes = 0
		}
		last := parts[len(parts)-1]
		last.Answers = append(last.Answers, a)
		bytes += size
	}
	return parts
}

// handoffAcked notes that a part has been taken.
func (c *Core) handoffAcked(m *message.HandoffAck) {
	if m.Home == c.cfg.Self && m.Part < len(c.drain.parts) && m.Part >= 0 {
		c.drain.parts[m.Part] = nil
	}
}
