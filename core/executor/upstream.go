package executor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// Announcement describes an upstream that announces itself to its agent.
type Announcement struct {
	Name string
	// Slots is the number of tasks that the worker currently lets the upstream run
	// at a time. No further task starts there while that many or more are running.
	Slots int
	// Connections is the number of connections that the upstream accepts. It also
	// limits the number of tasks that run there at a time.
	Connections int
	Labels      label.Set
	// TTL is how long the announcement is valid.
	TTL time.Duration
}

// upstream is one announced upstream.
type upstream struct {
	name      string
	labels    label.Set
	slots     int
	busy      int
	expiresAt time.Duration
	withdrawn bool
}

// free returns the number of slots that new tasks may take. It is negative while
// more tasks run than the last announcement has slots for.
func (u *upstream) free() int {
	if u.withdrawn {
		return 0
	}
	return u.slots - u.busy
}

// upstreams is the list of upstreams, ordered by name.
type upstreams struct {
	list []*upstream
	// version counts the changes of the list, of labels and of slots.
	version uint64
}

// slots returns the number of slots of all upstreams that are not withdrawn.
func (us *upstreams) slots() int {
	n := 0
	for _, u := range us.list {
		if !u.withdrawn {
			n += u.slots
		}
	}
	return n
}

func (us *upstreams) find(name string) (*upstream, bool) {
	i, ok := slices.BinarySearchFunc(us.list, name, func(u *upstream, n string) int {
		return cmp.Compare(u.name, n)
	})
	if !ok {
		return nil, false
	}
	return us.list[i], true
}

// announce adds an upstream or renews its announcement. It reports whether the
// upstream had slots before and has none now.
func (us *upstreams) announce(now time.Duration, a Announcement) (closed bool) {
	u, ok := us.find(a.Name)
	if !ok {
		u = &upstream{name: a.Name}
		us.list = append(us.list, u)
		slices.SortFunc(us.list, func(x, y *upstream) int { return cmp.Compare(x.name, y.name) })
	}
	slots := min(a.Slots, a.Connections)
	if !ok || u.withdrawn || u.slots != slots || !maps.Equal(u.labels, a.Labels) {
		us.version++
	}
	closed = u.slots > 0 && slots == 0
	u.labels = a.Labels
	u.slots = slots
	u.expiresAt = now + a.TTL
	u.withdrawn = false
	return closed
}

// withdrawExpired withdraws the upstreams whose announcement has expired, and
// removes the withdrawn ones on which no task runs.
func (us *upstreams) withdrawExpired(now time.Duration) {
	for _, u := range us.list {
		if u.expiresAt <= now && !u.withdrawn {
			us.withdraw(u)
		}
	}
	us.list = slices.DeleteFunc(us.list, func(u *upstream) bool {
		return u.withdrawn && u.busy == 0
	})
}

// withdraw marks u as withdrawn, so that no further task starts on it.
func (us *upstreams) withdraw(u *upstream) {
	u.withdrawn = true
	us.version++
}

// Announce adds an upstream or renews its announcement. If the upstream no longer
// has slots, the executor refuses the tasks that could only start there.
func (c *Core) Announce(now clock.Now, a Announcement, out *Output) {
	c.out = out
	if c.upstreams.announce(now.Mono, a) {
		c.refuseStranded(now)
	}
	c.dispatch(now)
}

// refuseStranded refuses the waiting tasks for which no permitted upstream has
// slots, so that their homes can place them elsewhere.
func (c *Core) refuseStranded(now clock.Now) {
	stranded := c.queue.RemoveFunc(func(t *task) bool { return !c.hasSlots(now, t) })
	for _, t := range stranded {
		c.refuse(t, message.RefusedBusy, 0)
	}
}

// hasSlots reports whether an upstream on which t may start has slots, free or in
// use.
func (c *Core) hasSlots(now clock.Now, t *task) bool {
	return slices.ContainsFunc(c.upstreams.list, func(u *upstream) bool {
		if u.withdrawn || u.slots == 0 {
			return false
		}
		why, _ := c.cfg.Gate.Permit(now, t.start, Target{Upstream: u.name, Labels: u.labels})
		return why == ""
	})
}

// Withdraw withdraws an upstream. Its running tasks continue. The executor refuses
// the waiting tasks that may start on no other upstream.
func (c *Core) Withdraw(now clock.Now, name string, out *Output) {
	if u, ok := c.upstreams.find(name); ok {
		c.upstreams.withdraw(u)
		u.expiresAt = now.Mono
	}
	c.upstreams.withdrawExpired(now.Mono)
	c.Recheck(now, out)
}

// Upstreams describes the upstreams that are not withdrawn.
func (c *Core) Upstreams() []message.Upstream {
	var list []message.Upstream
	for _, u := range c.upstreams.list {
		if !u.withdrawn {
			list = append(list, message.Upstream{Name: u.name, Labels: u.labels, Slots: u.slots})
		}
	}
	return list
}

// UpstreamsVersion changes whenever the result of Upstreams does.
func (c *Core) UpstreamsVersion() uint64 { return c.upstreams.version }

// NextExpiry returns the earliest time at which an announcement expires. It reports
// false if there is none.
func (c *Core) NextExpiry() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, u := range c.upstreams.list {
		if u.withdrawn {
			continue
		}
		if !found || u.expiresAt < next {
			next = u.expiresAt
			found = true
		}
	}
	return next, found
}
