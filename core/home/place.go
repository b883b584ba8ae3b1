package home

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
)

const (
	// firstResend is the delay after which an unanswered Start is repeated;
	// later repetitions back off up to maxResend. A lost connection is
	// reported by the transport and repeats at once.
	firstResend = 3 * time.Second
	maxResend   = 12 * time.Second
)

// placeRecord sends as many tasks of r as have room. It reports whether some
// still wait.
func (c *Core) placeRecord(r *record) bool {
	if r.final != nil || r.settling {
		return false
	}
	waits := false
	c.full = c.full[:0]
	for i := r.next; i < len(r.tasks); i++ {
		t := &r.tasks[i]
		if t.state != taskWaiting {
			if i == r.next {
				r.next++
			}
			continue
		}
		if c.knownFull(t) {
			waits = true
			continue
		}
		if !c.placeTask(t) {
			waits = true
		}
		if r.settling || r.final != nil {
			return false
		}
	}
	return waits
}

// knownFull reports whether an earlier task of this round has found no room among
// the executors that t would look at, so that a long backlog costs little. A task
// that was refused looks at fewer, but may have to ask for its next round first.
func (c *Core) knownFull(t *task) bool {
	g := t.group
	if g == nil || g.version != c.eligibleVersion() || t.excluded.Len() > 0 && !t.readmitting {
		return false
	}
	if slices.Contains(c.full, g) {
		return true
	}
	if len(c.fullLinks) == 0 || !slices.Equal(c.fullLinks, g.links) {
		return false
	}
	c.full = append(c.full, g)
	return true
}

// placeTask sends t to an executor with room. It reports false when t waits.
func (c *Core) placeTask(t *task) bool {
	g := c.group(t)
	if c.knownFull(t) {
		return false
	}
	if len(g.links) == 0 {
		c.noMatch(t, g)
		return false
	}
	if t.exhausted {
		c.readmitLater(t)
		return false
	}
	c.gather(t, g)
	if len(c.cands) == 0 {
		c.readmitLater(t)
		return false
	}
	i := c.cfg.Picker.Pick(c.cands)
	if i < 0 {
		if t.excluded.Len() == 0 {
			c.full = append(c.full, g)
			c.fullLinks = append(c.fullLinks[:0], g.links...)
		}
		return false
	}
	if t.excluded.Len() > 0 && !c.budget.Take() {
		c.readmitLater(t)
		return false
	}
	c.send(t, c.candLinks[i])
	return true
}

// group is the set of tasks of one record with equal labels, and the executors
// that may run them.
type group struct {
	labels  label.Set
	version uint64
	links   []*link
	// unmatched is true while links is empty, since unmatchedAt. The next look
	// is due at lookAt.
	unmatched   bool
	unmatchedAt time.Duration
	lookAt      time.Duration
}

// group returns the group of t with its executors up to date.
func (c *Core) group(t *task) *group {
	r := t.record
	if t.group == nil {
		t.group = r.group(r.job.Tasks[t.index].Labels)
	}
	g := t.group
	version := c.eligibleVersion()
	if g.version == version {
		return g
	}
	g.version = version
	c.refreshService()
	g.links = g.links[:0]
	for _, l := range c.order {
		if !l.dead && c.cfg.Eligibility.Eligible(l.ref, r.job, &r.job.Tasks[t.index]) {
			g.links = append(g.links, l)
			g.unmatched = false
		}
	}
	return g
}

// group returns the record's group with these labels.
func (r *record) group(labels label.Set) *group {
	for _, g := range r.groups {
		if maps.Equal(g.labels, labels) {
			return g
		}
	}
	g := &group{labels: labels}
	r.groups = append(r.groups, g)
	return g
}

// gather sets c.cands and c.candLinks to the executors that t may be sent to.
func (c *Core) gather(t *task, g *group) {
	c.cands = c.cands[:0]
	c.candLinks = c.candLinks[:0]
	class := t.record.job.Class.Rank()
	for _, l := range g.links {
		if l.suspect || l.load.Draining || t.excluded.Has(l.ref) || c.faults.Quarantined(c.now.Mono, l.ref.ID) {
			continue
		}
		if until := l.closedUntil[class]; until > c.now.Mono {
			c.opensAt = min(c.opensAt, until)
			continue
		}
		cand := c.candidate(l, t.record.job.Class)
		if !c.offers(l, &cand) {
			continue
		}
		c.cands = append(c.cands, cand)
		c.candLinks = append(c.candLinks, l)
	}
}

// readmitLater schedules another round for a task that every executor has
// refused.
func (c *Core) readmitLater(t *task) {
	if t.excluded.Len() == 0 || t.readmitting {
		return
	}
	t.readmitting = true
	t.rounds++
	r := t.record
	delay := c.backoff.Delay(t.rounds, t.retryAfter)
	c.timers.Add(c.now.Mono+delay, timer{kind: timerReadmit, id: r.id, attempt: r.attempt, index: t.index})
}

func (c *Core) candidate(l *link, class job.Class) placement.Candidate {
	return placement.Candidate{
		Ref:             l.ref,
		Domain:          l.domain,
		Local:           l.local,
		Load:            l.load,
		UnreportedTasks: l.uncovered,
		LoadAge:         c.now.Mono - l.loadAt,
		Class:           class,
		QueuedUrgent:    l.load.QueuedUrgent,
		InServiceFor:    c.now.Mono - l.upSince,
	}
}

// send hands t to the executor of l.
func (c *Core) send(t *task, l *link) {
	r := t.record
	c.cfg.Invariants.Check(t.state == taskWaiting && r.final == nil, invariant.DuplicateStart,
		"task %s/%d is placed while in state %d", r.id, t.index, t.state)
	l.assign(t, c.now.Mono)
	c.waiting.count(r, -1)
	if wait := c.now.Mono - r.openedAt; wait > 0 {
		c.overload.Observe(c.now.Mono, r.job.Class, wait)
	}
	c.stats.Placed++
	c.observeSent(l)
	c.timers.Add(c.now.Mono+firstResend, timer{kind: timerResend, link: l, seq: t.seq})
	c.sendStart(t)
}

func (c *Core) sendStart(t *task) {
	r := t.record
	s := &message.Start{
		Seq: t.seq, Floor: t.link.floor, ID: r.id, Attempt: r.attempt, Index: t.index,
		Team: r.job.Team, Class: r.job.Class, Timeout: r.deadline - c.now.Mono,
		SentAt: c.now.Wall, Task: r.job.Tasks[t.index], Trace: r.trace,
	}
	c.reply(t.link.ref, message.Message{Start: s})
}

// ObserveLoad takes the load report of an executor.
func (c *Core) ObserveLoad(now clock.Now, ref node.Ref, load message.Load) {
	if l, ok := c.links[ref]; ok {
		l.observe(load, now.Mono)
		c.observeReport(l)
	}
}

// Place places waiting tasks after loads or eligibility have changed.
func (c *Core) Place(now clock.Now, out *Output) {
	c.begin(now, out)
	c.place()
}
