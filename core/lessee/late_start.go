package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
)

const (
	// maxToldHolds limits the holds that a heartbeat lists.
	maxToldHolds = 32
	// holdRetryInterval is the pause until the holds that a dispatcher has not confirmed are
	// repeated. It confirms them at once.
	holdRetryInterval = 500 * time.Millisecond
)

// handleLateStarts records the jobs that a dispatcher holds, or no longer, and passes them on to the
// other dispatchers: at once, or with the next heartbeats if the dispatcher has listed them for
// an agent that is new to it. Each of them is told until it confirms that, since it may be cut off.
func (c *Core) handleLateStarts(from *leaseHolder, list []message.LateStart, listed bool) {
	var news []latestart.Hold
	for _, l := range list {
		h := l.Received(c.now.Mono, lease.LateStartExpiry)
		changed, forgotten := c.holds.Update(c.now.Mono, h)
		if forgotten != nil {
			c.holdsForgotten++
			c.logEvent("hold_forgotten", forgotten.Job, "agent", forgotten.Agent.String(), "limit", latestart.MaxHolds)
		}
		if changed {
			c.logEvent("hold_passed_on", h.Job, "from", from.ref.String(), "released", h.Released, "dispatchers", len(c.holderOrder)-1)
			news = append(news, h)
		}
	}
	if len(news) == 0 {
		return
	}
	for _, h := range c.holderOrder {
		if h != from {
			h.holds.add(news...)
			if !listed {
				c.sendHeartbeat(h)
			}
		}
	}
}

// holdLog lists what a dispatcher is to be told of holds, until it confirms that.
type holdLog struct {
	holds []latestart.Hold
	// lastSeq numbers the last of holds. sentSeq is that of the last one that was sent, lastly at
	// sentAt.
	lastSeq, sentSeq uint64
	sentAt           time.Duration
}

func (l *holdLog) add(list ...latestart.Hold) {
	l.holds = append(l.holds, list...)
	l.lastSeq += uint64(len(list))
	l.holds = l.holds[max(0, len(l.holds)-latestart.MaxHolds):]
}

// confirm drops what the dispatcher knows.
func (l *holdLog) confirm(seq uint64) {
	if first := l.lastSeq - uint64(len(l.holds)); seq > first && seq <= l.lastSeq {
		l.holds = l.holds[seq-first:]
	}
}

// due returns what the next heartbeat states, and the number of the last one. It begins with the first
// one that was not confirmed, since a confirmation counts for all before. It is empty if all that
// was sent already, unless nothing was confirmed for holdRetryInterval.
func (l *holdLog) due(now time.Duration) (list []message.LateStart, seq uint64) {
	for len(l.holds) > 0 && now >= l.holds[0].ExpiresAt {
		l.holds = l.holds[1:]
	}
	told := l.holds[:min(maxToldHolds, len(l.holds))]
	seq = l.lastSeq - uint64(len(l.holds)-len(told))
	if len(told) == 0 || seq <= l.sentSeq && now-l.sentAt < holdRetryInterval {
		return nil, 0
	}
	for _, h := range told {
		list = append(list, message.NewLateStart(now, h))
	}
	l.sentSeq, l.sentAt = seq, now
	return list, seq
}
