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
	// drainLinger is how long a leaving agent keeps answering after the last
	// time at which a job that is placed on it can have been created. The clock
	// bound is added to it.
	drainLinger = 300 * time.Millisecond
	// handoffRetry is the pause before unacknowledged parts are sent again.
	handoffRetry = 200 * time.Millisecond
	// handoffLimit bounds the time that a leaving agent spends on the handoff.
	handoffLimit = 2 * time.Second
	// handoffBytes bounds the bytes of results in one part of the handoff.
	handoffBytes = 256 << 10
	// handoffAnswers bounds the number of answers in one part of the handoff.
	handoffAnswers = 500
)

// drainState is the progress of a drain, which is a planned stop.
type drainState struct {
	started bool
	// earliestExit is the time before which the process must not exit.
	earliestExit time.Duration
	done         bool
	// parts holds the parts of the handoff. A part is nil once it is
	// acknowledged.
	parts            []*message.Handoff
	handoffStartedAt time.Duration
	partsSentAt      time.Duration
}

// beginDrain announces that the agent leaves and stops accepting new work.
func (c *Core) beginDrain() {
	if c.drain.started {
		return
	}
	c.drain.started = true
	delay := c.changeDelay()
	c.drain.earliestExit = c.now.Mono + delay + c.cfg.ClockBound + drainLinger
	c.members.announcedLeave = true
	c.lease.Leave()
	c.appendControl(control.EncodeLeave(c.cfg.Self, c.now.After(delay).Wall))
	c.exec.Drain(c.now, &c.execOut)
	c.home.ObserveLoad(c.now, c.cfg.Self, c.Load())
	c.home.PlaceWaiting(c.now, &c.homeOut)
}

// checkDrained starts the handoff of the final answers once no task and no job
// is in progress, and reports Drained once the handoff is complete.
func (c *Core) checkDrained() {
	if !c.drain.started || c.drain.done {
		return
	}
	if c.now.Mono < c.drain.earliestExit || !c.exec.Idle() || !c.home.Idle() {
		return
	}
	if c.drain.handoffStartedAt == 0 {
		c.drain.handoffStartedAt = c.now.Mono
		c.drain.parts = splitAnswers(c.cfg.Self, c.home.FinalAnswers())
	}
	if c.sendHandoff() {
		c.drain.done = true
		c.actions = append(c.actions, Drained{})
	}
}

// sendHandoff sends the parts that are not acknowledged. It reports true when
// the handoff is complete, when no successor exists, or when handoffLimit has
// passed.
func (c *Core) sendHandoff() bool {
	open := 0
	for _, p := range c.drain.parts {
		if p != nil {
			open++
		}
	}
	successor, ok := c.successor()
	if open == 0 || !ok || c.now.Mono-c.drain.handoffStartedAt >= handoffLimit {
		return true
	}
	if c.drain.partsSentAt != 0 && c.now.Mono-c.drain.partsSentAt < handoffRetry {
		return false
	}
	c.drain.partsSentAt = c.now.Mono
	for _, p := range c.drain.parts {
		if p != nil {
			c.send(successor, message.Message{Handoff: p})
		}
	}
	return false
}

// successor returns the agent that entries ask about the jobs of this agent
// after it has ended.
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

// splitAnswers splits the final answers into parts of limited size.
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

// handoffAcked records that the successor has accepted a part.
func (c *Core) handoffAcked(m *message.HandoffAck) {
	if m.Home == c.cfg.Self && m.Part < len(c.drain.parts) && m.Part >= 0 {
		c.drain.parts[m.Part] = nil
	}
}
