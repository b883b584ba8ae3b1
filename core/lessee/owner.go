package lessee

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// retainEnds is how long the ends of a dispatcher's offers are kept to answer
	// repeated ones: far longer than a connection takes to come back.
	retainEnds = 5 * time.Second
	// forgetOwner is the silence after which a dispatcher without runs is
	// forgotten.
	forgetOwner = 5 * time.Second
	// waitingLife is how long a dispatcher that has said that tasks wait is told of
	// freed room at once; it says so again after half a beat.
	waitingLife = lease.HeartbeatInterval
)

// owner is one run of a dispatcher.
type owner struct {
	ref node.Ref
	// leaseUntil is when its runs are stopped, unless it proves that it is alive.
	leaseUntil time.Duration
	// lapsed is set once the lease has ended and the runs are being stopped.
	lapsed bool
	// stamp is its last stamp, which beats to it return.
	stamp time.Duration
	// heardAt is when its last message came.
	heardAt time.Duration
	// knownKind is the version of the upstream's kind that it last said to know.
	knownKind uint64
	// seen is the highest sequence number that has been taken into account.
	seen uint64
	// waiting is the first of its tasks that wait, as it said until waitingUntil; it gets
	// no turn until passedUntil with room of passedFree, and had its last at turnAt.
	// Offered is set once it has made an offer in its turn.
	waiting                           *message.WaitingTask
	waitingUntil, passedUntil, turnAt time.Duration
	passedFree                        message.Resources
	offered                           bool
	told                              uint64
	toldSeen                          uint64
	// bySeq holds the runs, ended ones included.
	bySeq map[uint64]*run
	ends  []*run
	// runs counts those that have not ended.
	runs int
}

func (c *Core) owner(ref node.Ref) *owner {
	if o, ok := c.owners[ref]; ok {
		return o
	}
	o := &owner{ref: ref, bySeq: make(map[uint64]*run), leaseUntil: c.now.Mono + lease.RunLease}
	c.owners[ref] = o
	c.order = append(c.order, o)
	c.logEvent("dispatcher_seen", "", "dispatcher", ref.String())
	return o
}

func (c *Core) receive(env message.Envelope) {
	o := c.owner(env.From)
	o.heardAt = c.now.Mono
	for i := range env.Messages {
		m := &env.Messages[i]
		switch {
		case m.Heartbeat != nil:
			c.heardBeat(o, m.Heartbeat)
		case m.Offer != nil:
			c.offer(o, m.Offer)
		case m.RevokeOffer != nil:
			c.recall(o, m.RevokeOffer)
		}
	}
}

// heardBeat renews the lease of a dispatcher's runs from the stamp that it returns.
func (c *Core) heardBeat(o *owner, b *message.Heartbeat) {
	first := o.stamp == 0
	o.stamp = b.Timestamp
	o.knownKind = b.KnownInfoVersion
	o.waiting = b.FirstWaiting
	if b.FirstWaiting != nil {
		o.waitingUntil, o.passedUntil = c.now.Mono+waitingLife, 0
	}
	if b.EchoedTimestamp > 0 {
		o.renew(b.EchoedTimestamp)
	}
	c.learnSite(b.Site)
	want := c.asking.ShouldRequest(c.now.Mono, c.site.Revision, b.Revision)
	give := b.WantSite && b.Revision < c.site.Revision && c.relay.Allow(c.now.Mono, c.site)
	if first || want || give {
		c.sendBeat(o, want, give)
	}
}

// renew extends the lease: the dispatcher was alive after this side's time stamp.
func (o *owner) renew(stamp time.Duration) {
	if until := stamp + lease.RunLease; until > o.leaseUntil {
		o.leaseUntil = until
		o.lapsed = false
	}
}

// beat sends the periodic beats that are due.
func (c *Core) beat() {
	if c.now.Mono < c.nextBeat {
		return
	}
	c.nextBeat = c.now.Mono + lease.HeartbeatInterval
	maps.DeleteFunc(c.endedAt, func(_ message.TaskName, at time.Duration) bool { return c.now.Mono-at > retainEnds })
	for _, o := range slices.Clone(c.order) {
		c.forgetEnds(o)
		if o.runs == 0 && c.now.Mono-o.heardAt > forgetOwner {
			c.forget(o)
			continue
		}
		c.beatTo(o)
	}
}

func (c *Core) beatTo(o *owner) { c.sendBeat(o, false, false) }

// sendBeat sends a beat that may ask for the dispatcher's state, or give this one.
func (c *Core) sendBeat(o *owner, want, give bool) {
	b := &message.Heartbeat{Timestamp: c.now.Mono, EchoedTimestamp: o.stamp, Revision: c.site.Revision, WantSite: want}
	if give {
		b.Site = c.site
	}
	if o.told != c.roomVersion || o.toldSeen != o.seen || o.stamp == 0 || o.knownKind != c.kindVersion {
		b.Capacity = c.room(o)
		o.told, o.toldSeen = c.roomVersion, o.seen
	}
	c.send(o.ref, message.Message{Heartbeat: b})
}

func (c *Core) forget(o *owner) {
	if c.turn.holder == o {
		c.endTurn()
	}
	delete(c.owners, o.ref)
	c.order = slices.DeleteFunc(c.order, func(x *owner) bool { return x == o })
	c.logEvent("dispatcher_forgotten", "", "dispatcher", o.ref.String())
}

// forgetEnds drops the ends that are no longer asked for.
func (c *Core) forgetEnds(o *owner) {
	n := 0
	for n < len(o.ends) && c.now.Mono-o.ends[n].endedAt > retainEnds {
		delete(o.bySeq, o.ends[n].seq)
		n++
	}
	o.ends = slices.Delete(o.ends, 0, n)
}

// endLeases stops the runs of dispatchers that have not proved to be alive.
func (c *Core) endLeases() {
	for _, o := range c.order {
		if o.runs == 0 || o.lapsed || c.now.Mono < o.leaseUntil {
			continue
		}
		o.lapsed = true
		c.logEvent("dispatcher_lease_lapsed", "", "dispatcher", o.ref.String(), "runs", o.runs,
			"silent_ms", (c.now.Mono - o.heardAt).Milliseconds())
		for _, r := range o.live() {
			c.stop(r)
		}
	}
}

// live returns the runs that have not ended and are not being stopped, in order.
func (o *owner) live() []*run { return o.inState(starting, running) }

// stopping returns the runs that are being stopped, in order.
func (o *owner) stopping() []*run { return o.inState(stopping) }

func (o *owner) inState(states ...runState) []*run {
	if o.runs == 0 {
		return nil
	}
	var list []*run
	for _, r := range o.bySeq {
		if slices.Contains(states, r.state) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.seq, b.seq) })
	return list
}
