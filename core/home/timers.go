package home

import (
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/retry"
)

// timerKind selects the action of a timer.
type timerKind uint8

const (
	// timerDeadline fails a job at its deadline.
	timerDeadline timerKind = iota
	// timerSettle makes a failed job final when settleTimeout has passed.
	timerSettle
	// timerResend resends a Start that the executor has not answered.
	timerResend
	// timerReadmit lets a refused task be sent to all executors again.
	timerReadmit
	// timerPlace only makes Tick place the waiting tasks.
	timerPlace
)

// timer is a scheduled action. It does nothing if its attempt is final or its task
// is settled when it is due.
type timer struct {
	kind timerKind
	// id, attempt and, for timerReadmit, index name the attempt or its task.
	id      job.ID
	attempt int
	index   int
	// link and seq name the sent task of timerResend.
	link *link
	seq  uint64
}

// handleTimer performs the action of a timer that is due.
func (c *Core) handleTimer(t timer) {
	switch t.kind {
	case timerDeadline:
		if r := c.openRecord(t); r != nil {
			c.failJob(r, errkind.DeadlinePassed, "the deadline passed")
		}
	case timerSettle:
		if r := c.openRecord(t); r != nil && r.settling {
			c.finalize(r)
		}
	case timerResend:
		c.resend(t)
	case timerReadmit:
		c.readmit(t)
	}
}

// openRecord returns the record that the timer was set for, or nil if that attempt
// is final or no longer current.
func (c *Core) openRecord(t timer) *record {
	r, ok := c.records.get(t.id)
	if !ok || r.attempt != t.attempt || r.final != nil {
		return nil
	}
	return r
}

// resend resends the Start of a task that is still outstanding, unless its job has
// failed, and schedules the next resend.
func (c *Core) resend(t timer) {
	k, open := t.link.outstanding[t.seq]
	if !open {
		return
	}
	if !k.record.settling {
		c.sendStart(k)
	}
	next := min(2*(c.now.Mono-k.sentAt), maxResendDelay)
	c.timers.Add(c.now.Mono+next, timer{kind: timerResend, link: t.link, seq: t.seq})
}

// readmit lets a refused task be sent again to the executors that have refused it.
func (c *Core) readmit(t timer) {
	r := c.openRecord(t)
	if r == nil || r.settling {
		return
	}
	k := &r.tasks[t.index]
	k.excluded = retry.Excluded{}
	k.refusedTooOften = false
	k.readmitting = false
}

// Resend resends every Start for which the executor has sent neither a result nor a
// refusal. The caller calls it after the connection with the executor was lost.
func (c *Core) Resend(now clock.Now, ref node.Ref, out *Output) {
	c.beginCall(now, out)
	l, ok := c.links[ref]
	if !ok || l.dead {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(l.outstanding)) {
		t := l.outstanding[seq]
		if !t.record.settling {
			c.sendStart(t)
		}
	}
}
