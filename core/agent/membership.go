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
	// joinRetry is the pause before a record that has not been read back, such
	// as a join, is appended again.
	joinRetry = 2 * time.Second
	// appendDelayStep is the unit of the delays after which members append a
	// record that any of them may append. The delays differ, so that usually
	// only one of them does.
	appendDelayStep = 200 * time.Millisecond
	// appendDelaySteps is the number of different delays, which are 1 to
	// appendDelaySteps units.
	appendDelaySteps = 16
	// membershipSpreadTime is the time allowed for a majority to read a change
	// of the membership and for their reports of it to arrive.
	membershipSpreadTime = 1500 * time.Millisecond
	// formerPeerRetention is how long the address of a process that has left is
	// kept.
	formerPeerRetention = 30 * time.Second
	// recordsRequestInterval is the least time between two requests for missing
	// records.
	recordsRequestInterval = 20 * time.Millisecond
	// stateRequestInterval is the least time between two requests for the whole
	// state.
	stateRequestInterval = time.Second
)

// memberState is the state of the agent's own membership.
type memberState struct {
	// joinSentAt is when the last join was appended.
	joinSentAt time.Duration
	// joinSent is true once a join has been appended.
	joinSent       bool
	announcedLeave bool
	// caughtUp is true once this agent has read up to the end of the log.
	caughtUp bool
	// oldest and end are the bounds of the control stream as of the last log
	// read.
	oldest int64
	end    int64
	// nextRecordsRequestAt is when missing records may be requested again.
	nextRecordsRequestAt time.Duration
	// nextStateRequestAt is when the whole state may be requested again.
	nextStateRequestAt time.Duration
	// snapshotAt is when this agent appends a snapshot if it is still due then.
	snapshotAt time.Duration
}

// applyLogRead applies records of the control stream that were read from the
// log.
func (c *Core) applyLogRead(e LogRead) {
	c.members.oldest = e.Oldest
	c.members.end = e.End
	before := c.state.Next()
	c.stateChanged(before, c.tail.Apply(e.From, e.Records))
	if c.state.Next() == e.End && c.state.Synced() {
		c.members.caughtUp = true
		c.lease.AddLogEvidence(e.End, e.SentAt)
	}
}

// applyCatchUp applies records or a snapshot that a peer has sent.
func (c *Core) applyCatchUp(m *message.Records) {
	before := c.state.Next()
	c.stateChanged(before, c.tail.ApplyCatchUp(m))
}

// stateChanged updates everything that depends on the state after records with
// the effect e were applied. Before is the next offset that the state had until
// then.
func (c *Core) stateChanged(before int64, e control.Effect) {
	if c.state.Next() == before && !e.ConfigChanged && !e.MembersChanged {
		return
	}
	c.lease.Advance(c.state.Next())
	if e.MembersChanged {
		c.membersChanged()
	}
	c.tracker.Observe(c.now, c.state)
	if e.ConfigChanged || e.MembersChanged {
		c.version++
		c.exec.Recheck(c.now, &c.execOut)
		c.home.PlaceWaiting(c.now, &c.homeOut)
	}
}

// membersChanged updates the known peers after a change of the membership.
func (c *Core) membersChanged() {
	agents := c.state.Agents()
	c.lease.SetMembers(c.state.Members())
	c.detectReplaced(agents)
	known := make(map[node.Ref]*peer, len(agents))
	peers := make([]Peer, 0, len(agents))
	ids := make([]node.ID, 0, len(agents))
	for _, m := range agents {
		if m.Ref.ID == c.cfg.Self.ID {
			continue
		}
		p, ok := c.peers[m.Ref]
		if !ok {
			p = &peer{lastMessageAt: c.now.Mono}
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
	c.chooseWatched(ids)
	c.setExecutors()
}

// formerPeers records which processes have left the membership, and returns
// those that may still be finishing their work. Their addresses are kept, so
// that messages reach them and the transport notices when they end.
func (c *Core) formerPeers(known map[node.Ref]*peer) []Peer {
	for _, ref := range slices.SortedFunc(maps.Keys(c.peers), compareRefs) {
		p := c.peers[ref]
		if _, still := known[ref]; !still && !p.dead {
			c.former = append(c.former, formerPeer{
				peer: Peer{Ref: ref, Addr: p.member.Addr}, until: c.now.Mono + formerPeerRetention,
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

// formerPeer is a process that has left the membership.
type formerPeer struct {
	peer  Peer
	until time.Duration
}

func compareRefs(a, b node.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// detectReplaced treats an incarnation as ended when a newer one has joined
// with the same address. A process binds its port before it joins, so the
// older incarnation must have released the port and ended.
func (c *Core) detectReplaced(agents []control.Member) {
	for _, m := range agents {
		for _, old := range c.incarnationsOf(m.Ref.ID) {
			if old != m.Ref && c.peers[old].member.Addr == m.Addr {
				c.peerDead(old)
			}
		}
	}
}

// incarnationsOf returns the known incarnations of a process, ordered.
func (c *Core) incarnationsOf(id node.ID) []node.Ref {
	var refs []node.Ref
	for ref := range c.peers {
		if ref.ID == id {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// chooseWatched chooses the subset of the agents that this agent sends tasks
// to.
func (c *Core) chooseWatched(ids []node.ID) {
	set := make(map[node.ID]bool)
	for _, id := range placement.Subset(c.cfg.Self.ID, ids, maxWatchedPeers) {
		set[id] = true
	}
	c.setWatched(set)
}

// setExecutors passes to the home the list of agents that it may send tasks to.
func (c *Core) setExecutors() {
	list := []home.Executor{{Ref: c.cfg.Self, Domain: c.cfg.Domain}}
	for _, p := range c.watched {
		list = append(list, home.Executor{Ref: p.member.Ref, Domain: p.member.Domain})
	}
	c.home.SetExecutors(list)
	c.home.ObserveLoad(c.now, c.cfg.Self, c.exec.Load(c.now))
}

// peerDead processes the proof that a process has ended.
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

// maintainMembership requests missing state, appends this agent's join, evicts
// dead members and appends the other records that are due.
func (c *Core) maintainMembership() {
	c.requestState()
	c.join()
	c.evictDead()
	c.evictEntries()
	c.appendDueSnapshot()
	if record, due := c.tracker.DueConfirmation(c.now); due {
		c.appendControl(record)
	}
}

func (c *Core) join() {
	if c.drain.started || !c.members.caughtUp || !c.state.Synced() {
		return
	}
	if _, ok := c.state.Member(c.cfg.Self); ok {
		return
	}
	if c.members.joinSent && c.now.Mono-c.members.joinSentAt < joinRetry {
		return
	}
	c.members.joinSent = true
	c.members.joinSentAt = c.now.Mono
	m := c.selfMember()
	if len(c.state.Agents()) > 0 {
		m.OwnsFrom = c.now.After(c.changeDelay()).Wall
	}
	c.appendControl(control.EncodeJoin(m))
}

// changeDelay returns how long a change of the homes of jobs is announced
// before it takes effect. After that time no process that has not read the
// change can still act.
func (c *Core) changeDelay() time.Duration {
	return c.cfg.Lease + 2*c.cfg.ClockBound + membershipSpreadTime
}

func (c *Core) selfMember() control.Member {
	return control.Member{
		Ref: c.cfg.Self, Addr: c.cfg.Addr, Role: control.RoleAgent,
		Domain: c.cfg.Domain, Worker: c.cfg.Worker,
	}
}

// evictDead removes members that have provably ended. The members wait for
// different times, so that usually only one of them appends the record.
func (c *Core) evictDead() {
	wait := c.appendDelay()
	for _, m := range c.state.Agents() {
		p, ok := c.peers[m.Ref]
		if !ok || !p.dead {
			continue
		}
		if c.now.Mono-p.lastMessageAt >= wait {
			p.lastMessageAt = c.now.Mono + joinRetry
			c.appendControl(control.EncodeEvict(m.Ref, c.cfg.Self))
		}
	}
}

// appendDelay returns a delay that differs among the members, so that records
// which any of them may append are seldom appended twice.
func (c *Core) appendDelay() time.Duration {
	for i, m := range c.state.Agents() {
		if m.Ref == c.cfg.Self {
			return appendDelayStep * time.Duration(i%appendDelaySteps+1)
		}
	}
	return appendDelayStep * appendDelaySteps
}

// appendDueSnapshot appends the folded state when the log is about to drop
// records that a new reader needs.
func (c *Core) appendDueSnapshot() {
	if !c.state.Synced() || !c.state.SnapshotDue(c.members.oldest, c.members.end) {
		c.members.snapshotAt = 0
		return
	}
	if c.members.snapshotAt == 0 {
		c.members.snapshotAt = c.now.Mono + c.appendDelay()
	}
	if c.now.Mono >= c.members.snapshotAt {
		c.members.snapshotAt = c.now.Mono + joinRetry
		c.appendControl(c.state.SnapshotRecord())
	}
}

func (c *Core) appendControl(record []byte) {
	c.actions = append(c.actions, AppendControl{Record: record})
}

// sendMissingRecords sends a process the records that it lacks.
func (c *Core) sendMissingRecords(to node.Ref, offset int64, synced bool) {
	if m := c.tail.Missing(offset, synced); m != nil {
		c.send(to, message.Message{Records: m})
	}
}

// requestState requests the state from a random peer when records are missing
// that the log no longer holds. The offset alone does not show that a process
// lacks earlier records: it may equal the peer's.
func (c *Core) requestState() {
	agents := c.state.Agents()
	if c.state.Synced() || len(agents) == 0 || c.now.Mono < c.members.nextStateRequestAt {
		return
	}
	m := agents[c.randomSource().IntN(len(agents))]
	if p, ok := c.peers[m.Ref]; !ok || p.dead {
		return
	}
	c.members.nextStateRequestAt = c.now.Mono + stateRequestInterval
	c.send(m.Ref, message.Message{Status: &message.Status{LogAge: -1, Query: true, Unsynced: true}})
}

// requestRecords requests the missing records from a process that is ahead.
func (c *Core) requestRecords(from node.Ref) {
	if c.now.Mono < c.members.nextRecordsRequestAt {
		return
	}
	c.members.nextRecordsRequestAt = c.now.Mono + recordsRequestInterval
	c.send(from, message.Message{Status: &message.Status{LogAge: -1, Query: true}})
}
