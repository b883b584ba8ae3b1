package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/silence"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
	"github.com/dogwoodgauge/dogwoodgauge/core/routing"
)

const (
	// statusInterval is the time between two rounds of status queries.
	statusInterval = 250 * time.Millisecond
	// queryFanOut is the number of agents queried in each round, in turn.
	queryFanOut = 12
	// joinRetry is the pause before a join that has not been read is repeated.
	joinRetry = 2 * time.Second
	// askReached is how long after a change of configuration the agents that have
	// not stated that they applied it are asked in every round.
	askReached = 3 * time.Second
	// askStateRounds is the number of rounds from one request for the whole state
	// to the next.
	askStateRounds = 4
	// keepFormer is how long an agent that has left is still asked for its jobs.
	keepFormer = 30 * time.Second
)

// agent is what the entry knows of one agent.
type agent struct {
	member    control.Member
	upstreams []message.Upstream
	// upstreamVersion is the version of upstreams, or zero.
	upstreamVersion uint64

	load   message.Load
	loadAt time.Duration
	// offset is the highest offset that the agent has stated.
	offset int64
	// report is the last report, or nil; reportAt is when it came, and
	// inspectedAt when it was last asked for.
	report      *message.Report
	reportAt    time.Duration
	inspectedAt time.Duration
	// sent is the number of tasks sent there that load does not cover.
	sent int
	dead bool
	// silence tells whether the agent answers. The last round made it suspect, and
	// perhaps mute: silent for so long that requests for it are refused.
	silence silence.Watch
	suspect bool
	mute    bool
	// round is the last round in which it was queried.
	round uint64
	// leftAt is when the agent left the membership, or zero.
	leftAt time.Duration
}

// usable reports whether the agent takes new jobs as far as is known.
func (a *agent) usable() bool { return !a.dead && !a.load.Draining }

// gossip is the state of the periodic queries.
type gossip struct {
	next     time.Duration
	turn     int
	round    uint64
	joinedAt time.Duration
	asked    bool
	// awaited is the end of the records that every agent should apply. Agents below
	// it are asked until askUntil.
	awaited  int64
	askUntil time.Duration
}

func (c *Core) periodic() {
	c.judgeSilence()
	c.gossip.next = c.now.Mono + statusInterval
	c.gossip.round++
	c.queryQuiet()
	for range min(queryFanOut, len(c.order)) {
		c.gossip.turn = (c.gossip.turn + 1) % len(c.order)
		a := c.order[c.gossip.turn]
		if a.dead || a.round == c.gossip.round || (a.upstreams != nil && c.now.Mono-a.loadAt < statusInterval) {
			continue
		}
		c.query(a)
	}
	c.queryBehind()
	c.askState()
	c.join()
}

// askState asks an agent, in turn, for the state when records are missing that
// the log no longer holds.
func (c *Core) askState() {
	if c.state.Synced() || len(c.order) == 0 || c.gossip.round%askStateRounds != 0 {
		return
	}
	a := c.order[c.gossip.round/askStateRounds%uint64(len(c.order))]
	c.send(a.member.Ref, message.Message{Status: &message.Status{LogAge: -1, Query: true, Unsynced: true}})
}

func (c *Core) query(a *agent) {
	a.round = c.gossip.round
	a.silence.Asked(c.now.Mono)
	c.send(a.member.Ref, message.Message{Status: &message.Status{
		Query: true, Round: c.gossip.round, UpstreamVersion: a.upstreamVersion,
	}})
}

// join makes the entry known, so that quotas are shared among live entries.
func (c *Core) join() {
	if c.drain || !c.state.Synced() {
		return
	}
	if _, ok := c.state.Member(c.cfg.Self); ok {
		return
	}
	if c.gossip.asked && c.now.Mono-c.gossip.joinedAt < joinRetry {
		return
	}
	c.gossip.asked = true
	c.gossip.joinedAt = c.now.Mono
	c.actions = append(c.actions, AppendControl{Record: control.EncodeJoin(control.Member{
		Ref: c.cfg.Self, Addr: c.cfg.Addr, Role: control.RoleEntry, Domain: c.cfg.Domain, Read: c.state.Next(),
	})})
}

// observe takes the load that an envelope carries.
func (c *Core) observe(e *message.Envelope) {
	a, ok := c.agents[e.From]
	if !ok {
		return
	}
	a.silence.Heard()
	a.suspect, a.mute = false, false
	a.offset = max(a.offset, e.Offset)
	if e.Load == nil {
		return
	}
	a.load = *e.Load
	a.loadAt = c.now.Mono
	a.sent = 0
}

// status takes an agent's description of itself, or teaches an agent that asks
// for records.
func (c *Core) status(e *message.Envelope, s *message.Status) {
	if s.Query {
		if m := c.tail.Missing(e.Offset, !s.Unsynced); m != nil {
			c.send(e.From, message.Message{Records: m})
		}
		return
	}
	a, ok := c.agents[e.From]
	if ok && s.Report != nil {
		c.reported(a, s.Report)
	}
	if ok && s.UpstreamVersion > a.upstreamVersion {
		a.upstreams = s.Upstreams
		a.upstreamVersion = s.UpstreamVersion
	}
}

// logRead folds records of the control stream. After a change of configuration
// the next rounds learn how far the agents have come.
func (c *Core) logRead(e LogRead) {
	effect := c.tail.Apply(e.From, e.Records)
	c.changed(effect)
	if effect.ConfigChanged {
		c.awaitReached(c.state.Next())
	}
}

// published folds records that an operator has handed over, makes the agents
// that lack them ask for them, and learns how far all have come, also when this
// entry has read the records before.
func (c *Core) published(e Published) {
	c.changed(c.tail.ApplyCatchUp(&message.Records{Offset: e.From, Records: e.Records}))
	c.awaitReached(e.From + int64(len(e.Records)))
	c.queryBehind()
}

// awaitReached makes the rounds of the next askReached ask the agents that have
// not stated that they applied the records before offset.
func (c *Core) awaitReached(offset int64) {
	c.gossip.awaited = max(c.gossip.awaited, offset)
	c.gossip.askUntil = c.now.Mono + askReached
}

// queryBehind asks the agents that have not stated that they applied the
// awaited records.
func (c *Core) queryBehind() {
	if c.now.Mono >= c.gossip.askUntil {
		return
	}
	for _, a := range c.order {
		if !a.dead && a.offset < c.gossip.awaited {
			c.query(a)
		}
	}
}

func (c *Core) changed(e control.Effect) {
	if e.MembersChanged {
		c.membersChanged()
	}
	if e.MembersChanged || e.ConfigChanged {
		c.version++
	}
}

// membersChanged follows the list of agents.
func (c *Core) membersChanged() {
	known := make(map[node.Ref]*agent)
	peers := make([]Peer, 0, len(c.state.Agents()))
	c.order = c.order[:0]
	for _, m := range c.state.Agents() {
		a, ok := c.agents[m.Ref]
		if !ok {
			a = &agent{dead: c.dead[m.Ref]}
		}
		a.member = m
		known[m.Ref] = a
		c.order = append(c.order, a)
		peers = append(peers, Peer{Ref: m.Ref, Addr: m.Addr})
	}
	peers = append(peers, c.keepFormer(known)...)
	c.agents = known
	c.homes = rendezvous.NewTimeline(c.state)
	c.actions = append(c.actions, SetPeers{Peers: peers})
}

// keepFormer keeps the agents that have left the membership for a while: they
// finish their work and answer for their jobs. It returns their addresses.
func (c *Core) keepFormer(known map[node.Ref]*agent) []Peer {
	var peers []Peer
	for _, ref := range slices.SortedFunc(maps.Keys(c.agents), compareRefs) {
		a := c.agents[ref]
		if _, still := known[ref]; still || a.dead {
			continue
		}
		if a.leftAt == 0 {
			a.leftAt = c.now.Mono
		}
		if c.now.Mono-a.leftAt < keepFormer {
			known[ref] = a
			peers = append(peers, Peer{Ref: ref, Addr: a.member.Addr})
		}
	}
	return peers
}

func compareRefs(a, b node.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// withinQuota charges the tasks of a job to its team. It reports how long the
// caller should wait when the team is over its quota.
func (c *Core) withinQuota(j *job.Job) (bool, time.Duration) {
	if c.shares[j.Team] != c.version {
		c.shares[j.Team] = c.version
		team, _ := c.state.Config().Team(j.Team)
		c.limiter.SetShare(j.Team, team.Quota, c.liveEntries())
	}
	return c.limiter.Allow(c.now.Mono, j.Team, len(j.Tasks))
}

// liveEntries returns the number of entries among which quotas are divided.
func (c *Core) liveEntries() int {
	n := 0
	for _, m := range c.state.Members() {
		if m.Role == control.RoleEntry {
			n++
		}
	}
	return max(n, 1)
}

// chooseHome picks the agent that gets a job nobody knows yet: one that can run
// it beside itself if possible.
func (c *Core) chooseHome(j *job.Job) *agent {
	c.cands = c.cands[:0]
	c.chosen = c.chosen[:0]
	cfg := c.state.Config()
	rule, matched := cfg.Match(j.Team, j.Class, j.Tasks[0].Labels)
	for _, a := range c.order {
		if !a.usable() || a.suspect || !matched || !routing.AllowsAny(cfg, rule, a.member, a.upstreams) {
			continue
		}
		c.cands = append(c.cands, placement.Candidate{
			Ref: a.member.Ref, Domain: a.member.Domain, Near: a.member.Domain == c.cfg.Domain,
			Load: a.load, Sent: a.sent, Age: c.now.Mono - a.loadAt,
			Class: j.Class, QueuedUrgent: a.load.QueuedUrgent,
		})
		c.chosen = append(c.chosen, a)
	}
	if i := c.picker.Pick(c.cands); i >= 0 {
		return c.chosen[i]
	}
	return c.nextHome()
}
