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
	// queryFanOut is the number of agents that are queried in each round, in
	// turn.
	queryFanOut = 12
	// joinRetry is the pause before a join that has not been read back is
	// appended again.
	joinRetry = 2 * time.Second
	// awaitAppliedPeriod is how long after a change of configuration the entry
	// queries the agents that have not reported that they applied it. It
	// queries them in every round.
	awaitAppliedPeriod = 3 * time.Second
	// stateRequestRounds is the number of rounds between two requests for the
	// whole state.
	stateRequestRounds = 4
	// formerAgentRetention is how long the entry keeps an agent that has left
	// and still asks it for its jobs.
	formerAgentRetention = 30 * time.Second
)

// agent is what the entry knows of one agent.
type agent struct {
	member    control.Member
	upstreams []message.Upstream
	// upstreamVersion is the version of upstreams, or zero.
	upstreamVersion uint64

	load   message.Load
	loadAt time.Duration
	// offset is the highest offset that the agent has reported.
	offset int64
	// report is the last report, or nil.
	report *message.Report
	// reportReceivedAt is when report arrived, and reportRequestedAt when a
	// report was last requested.
	reportReceivedAt  time.Duration
	reportRequestedAt time.Duration
	// tasksSinceLoad is the number of tasks that this entry has sent there
	// since load arrived.
	tasksSinceLoad int
	dead           bool
	// silence tracks whether the agent answers.
	silence silence.Watch
	// suspect is true when the agent was unresponsive in the last round, so
	// that new jobs get another home. unresponsive is true when it has been
	// unresponsive for silence.RefuseAfter, so that the entry refuses
	// submissions to it.
	suspect      bool
	unresponsive bool
	// lastQueryRound is the last round in which the entry queried the agent.
	lastQueryRound uint64
	// leftAt is when the agent left the membership, or zero.
	leftAt time.Duration
}

// usable reports whether the agent accepts new jobs as far as the entry knows.
func (a *agent) usable() bool { return !a.dead && !a.load.Draining }

// gossip is the state of the periodic status queries.
type gossip struct {
	nextRoundAt time.Duration
	lastQueried int
	round       uint64
	joinSentAt  time.Duration
	joinSent    bool
	// awaitedOffset is the next offset that every agent should reach. Agents
	// below it are queried in every round until queryBehindUntil.
	awaitedOffset    int64
	queryBehindUntil time.Duration
}

// startRound starts a round of status queries and runs the slow checks.
func (c *Core) startRound() {
	c.updateSuspects()
	c.gossip.nextRoundAt = c.now.Mono + statusInterval
	c.gossip.round++
	c.queryUnanswered()
	for range min(queryFanOut, len(c.orderedAgents)) {
		c.gossip.lastQueried = (c.gossip.lastQueried + 1) % len(c.orderedAgents)
		a := c.orderedAgents[c.gossip.lastQueried]
		if a.dead || a.lastQueryRound == c.gossip.round || (a.upstreams != nil && c.now.Mono-a.loadAt < statusInterval) {
			continue
		}
		c.query(a)
	}
	c.queryBehind()
	c.requestState()
	c.join()
}

// requestState requests the state from the agents in turn when records are
// missing that the log no longer holds.
func (c *Core) requestState() {
	if c.state.Synced() || len(c.orderedAgents) == 0 || c.gossip.round%stateRequestRounds != 0 {
		return
	}
	a := c.orderedAgents[c.gossip.round/stateRequestRounds%uint64(len(c.orderedAgents))]
	c.send(a.member.Ref, message.Message{Status: &message.Status{LogAge: -1, Query: true, Unsynced: true}})
}

func (c *Core) query(a *agent) {
	a.lastQueryRound = c.gossip.round
	a.silence.QuerySent(c.now.Mono)
	c.send(a.member.Ref, message.Message{Status: &message.Status{
		Query: true, Round: c.gossip.round, UpstreamVersion: a.upstreamVersion,
	}})
}

// join appends the entry's join to the control stream, so that quotas are
// shared among the live entries.
func (c *Core) join() {
	if c.draining || !c.state.Synced() {
		return
	}
	if _, ok := c.state.Member(c.cfg.Self); ok {
		return
	}
	if c.gossip.joinSent && c.now.Mono-c.gossip.joinSentAt < joinRetry {
		return
	}
	c.gossip.joinSent = true
	c.gossip.joinSentAt = c.now.Mono
	c.actions = append(c.actions, AppendControl{Record: control.EncodeJoin(control.Member{
		Ref: c.cfg.Self, Addr: c.cfg.Addr, Role: control.RoleEntry, Domain: c.cfg.Domain, NextOffset: c.state.Next(),
	})})
}

// observeEnvelope processes the offset and the load that an envelope carries.
func (c *Core) observeEnvelope(e *message.Envelope) {
	a, ok := c.agents[e.From]
	if !ok {
		return
	}
	a.silence.MessageReceived()
	a.suspect, a.unresponsive = false, false
	a.offset = max(a.offset, e.Offset)
	if e.Load == nil {
		return
	}
	a.load = *e.Load
	a.loadAt = c.now.Mono
	a.tasksSinceLoad = 0
}

// handleStatus stores an agent's status, or sends missing records to an agent
// that queries for them.
func (c *Core) handleStatus(e *message.Envelope, s *message.Status) {
	if s.Query {
		if m := c.tail.Missing(e.Offset, !s.Unsynced); m != nil {
			c.send(e.From, message.Message{Records: m})
		}
		return
	}
	a, ok := c.agents[e.From]
	if ok && s.Report != nil {
		c.storeReport(a, s.Report)
	}
	if ok && s.UpstreamVersion > a.upstreamVersion {
		a.upstreams = s.Upstreams
		a.upstreamVersion = s.UpstreamVersion
	}
}

// applyLogRead applies records of the control stream. After a change of
// configuration the next rounds query which agents have applied it.
func (c *Core) applyLogRead(e LogRead) {
	effect := c.tail.Apply(e.From, e.Records)
	c.stateChanged(effect)
	if effect.ConfigChanged {
		c.awaitApplied(c.state.Next())
	}
}

// applyPublished applies records that an operator has published, and queries
// the agents that have not reported that they applied them. A query carries
// this entry's offset, so that an agent that lacks the records requests them.
// The agents are queried even if this entry had read the records before.
func (c *Core) applyPublished(e Published) {
	c.stateChanged(c.tail.ApplyCatchUp(&message.Records{Offset: e.From, Records: e.Records}))
	c.awaitApplied(e.From + int64(len(e.Records)))
	c.queryBehind()
}

// awaitApplied makes the rounds of the next awaitAppliedPeriod query the agents
// that have not reported that they applied the records before offset.
func (c *Core) awaitApplied(offset int64) {
	c.gossip.awaitedOffset = max(c.gossip.awaitedOffset, offset)
	c.gossip.queryBehindUntil = c.now.Mono + awaitAppliedPeriod
}

// queryBehind queries the agents that have not reported that they applied the
// records before awaitedOffset.
func (c *Core) queryBehind() {
	if c.now.Mono >= c.gossip.queryBehindUntil {
		return
	}
	for _, a := range c.orderedAgents {
		if !a.dead && a.offset < c.gossip.awaitedOffset {
			c.query(a)
		}
	}
}

func (c *Core) stateChanged(e control.Effect) {
	if e.MembersChanged {
		c.membersChanged()
	}
	if e.MembersChanged || e.ConfigChanged {
		c.version++
	}
}

// membersChanged updates the known agents after a change of the membership.
func (c *Core) membersChanged() {
	known := make(map[node.Ref]*agent)
	peers := make([]Peer, 0, len(c.state.Agents()))
	c.orderedAgents = c.orderedAgents[:0]
	for _, m := range c.state.Agents() {
		a, ok := c.agents[m.Ref]
		if !ok {
			a = &agent{dead: c.dead[m.Ref]}
		}
		a.member = m
		known[m.Ref] = a
		c.orderedAgents = append(c.orderedAgents, a)
		peers = append(peers, Peer{Ref: m.Ref, Addr: m.Addr})
	}
	peers = append(peers, c.keepFormerAgents(known)...)
	c.agents = known
	c.homes = rendezvous.NewTimeline(c.state)
	c.actions = append(c.actions, SetPeers{Peers: peers})
}

// keepFormerAgents adds the agents that have left the membership to known until
// formerAgentRetention has passed, because they finish their work and answer
// for their jobs. It returns their addresses.
func (c *Core) keepFormerAgents(known map[node.Ref]*agent) []Peer {
	var peers []Peer
	for _, ref := range slices.SortedFunc(maps.Keys(c.agents), compareRefs) {
		a := c.agents[ref]
		if _, still := known[ref]; still || a.dead {
			continue
		}
		if a.leftAt == 0 {
			a.leftAt = c.now.Mono
		}
		if c.now.Mono-a.leftAt < formerAgentRetention {
			known[ref] = a
			peers = append(peers, Peer{Ref: ref, Addr: a.member.Addr})
		}
	}
	return peers
}

func compareRefs(a, b node.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// withinQuota charges the tasks of a job to its team. When the team is over its
// quota, it returns false and how long the caller should wait.
func (c *Core) withinQuota(j *job.Job) (bool, time.Duration) {
	if c.shares[j.Team] != c.version {
		c.shares[j.Team] = c.version
		team, _ := c.state.Config().Team(j.Team)
		c.limiter.SetShare(j.Team, team.Quota, c.liveEntries())
	}
	return c.limiter.Allow(c.now.Mono, j.Team, len(j.Tasks))
}

// liveEntries returns the number of entries among which quotas are divided, at
// least 1.
func (c *Core) liveEntries() int {
	n := 0
	for _, m := range c.state.Members() {
		if m.Role == control.RoleEntry {
			n++
		}
	}
	return max(n, 1)
}

// chooseHome chooses the home of a job that has no ID yet: an agent with a
// local upstream that can run the job or, if there is none, the next usable
// agent.
func (c *Core) chooseHome(j *job.Job) *agent {
	c.candidates = c.candidates[:0]
	c.candidateAgents = c.candidateAgents[:0]
	cfg := c.state.Config()
	rule, matched := cfg.Match(j.Team, j.Class, j.Tasks[0].Labels)
	for _, a := range c.orderedAgents {
		if !a.usable() || a.suspect || !matched || !routing.AllowsAny(cfg, rule, a.member, a.upstreams) {
			continue
		}
		c.candidates = append(c.candidates, placement.Candidate{
			Ref: a.member.Ref, Domain: a.member.Domain, SameDomain: a.member.Domain == c.cfg.Domain,
			Load: a.load, UnreportedTasks: a.tasksSinceLoad, LoadAge: c.now.Mono - a.loadAt,
			Class: j.Class, QueuedUrgent: a.load.QueuedUrgent,
		})
		c.candidateAgents = append(c.candidateAgents, a)
	}
	if i := c.picker.Pick(c.candidates); i >= 0 {
		return c.candidateAgents[i]
	}
	return c.nextHome()
}
