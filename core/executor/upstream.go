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

// Announcement describes an upstream that has made itself known.
type Announcement struct {
	Name string
	// Slots is the number of tasks that its worker lets it run at a time now. With
	// fewer than run already, or zero, no further task starts there.
	Slots       int
	Connections int
	Labels      label.Set
	TTL         time.Duration
}

// upstream is one announced upstream.
type upstream struct {
	name      string
	labels    label.Set
	slots     int
	busy      int
	expires   time.Duration
	withdrawn bool
}

// free returns the number of slots that a new task may take. It is negative while
// more tasks run than the upstream has slots for since its last announcement.
func (u *upstream) free() int {
	if u.withdrawn {
		return 0
	}
	return u.slots - u.busy
}

// upstreams is the list of upstreams in order of name.
type upstreams struct {
	list []*upstream
	// version counts the changes of what the upstreams may run.
	version uint64
}

// slots returns the number of slots of all upstreams that take work.
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

// set adds or renews an upstream. It reports whether the upstream has lost all
// its slots.
func (us *upstreams) set(now time.Duration, a Announcement) (closed bool) {
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
	u.expires = now + a.TTL
	u.withdrawn = false
	return closed
}

// lapse withdraws upstreams whose announcement was not renewed, and removes
// withdrawn ones that run nothing.
func (us *upstreams) lapse(now time.Duration) {
	for _, u := range us.list {
		if u.expires <= now && !u.withdrawn {
			us.withdraw(u)
		}
	}
	us.list = slices.DeleteFunc(us.list, func(u *upstream) bool {
		return u.withdrawn && u.busy == 0
	})
}

// withdraw takes u out of use.
func (us *upstreams) withdraw(u *upstream) {
	u.withdrawn = true
	us.version++
}

// Announce adds or renews an upstream. When it has no slots any more, tasks that
// wait for it alone are refused.
func (c *Core) Announce(now clock.Now, a Announcement, out *Output) {
	c.out = out
	if c.upstreams.set(now.Mono, a) {
		c.refuseStranded(now)
	}
	c.dispatch(now)
}

// refuseStranded refuses the waiting tasks that no upstream has slots for, so that
// they may run elsewhere.
func (c *Core) refuseStranded(now clock.Now) {
	stranded := c.queue.RemoveFunc(func(e *entry) bool { return !c.hasSlots(now, e) })
	for _, e := range stranded {
		c.refuse(e, message.RefusedBusy, 0)
	}
}

// hasSlots reports whether an upstream that may take e has slots, free or not.
func (c *Core) hasSlots(now clock.Now, e *entry) bool {
	return slices.ContainsFunc(c.upstreams.list, func(u *upstream) bool {
		if u.withdrawn || u.slots == 0 {
			return false
		}
		why, _ := c.cfg.Gate.Permit(now, e.start, Place{Upstream: u.name, Labels: u.labels})
		return why == ""
	})
}

// Withdraw removes an upstream. Its running tasks go on; tasks that wait and
// have nowhere else to go are refused.
func (c *Core) Withdraw(now clock.Now, name string, out *Output) {
	if u, ok := c.upstreams.find(name); ok {
		c.upstreams.withdraw(u)
		u.expires = now.Mono
	}
	c.upstreams.lapse(now.Mono)
	c.Recheck(now, out)
}

// Upstreams describes the upstreams that take work.
func (c *Core) Upstreams() []message.Upstream {
	var list []message.Upstream
	for _, u := range c.upstreams.list {
		if !u.withdrawn {
			list = append(list, message.Upstream{Name: u.name, Labels: u.labels, Slots: u.slots})
		}
	}
	return list
}

// UpstreamsVersion changes whenever Upstreams does.
func (c *Core) UpstreamsVersion() uint64 { return c.upstreams.version }

// NextExpiry returns the earliest time at which an announcement lapses.
func (c *Core) NextExpiry() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, u := range c.upstreams.list {
		if u.withdrawn {
			continue
		}
		if !found || u.expires < next {
			next = u.expires
			found = true
		}
	}
	return next, found
}
