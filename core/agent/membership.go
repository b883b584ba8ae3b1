package agent

import (
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
	// teachRecords bounds the records kept for peers that are behind.
	teachRecords = 256
)

// memberState is the agent's own membership.
type memberState struct {
	joinedAt time.Duration
	asked    bool
	left     bool
	// oldest and end bound the stream as of the last read.
	oldest int64
	end    int64
	// snapshotAt is when this agent appends a snapshot that is still due.
	snapshotAt time.Duration
	// recent holds the last records read, ending at the state's offset.
	recent [][]byte
}

// logRead folds records of the control stream.
func (c *Core) logRead(e LogRead) {
	c.apply(e.From, e.Records)
	c.members.oldest = e.Oldest
	c.members.end = e.End
	if c.state.Next() == e.End && c.state.Synced() {
		c.lease.LogEvidence(e.End, e.AskedAt)
	}
}

// records folds records that a peer has sent.
func (c *Core) records(m *message.Records) {
	if m.Snapshot != nil && m.Offset > c.state.Next() {
		if c.state.ResetTo(m.Snapshot) == nil {
			c.members.recent = nil
			c.changed(control.Effect{ConfigChanged: true, MembersChanged: true})
		}
	}
	if m.Offset <= c.state.Next() {
		c.apply(m.Offset, m.Records)
	}
}

func (c *Core) apply(from int64, records [][]byte) {
	var sum control.Effect
	before := c.state.Next()
	for i, r := range records {
		offset := from + int64(i)
		if offset < c.state.Next() {
			continue
		}
		if offset > c.state.Next() {
			c.members.recent = nil
		}
		effect := c.state.Apply(offset, r)
		sum.ConfigChanged = sum.ConfigChanged || effect.ConfigChanged
		sum.MembersChanged = sum.MembersChanged || effect.MembersChanged
		c.members.recent = append(c.members.recent, r)
	}
	if over := len(c.members.recent) - teachRecords; over > 0 {
		c.members.recent = append([][]byte(nil), c.members.recent[over:]...)
	}
	if c.state.Next() != before {
		c.changed(sum)
	}
}

// changed puts a new state in force.
func (c *Core) changed(e control.Effect) {
	c.lease.Advance(c.state.Next())
	if e.MembersChanged {
		c.membersChanged()
	}
	c.owners.Observe(c.now, c.state)
	if e.ConfigChanged || e.MembersChanged {
		c.version++
		c.exec.Recheck(c.now, &c.execOut)
		c.home.Place(c.now, &c.homeOut)
	}
}

// membersChanged follows the list of agents.
func (c *Core) membersChanged() {
	agents := c.state.Agents()
	c.lease.SetMembers(c.state.Members())
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
	c.peers = known
	c.actions = append(c.actions, SetPeers{Peers: peers})
	c.watchSubset(ids)
	c.setExecutors()
}

func (c *Core) watchSubset(ids []node.ID) {
	set := make(map[node.ID]bool)
	for _, id := range placement.Subset(c.cfg.Self.ID, ids, watchFanOut) {
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
	c.home.ObserveLoad(c.now, c.cfg.Self, c.exec.Load())
}

// peerDead takes proof that a run has ended.
func (c *Core) peerDead(ref node.Ref) {
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
	c.join()
	c.evictDead()
	c.snapshot()
	if record, due := c.owners.Confirm(c.now); due {
		c.appendControl(record)
	}
}

func (c *Core) join() {
	if c.drain.begun || !c.state.Synced() {
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
	c.appendControl(control.EncodeJoin(c.selfMember()))
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

// teach sends a peer the records that it lacks, or the whole state.
func (c *Core) teach(to node.Ref, offset int64) {
	first := c.state.Next() - int64(len(c.members.recent))
	m := &message.Records{Offset: offset}
	if offset >= first {
		m.Records = c.members.recent[offset-first:]
	} else {
		m.Offset = c.state.Next()
		m.Snapshot = c.state.Snapshot()
	}
	c.send(to, message.Message{Records: m})
}
