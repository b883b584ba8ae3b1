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
	// firstResendDelay is the delay after which the home resends an unanswered
	// Start. Later delays grow up to maxResendDelay. When the transport reports
	// a lost connection, the home resends at once.
	firstResendDelay = 3 * time.Second
	maxResendDelay   = 12 * time.Second
)

// placeRecord sends as many tasks of r as the executors have capacity for. It
// reports whether some tasks still wait.
func (c *Core) placeRecord(r *record) bool {
	if r.final != nil || r.settling {
		return false
	}
	waits := false
	c.fullGroups = c.fullGroups[:0]
	for i := r.firstWaiting; i < len(r.tasks); i++ {
		t := &r.tasks[i]
		if t.state != taskWaiting {
			if i == r.firstWaiting {
				r.firstWaiting++
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

// knownFull reports whether an earlier task of this placement found no free
// capacity at the executors of t. Skipping t then keeps a long wait list cheap.
// knownFull reports false for a refused task without a scheduled readmission:
// placeTask must still schedule that.
func (c *Core) knownFull(t *task) bool {
	g := t.group
	if g == nil || g.version != c.eligibilityVersion() || t.excluded.Len() > 0 && !t.readmitting {
		return false
	}
	if slices.Contains(c.fullGroups, g) {
		return true
	}
	if len(c.fullLinks) == 0 || !slices.Equal(c.fullLinks, g.links) {
		return false
	}
	c.fullGroups = append(c.fullGroups, g)
	return true
}

// placeTask sends t to an executor with free capacity. It reports false when t
// still waits.
func (c *Core) placeTask(t *task) bool {
	g := c.group(t)
	if c.knownFull(t) {
		return false
	}
	if len(g.links) == 0 {
		c.waitForMatchOrFail(t, g)
		return false
	}
	if t.refusedTooOften {
		c.scheduleReadmit(t)
		return false
	}
	c.collectCandidates(t, g)
	if len(c.cands) == 0 {
		c.scheduleReadmit(t)
		return false
	}
	i := c.cfg.Picker.Pick(c.cands)
	if i < 0 {
		if t.excluded.Len() == 0 {
			c.fullGroups = append(c.fullGroups, g)
			c.fullLinks = append(c.fullLinks[:0], g.links...)
		}
		return false
	}
	if t.excluded.Len() > 0 && !c.budget.Take() {
		c.scheduleReadmit(t)
		return false
	}
	c.send(t, c.candLinks[i])
	return true
}

// group is the set of tasks of one record with equal labels, and the executors
// that may run them.
type group struct {
	labels label.Set
	// version is the eligibility version at which links was computed: the executors
	// that may run the tasks.
	version uint64
	links   []*link
	// unmatched is true while links is empty, which it has been since unmatchedAt.
	// recheckAt is the time of the last placement scheduled for that reason.
	unmatched   bool
	unmatchedAt time.Duration
	recheckAt   time.Duration
}

// group returns the group of t and updates its executors if eligibility has
// changed.
func (c *Core) group(t *task) *group {
	r := t.record
	if t.group == nil {
		t.group = r.group(r.job.Tasks[t.index].Labels)
	}
	g := t.group
	version := c.eligibilityVersion()
	if g.version == version {
		return g
	}
	g.version = version
	c.refreshInService()
	g.links = g.links[:0]
	for _, l := range c.order {
		if !l.dead && c.cfg.Eligibility.Eligible(l.ref, r.job, &r.job.Tasks[t.index]) {
			g.links = append(g.links, l)
			g.unmatched = false
		}
	}
	return g
}

// group returns the record's group with these labels, and creates it if there is
// none.
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

// collectCandidates sets c.cands and c.candLinks to the executors that t may be
// sent to now.
func (c *Core) collectCandidates(t *task, g *group) {
	c.cands = c.cands[:0]
	c.candLinks = c.candLinks[:0]
	class := t.record.job.Class.Rank()
	for _, l := range g.links {
		if l.suspect || l.load.Draining || t.excluded.Has(l.ref) || c.faults.Quarantined(c.now.Mono, l.ref.ID) {
			continue
		}
		if until := l.closedUntil[class]; until > c.now.Mono {
			c.reopensAt = min(c.reopensAt, until)
			continue
		}
		cand := c.candidate(l, t.record.job.Class)
		if !c.maySend(l, &cand) {
			continue
		}
		c.cands = append(c.cands, cand)
		c.candLinks = append(c.candLinks, l)
	}
}

// scheduleReadmit schedules the time at which a refused task may be sent again to the
// executors that have refused it. Callers use it when too many executors have refused
// the task, when no candidate remains, or when the retry budget is used up.
func (c *Core) scheduleReadmit(t *task) {
	if t.excluded.Len() == 0 || t.readmitting {
		return
	}
	t.readmitting = true
	t.readmitRounds++
	r := t.record
	delay := c.backoff.Delay(t.readmitRounds, t.retryAfter)
	c.timers.Add(c.now.Mono+delay, timer{kind: timerReadmit, id: r.id, attempt: r.attempt, index: t.index})
}

// candidate describes the executor of l to the placement policy.
func (c *Core) candidate(l *link, class job.Class) placement.Candidate {
	return placement.Candidate{
		Ref:             l.ref,
		Domain:          l.domain,
		Local:           l.local,
		Load:            l.load,
		UnreportedTasks: l.unreportedTasks,
		LoadAge:         c.now.Mono - l.loadAt,
		Class:           class,
		QueuedUrgent:    l.load.QueuedUrgent,
		InServiceFor:    c.now.Mono - l.inServiceSince,
	}
}

// send assigns t to the executor of l and sends the Start.
func (c *Core) send(t *task, l *link) {
	r := t.record
	c.cfg.Invariants.Check(t.state == taskWaiting && r.final == nil, invariant.DuplicateStart,
		"task %s/%d is sent to an executor while in state %d", r.id, t.index, t.state)
	l.assign(t, c.now.Mono)
	c.waiting.addWaiting(r, -1)
	if wait := c.now.Mono - r.openedAt; wait > 0 {
		c.overload.Observe(c.now.Mono, r.job.Class, wait)
	}
	c.stats.Placed++
	c.observeSent(l)
	c.timers.Add(c.now.Mono+firstResendDelay, timer{kind: timerResend, link: l, seq: t.seq})
	c.sendStart(t)
}

// sendStart sends or resends the Start of t to its executor.
func (c *Core) sendStart(t *task) {
	r := t.record
	s := &message.Start{
		Seq: t.seq, Floor: t.link.floor, ID: r.id, Attempt: r.attempt, Index: t.index,
		Team: r.job.Team, Class: r.job.Class, Timeout: r.deadline - c.now.Mono,
		SentAt: c.now.Wall, Task: r.job.Tasks[t.index], Trace: r.trace,
	}
	c.reply(t.link.ref, message.Message{Start: s})
}

// ObserveLoad handles a load report of the executor ref.
func (c *Core) ObserveLoad(now clock.Now, ref node.Ref, load message.Load) {
	if l, ok := c.links[ref]; ok {
		l.updateLoad(load, now.Mono)
		c.observeReportedFailing(l)
	}
}

// PlaceWaiting places waiting tasks. The caller calls it after load reports or a
// change of eligibility.
func (c *Core) PlaceWaiting(now clock.Now, out *Output) {
	c.beginCall(now, out)
	c.place()
}
