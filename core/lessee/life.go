package lessee

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

type phase uint8

const (
	// absent: no upstream is announced, or it has ended.
	absent phase = iota
	// probing: runs of an earlier agent may be there and are being stopped.
	probing
	// open: everything that runs there is known.
	open
)

// life is one life of the upstream beside the agent.
type life struct {
	phase phase
	// begunAt is when this life was first heard of.
	begunAt  time.Duration
	id       string
	born     int64
	seq      int64
	service  string
	domain   string
	labels   []string
	capacity message.Resources
	draining bool
	// announced is set once the life has announced itself, or is remembered to have done
	// so; announcedAt is when the last announcement came.
	announced   bool
	announcedAt time.Duration
	// clock is the upstream's clock as of clockAt.
	clock   time.Duration
	clockAt time.Duration

	// seen is the number of the last end that was taken in, and acked the last
	// that was acknowledged by an answered look.
	seen, acked int64
	lookAt      time.Duration
	// watching and renewing are true while such a look is under way.
	watching, renewing bool
	// renewedAt is when the last renewal was sent, heldAt when the last look that
	// was answered was sent, and extendedAt when the last call was sent that may have
	// extended the lease, answered or not.
	renewedAt, heldAt, extendedAt time.Duration
}

// suspectAfter is the silence of an upstream after which its lease is no longer
// extended, so that everything there has a known end.
const suspectAfter = lease.UpstreamLease

// unacknowledged reports whether ends were taken in that the upstream still lists.
func (l *life) unacknowledged() bool { return l.phase == open && l.seen > l.acked }

// heardClock notes the upstream's clock, unless an older answer came late.
func (l *life) heardClock(clock, now time.Duration) {
	if clock > l.clock {
		l.clock, l.clockAt = clock, now
	}
}

// until returns the end of a lease that begins now, on the upstream's clock.
func (c *Core) until() time.Duration {
	c.life.extendedAt = c.now.Mono
	return c.life.clock + c.now.Mono - c.life.clockAt + lease.UpstreamLease
}

// announced takes an announcement, unless it is late.
func (c *Core) announced(a Announcement) {
	l := &c.life
	switch {
	case l.phase != absent && a.Incarnation < l.born, a.Incarnation == l.born && a.ID == l.id && a.Seq <= l.seq:
		c.logEvent("announcement_late", "", "upstream", a.ID, "born", a.Incarnation, "seq", a.Seq, "known_born", l.born, "known_seq", l.seq)
		return
	case a.Incarnation == l.born && a.ID == l.id:
		if l.phase == absent {
			c.begin(a)
		}
	default:
		c.lifeChanged("another life has announced itself")
		c.begin(a)
	}
	c.update(a)
	if n := noteOf(a); !a.Draining && n != c.noted {
		c.noted = n
		c.out = append(c.out, PersistAnnouncement{Announcement: a})
	}
}

// begin takes up a life whose runs, if any, are not known yet; they are to lapse.
func (c *Core) begin(a Announcement) {
	// Calls to an earlier life that are carried out late are refused by the token.
	c.token++
	seen := int64(0)
	if a.ID == c.life.id && a.Incarnation == c.life.born {
		seen = c.life.seen
	}
	c.life = life{
		begunAt: c.now.Mono,
		phase:   probing, id: a.ID, born: a.Incarnation, clock: a.Clock, clockAt: c.now.Mono, lookAt: c.now.Mono,
		seen: seen, acked: seen,
	}
	c.logEvent("upstream_announced", "", "upstream", a.ID, "born", a.Incarnation, "service", a.Service, "capacity_mcpu", a.Capacity.MilliCPU)
}

func (c *Core) update(a Announcement) {
	l := &c.life
	if a.Draining != l.draining {
		c.logEvent("upstream_draining", "", "upstream", a.ID, "draining", a.Draining)
	}
	if l.service != a.Service || l.capacity != a.Capacity || l.domain != a.Domain || !slices.Equal(l.labels, a.Labels) {
		c.kindVersion++
		c.changed()
	}
	if l.draining != a.Draining {
		c.changed()
	}
	l.seq, l.service, l.domain, l.labels = a.Seq, a.Service, a.Domain, a.Labels
	l.capacity, l.draining = a.Capacity, a.Draining
	l.announced, l.announcedAt = true, c.now.Mono
	l.heardClock(a.Clock, c.now.Mono)
}

func (c *Core) withdrawn(id string) {
	if id == c.life.id {
		c.lifeEnded("it has left")
	}
}

// lifeEnded notes that nothing of the upstream's life runs any more.
func (c *Core) lifeEnded(why string) {
	if c.life.phase == absent {
		return
	}
	c.life.phase = absent
	c.life.watching, c.life.renewing = false, false
	c.changed()
	c.logEvent("upstream_ended", "", "upstream", c.life.id, "born", c.life.born, "why", why, "runs", len(c.runs))
	c.loseAll()
}

func (c *Core) loseAll() {
	for _, o := range c.order {
		for _, r := range o.open() {
			c.finish(r, message.RunLost, "", 0)
		}
	}
}

// open returns the runs that have not ended, in order.
func (o *owner) open() []*run { return append(o.live(), o.stopping()...) }

// drive sends the looks and stops that are due.
func (c *Core) drive() {
	l := &c.life
	switch l.phase {
	case probing:
		if len(c.runs) > 0 && c.now.Mono > c.strayUntil {
			c.endStrays()
		}
		if !l.renewing && c.now.Mono >= l.lookAt {
			l.lookAt = c.now.Mono + probeRetry
			c.look(true)
		}
	case open:
		c.driveOpen()
	}
}

func (c *Core) driveOpen() {
	l := &c.life
	if c.now.Mono-l.announcedAt > announcementLife && len(c.runs) == 0 {
		c.lifeEnded("it announces itself no more")
		return
	}
	if len(c.runs) > 0 && c.suspect() && c.now.Mono-l.extendedAt > lease.UpstreamExpiry {
		c.silent()
		return
	}
	if len(c.runs) > 0 && !l.renewing && c.now.Mono >= l.renewedAt+lease.RenewalInterval {
		c.look(true)
	}
	if !l.watching && (len(c.runs) > 0 || l.unacknowledged()) {
		c.look(false)
	}
	for _, o := range c.order {
		for _, r := range o.stopping() {
			if c.now.Mono-r.asked > lease.RenewalInterval {
				c.callStop(r)
			}
		}
	}
}

// suspect reports whether the upstream has left the looks at its oldest run without
// an answer for so long that its lease is not to be extended.
func (c *Core) suspect() bool {
	return c.now.Mono-c.life.heldAt > suspectAfter && c.oldest() > suspectAfter
}

// oldest returns how long the oldest open run has been held.
func (c *Core) oldest() time.Duration {
	var age time.Duration
	for _, r := range c.runs {
		age = max(age, c.now.Mono-r.startedAt)
	}
	return age
}

// silent handles an upstream that has answered no renewal for so long that all its
// leases have lapsed.
func (c *Core) silent() {
	c.logEvent("upstream_silent", "", "upstream", c.life.id, "runs", len(c.runs),
		"held_ms_ago", (c.now.Mono - c.life.heldAt).Milliseconds())
	c.life.phase = probing
	c.life.lookAt = c.now.Mono
	c.life.watching, c.life.renewing = false, false
	c.changed()
	c.loseAll()
}

func (c *Core) look(renewal bool) {
	l := &c.life
	a := Poll{Upstream: l.id, Renewal: renewal, Token: c.token, AcknowledgedUpTo: l.seen}
	if l.phase == open && !c.suspect() {
		a.LeaseUntil = c.until()
	}
	if renewal {
		l.renewing, l.renewedAt = true, c.now.Mono
	} else {
		l.watching, a.Wait = true, watchTime
	}
	c.out = append(c.out, a)
}

// looked takes the upstream's lists.
func (c *Core) looked(e PollCompleted) {
	l := &c.life
	if l.phase == absent {
		return
	}
	if e.Renewal {
		l.renewing = false
	} else {
		l.watching = false
	}
	switch e.Result {
	case CallOK:
	case CallNoListener:
		if e.SentAt >= l.begunAt {
			c.lifeEnded("its port refused a connection")
		}
		return
	case CallFenced:
		c.token += tokenStep
		return
	default:
		return
	}
	if e.Incarnation != l.born {
		if e.Incarnation > l.born {
			c.lifeChanged("it has begun another life")
			// What it offers is known with its announcement.
			c.begin(Announcement{ID: l.id, Incarnation: e.Incarnation})
		}
		return
	}
	l.heardClock(e.Clock, c.now.Mono)
	l.heldAt = max(l.heldAt, e.SentAt)
	if l.phase == probing {
		// Only a look with the newest token says that earlier calls start nothing any more.
		if e.Token == c.token {
			c.probed(e)
		}
		return
	}
	if c.takeEnds(e) && e.Renewal {
		// The look that waits for ends should have brought them: its answer is lost.
		l.watching = false
	}
	c.compare(e)
}

// probed stops what an earlier agent has left, and opens the upstream when nothing
// runs any more.
func (c *Core) probed(e PollCompleted) {
	for _, end := range e.Completed {
		c.life.seen = max(c.life.seen, end.Number)
	}
	if len(e.Running) == 0 {
		c.endStrays()
		c.life.phase = open
		c.changed()
		c.logEvent("upstream_open", "", "upstream", c.life.id, "born", c.life.born)
		return
	}
	c.logEvent("leftover_runs_stopped", "", "upstream", c.life.id, "runs", len(e.Running))
	for _, t := range e.Running {
		c.out = append(c.out, StopRun{Upstream: c.life.id, Name: t.Name, RunNumber: t.RunNumber, Token: c.token})
	}
}

// takeEnds takes in the ends that are new and reports whether there were any.
func (c *Core) takeEnds(e PollCompleted) bool {
	news := false
	for _, end := range e.Completed {
		if end.Number <= c.life.seen {
			continue
		}
		news = true
		c.life.seen = end.Number
		r, ok := c.byName[end.Name]
		if !ok || r.number != end.RunNumber {
			continue
		}
		took := c.now.Mono - r.startedAt
		switch {
		case end.Completion == CompletionDone:
			c.finish(r, message.RunDone, "", took)
		case end.Completion == CompletionFailed:
			c.finish(r, message.RunFailed, "", took)
		case r.state == stopping:
			c.finish(r, message.RunStopped, r.stopReason, 0)
		default:
			c.finish(r, message.RunLost, "", 0)
		}
	}
	c.life.acked = max(c.life.acked, e.AcknowledgedUpTo)
	return news
}

// compare looks for runs that the upstream does not know, and for runs there that
// nobody has asked for.
func (c *Core) compare(e PollCompleted) {
	there := make(map[message.TaskName]int, len(e.Running))
	for _, t := range e.Running {
		there[t.Name] = t.RunNumber
		r, ok := c.byName[t.Name]
		if ok && r.number == t.RunNumber {
			c.checkPace(r, t.Percent)
			continue
		}
		if at, justEnded := c.endedAt[t.Name]; !ok && justEnded && at >= e.SentAt {
			continue // The lists are from before the end was taken in.
		}
		if !ok || r.state != starting {
			c.logEvent("unknown_run_stopped", t.Name.Job, "task", t.Name.String(), "run", t.RunNumber)
			c.out = append(c.out, StopRun{Upstream: c.life.id, Name: t.Name, RunNumber: t.RunNumber, Token: c.token})
		}
	}
	for _, o := range c.order {
		for _, r := range o.open() {
			if r.state == starting || !r.confirmed || r.startedAt >= e.SentAt {
				continue
			}
			if number, ok := there[r.name]; ok && number == r.number {
				continue
			}
			if r.state == stopping {
				c.finish(r, message.RunStopped, r.stopReason, 0)
			} else {
				c.finish(r, message.RunLost, "", 0)
			}
		}
	}
}
