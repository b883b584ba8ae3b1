package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/home"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
)

const (
	// joinRetry is the pause before a join that has not been read is repeated.
	joinRetry = 2 * time.Second
	// evictStep spreads the evictions of one peer over the members.
	evictStep = 200 * time.Millisecond
	// evictSpread bounds the number of steps.
	evictSpread = 16
	// spreadTime is the time allowed for a change of membership to be read by a
	// majority, and for word of that to arrive.
	spreadTime = 1500 * time.Millisecond
	// keepFormer is how long the address of a run that has left is kept.
	keepFormer = 30 * time.Second
	// askPause is the least time between two requests for missing records.
	askPause = 20 * time.Millisecond
	// askStatePause is the time between two requests for the whole state.
	askStatePause = time.Second
)

// memberState is the agent's own membership.
type memberState struct {
	joinedAt time.Duration
	asked    bool
	left     bool
	// caughtUp is true once the end of the log has been read.
	caughtUp bool
	// oldest and end bound the stream as of the last read.
	oldest int64
	end    int64
	// askAgainAt is when records may be asked for again.
	askAgainAt time.Duration
	// askStateAt is when the whole state may be asked for again.
	askStateAt time.Duration
	// snapshotAt is when this agent appends a snapshot that is still due.
	snapshotAt time.Duration
}

// logRead folds records of the control stream.
func (c *Core) logRead(e LogRead) {
	c.members.oldest = e.Oldest
	c.members.end = e.End
	before := c.state.Next()
	c.changed(before, c.tail.Apply(e.From, e.Records))
	if c.state.Next() == e.End && c.state.Synced() {
		c.members.caughtUp = true
		c.lease.LogEvidence(e.End, e.AskedAt)
	}
}

// records folds records that a peer has sent.
func (c *Core) records(m *message.Records) {
	before := c.state.Next()
	c.changed(before, c.tail.Take(m))
}

// changed puts a new state in force.
func (c *Core) changed(before int64, e control.Effect) {
	if c.state.Next() == before && !e.ConfigChanged && !e.MembersChanged {
		return
	}
	c.lease.Advance(c.state.Next())
	if e.MembersChanged {
		c.membersChanged()
	}
	c.owners.Observe(c.now, c.state)
	if e.ConfigChanged || e.MembersChanged {
		c.version++
		c.exec.Recheck(c.now, &c.execOut)
		c.home.PlaceWaiting(c.now, &c.homeOut)
	}
}

// membersChanged follows the list of agents.
func (c *Core) membersChanged() {
	agents := c.state.Agents()
	c.lease.SetMembers(c.state.Members())
	c.replaced(agents)
	known := make(map[node.Ref]*peer, len(agents))
	peers := make([]Peer, 0, len(agents))
	ids := make([]node.ID, 0, len(agents))
	for _, m := range agents {
		if m.Ref.ID == c.cfg.Self.ID {
			continue
		}
		p, ok := c.peers[m.Ref]
		if !ok {
			p = &peer{heardAt: c.now.Mono}
		}
		p.member = m
		known[m.Ref] = p
		peers = append(peers, Peer{Ref: m.Ref, Addr: m.Addr})
		ids = append(ids, m.Ref.ID)
	}
	peers = append(peers, c.formerPeers(known)...)
	peers = append(peers, c.watchEntries()...)
	c.peers = known
	c.actions = append(c.actions, SetPeers{Peers: peers})
	c.watchSubset(ids)
	c.setExecutors()
}

// formerPeers notes which runs have left the membership, and returns those that
// may still be finishing their work. Their addresses are kept, so that messages
// reach them and their end is noticed.
func (c *Core) formerPeers(known map[node.Ref]*peer) []Peer {
	for _, ref := range slices.SortedFunc(maps.Keys(c.peers), compareRefs) {
		p := c.peers[ref]
		if _, still := known[ref]; !still && !p.dead {
			c.former = append(c.former, formerPeer{
				peer: Peer{Ref: ref, Addr: p.member.Addr}, until: c.now.Mono + keepFormer,
			})
		}
	}
	c.former = slices.DeleteFunc(c.former, func(f formerPeer) bool { return f.until <= c.now.Mono })
	var peers []Peer
	for _, f := range c.former {
		peers = append(peers, f.peer)
	}
	return peers
}

// formerPeer is a run that has left the membership.
type formerPeer struct {
	peer  Peer
	until time.Duration
}

func compareRefs(a, b node.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// replaced finds the runs whose address another run has taken over. A run binds
// its port before it joins, so the former one has ended.
func (c *Core) replaced(agents []control.Member) {
	for _, m := range agents {
		for _, old := range c.refsOf(m.Ref.ID) {
			if old != m.Ref && c.peers[old].member.Addr == m.Addr {
				c.peerDead(old)
			}
		}
	}
}

// refsOf returns the known runs of a process, ordered.
func (c *Core) refsOf(id node.ID) []node.Ref {
	var refs []node.Ref
	for ref := range c.peers {
		if ref.ID == id {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

func (c *Core) watchSubset(ids []node.ID) {
	set := make(map[node.ID]bool)
	for _, id := range placement.Subset(c.cfg.Self.ID, ids, watchSize) {
		set[id] = true
	}
	c.watch(set)
}

// setExecutors tells the home which agents it may send tasks to.
func (c *Core) setExecutors() {
	list := []home.Executor{{Ref: c.cfg.Self, Domain: c.cfg.Domain}}
	for _, p := range c.watched {
		list = append(list, home.Executor{Ref: p.member.Ref, Domain: p.member.Domain})
	}
	c.home.SetExecutors(list)
	c.home.ObserveLoad(c.now, c.cfg.Self, c.exec.Load(c.now))
}

// peerDead takes proof that a run has ended.
func (c *Core) peerDead(ref node.Ref) {
	if c.entryDead(ref) {
		return
	}
	c.exec.HomeDead(c.now, ref, &c.execOut)
	c.home.ExecutorDead(c.now, ref, &c.homeOut)
	if p, ok := c.peers[ref]; ok {
		p.dead = true
		c.version++
	}
}

// maintainMembership joins the stream, removes dead peers and appends the
// other records that are due.
func (c *Core) maintainMembership() {
	c.askState()
	c.join()
	c.evictDead()
	c.evictEntries()
	c.snapshot()
	if record, due := c.owners.Confirm(c.now); due {
		c.appendControl(record)
	}
}

func (c *Core) join() {
	if c.drain.begun || !c.members.caughtUp || !c.state.Synced() {
		return
	}
	if _, ok := c.state.Member(c.cfg.Self); ok {
		return
	}
	if c.members.asked && c.now.Mono-c.members.joinedAt < joinRetry {
		return
	}
	c.members.asked = true
	c.members.joinedAt = c.now.Mono
	m := c.selfMember()
	if len(c.state.Agents()) > 0 {
		m.Effective = c.now.After(c.changeDelay()).Wall
	}
	c.appendControl(control.EncodeJoin(m))
}

// changeDelay is how long before it takes effect a change of the homes of jobs
// is announced, so that no process that has not read it can act any more.
func (c *Core) changeDelay() time.Duration {
	return c.cfg.Lease + 2*c.cfg.ClockBound + spreadTime
}

func (c *Core) selfMember() control.Member {
	return control.Member{
		Ref: c.cfg.Self, Addr: c.cfg.Addr, Role: control.RoleAgent,
		Domain: c.cfg.Domain, Worker: c.cfg.Worker,
	}
}

// evictDead removes members whose end is proven. Members take turns so that
// one record is enough.
func (c *Core) evictDead() {
	wait := c.turn()
	for _, m := range c.state.Agents() {
		p, ok := c.peers[m.Ref]
		if !ok || !p.dead {
			continue
		}
		if c.now.Mono-p.heardAt >= wait {
			p.heardAt = c.now.Mono + joinRetry
			c.appendControl(control.EncodeEvict(m.Ref, c.cfg.Self))
		}
	}
}

// turn returns a pause that differs among the members, so that records which
// any of them may append are seldom appended twice.
func (c *Core) turn() time.Duration {
	for i, m := range c.state.Agents() {
		if m.Ref == c.cfg.Self {
			return evictStep * time.Duration(i%evictSpread+1)
		}
	}
	return evictStep * evictSpread
}

// snapshot appends the folded state when the records that a new reader needs
// are about to pass out of retention.
func (c *Core) snapshot() {
	if !c.state.Synced() || !c.state.SnapshotDue(c.members.oldest, c.members.end) {
		c.members.snapshotAt = 0
		return
	}
	if c.members.snapshotAt == 0 {
		c.members.snapshotAt = c.now.Mono + c.turn()
	}
	if c.now.Mono >= c.members.snapshotAt {
		c.members.snapshotAt = c.now.Mono + joinRetry
		c.appendControl(c.state.SnapshotRecord())
	}
}

func (c *Core) appendControl(record []byte) {
	c.actions = append(c.actions, AppendControl{Record: record})
}

// teach sends a process the records that it lacks.
func (c *Core) teach(to node.Ref, offset int64, synced bool) {
	if m := c.tail.For(offset, synced); m != nil {
		c.send(to, message.Message{Records: m})
	}
}

// askState asks a random peer for the state when records are missing that the
// log no longer holds. The offset alone does not show that: it may be the peer's.
func (c *Core) askState() {
	agents := c.state.Agents()
	if c.state.Synced() || len(agents) == 0 || c.now.Mono < c.members.askStateAt {
		return
	}
	m := agents[c.randomSource().IntN(len(agents))]
	if p, ok := c.peers[m.Ref]; !ok || p.dead {
		return
	}
	c.members.askStateAt = c.now.Mono + askStatePause
	c.send(m.Ref, message.Message{Status: &message.Status{LogAge: -1, Query: true, Unsynced: true}})
}

// askRecords asks a process that is ahead for the records that are missing.
func (c *Core) askRecords(from node.Ref) {
	if c.now.Mono < c.members.askAgainAt {
		return
	}
	c.members.askAgainAt = c.now.Mono + askPause
	c.send(from, message.Message{Status: &message.Status{LogAge: -1, Query: true}})
}
