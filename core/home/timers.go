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

// timerKind says what is due.
type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerSettle
	timerResend
	timerReadmit
	timerPlace
)

// timer is a scheduled check. A timer whose subject has moved on does nothing.
type timer struct {
	kind    timerKind
	id      job.ID
	attempt int
	index   int
	link    *link
	seq     uint64
}

func (c *Core) fire(t timer) {
	switch t.kind {
	case timerDeadline:
		if r := c.current(t); r != nil {
			c.fail(r, errkind.DeadlinePassed, "the deadline passed")
		}
	case timerSettle:
		if r := c.current(t); r != nil && r.settling {
			c.finish(r)
		}
	case timerResend:
		c.resend(t)
	case timerReadmit:
		c.readmit(t)
	}
}

// current returns the open record that the timer was set for.
func (c *Core) current(t timer) *record {
	r, ok := c.records.get(t.id)
	if !ok || r.attempt != t.attempt || r.final != nil {
		return nil
	}
	return r
}

// resend repeats a Start or an Abort without word from the executor.
func (c *Core) resend(t timer) {
	k, open := t.link.outstanding[t.seq]
	if !open {
		return
	}
	if !k.record.settling {
		c.sendStart(k)
	}
	next := min(2*(c.now.Mono-k.sentAt), maxResend)
	c.timers.Add(c.now.Mono+next, timer{kind: timerResend, link: t.link, seq: t.seq})
}

// readmit lets a task that every candidate has refused be offered again.
func (c *Core) readmit(t timer) {
	r := c.current(t)
	if r == nil || r.settling {
		return
	}
	k := &r.tasks[t.index]
	k.excluded = retry.Excluded{}
	k.exhausted = false
	k.readmitting = false
}

// Resend repeats what an executor has not answered, after the connection with
// it was lost.
func (c *Core) Resend(now clock.Now, ref node.Ref, out *Output) {
	c.begin(now, out)
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
