package agent

import (
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/silence"
)

const (
	// statusInterval is the time between two rounds of status queries.
	statusInterval = 250 * time.Millisecond
	// watchSize is the number of peers that an agent sends tasks to.
	watchSize = 10
	// watchFanOut is the number of these that are queried in each round, in
	// turn.
	watchFanOut = 2
	// digestFanOut is the number of random peers that are asked for a digest in
	// each round.
	digestFanOut = 2
	// digestLimit is the number of digests that an agent gives in each round.
	// Queries past it are answered without one.
	digestLimit = 3
)

// peer is what the agent knows of another agent.
type peer struct {
	member    control.Member
	upstreams []message.Upstream
	// upstreamVersion is the version of upstreams, or zero.
	upstreamVersion uint64
	// heardAt is when the last envelope arrived.
	heardAt time.Duration
	// silence tells whether the peer answers.
	silence silence.Watch
	// round and askedAt belong to the last status query.
	round   uint64
	askedAt time.Duration
	dead    bool
}

// gossip is the state of the periodic exchange.
type gossip struct {
	next  time.Duration
	round uint64
	// turn is the index of the watched peer that was queried last.
	turn   int
	random *rand.Rand
	// digests is the number of digests given in this round.
	digests int
	// upstreams is the list that an answer last described, and
	// upstreamVersion counts its changes.
	upstreams       []message.Upstream
	upstreamVersion uint64
}

// periodic starts a round of status queries and runs the slow checks.
func (c *Core) periodic() {
	c.judgeSilence()
	c.gossip.next = c.now.Mono + statusInterval
	c.gossip.round++
	c.gossip.digests = 0
	c.queryQuiet()
	c.queryWatched()
	c.queryRandom()
	c.queryEntries()
	c.maintainMembership()
	c.home.Tick(c.now, &c.homeOut)
	c.exec.Tick(c.now, &c.execOut)
}

// queryWatched queries some of the watched peers, in turn, and all that have not
// described their upstreams yet.
func (c *Core) queryWatched() {
	for range min(watchFanOut, len(c.watched)) {
		c.gossip.turn = (c.gossip.turn + 1) % len(c.watched)
		if p := c.watched[c.gossip.turn]; p.round != c.gossip.round {
			c.query(p, false)
		}
	}
	for _, p := range c.watched {
		if p.upstreamVersion == 0 && p.round != c.gossip.round {
			c.query(p, false)
		}
	}
}

// queryRandom asks random peers for a digest. Together the digests carry the
// word of a majority to every agent within the lease, so that work goes on
// while the log is down.
func (c *Core) queryRandom() {
	agents := c.state.Agents()
	for range min(digestFanOut, len(agents)) {
		m := agents[c.randomSource().IntN(len(agents))]
		if p, ok := c.peers[m.Ref]; ok {
			c.query(p, true)
		}
	}
}

// randomSource returns a source that differs among the agents.
func (c *Core) randomSource() *rand.Rand {
	if c.gossip.random == nil {
		c.gossip.random = rand.New(rand.NewPCG(c.cfg.Seed, xxhash.Sum64String(c.cfg.Self.String())))
	}
	return c.gossip.random
}

func (c *Core) query(p *peer, digest bool) {
	if p.dead {
		return
	}
	p.round = c.gossip.round
	p.askedAt = c.now.Mono
	p.silence.Asked(c.now.Mono)
	c.send(p.member.Ref, message.Message{Status: &message.Status{
		Query: true, Round: c.gossip.round, UpstreamVersion: p.upstreamVersion, WantDigest: digest,
	}})
}

// observe takes what every envelope carries. It returns nil for a sender that
// is not a known agent.
func (c *Core) observe(e *message.Envelope) *peer {
	c.heard = max(c.heard, e.Offset)
	c.owners.Heard(c.now, e.From, e.Offset)
	if e.Offset > c.state.Next() {
		c.askRecords(e.From)
	}
	p, ok := c.peers[e.From]
	if !ok {
		return nil
	}
	p.heardAt = c.now.Mono
	p.silence.Heard()
	if e.Load != nil {
		c.home.ObserveLoad(c.now, e.From, *e.Load)
	}
	return p
}

// status handles a status query or the answer to one.
func (c *Core) status(e *message.Envelope, p *peer, s *message.Status) {
	if s.Query {
		c.answerStatus(e, s)
		return
	}
	if p == nil {
		return
	}
	c.takeUpstreams(p, s)
	if s.Round == p.round {
		c.lease.RelayedEvidence(e.Offset, p.askedAt, s.LogAge)
		c.lease.PeerEvidence(e.From, e.Offset, p.askedAt)
		if s.Digest != nil {
			c.lease.MergeDigest(*s.Digest, p.askedAt)
		}
	}
	c.home.PlaceWaiting(c.now, &c.homeOut)
}

func (c *Core) answerStatus(e *message.Envelope, s *message.Status) {
	if c.members.left || !c.state.Synced() {
		if s.WantReport {
			c.send(e.From, message.Message{Status: &message.Status{LogAge: -1, Round: s.Round, Report: c.report()}})
		}
		return
	}
	c.countUpstreams()
	answer := &message.Status{
		LogAge: c.logAge(), Round: s.Round, UpstreamVersion: c.gossip.upstreamVersion,
	}
	if s.UpstreamVersion != answer.UpstreamVersion {
		answer.Upstreams = c.gossip.upstreams
	}
	if s.WantDigest && c.gossip.digests < digestLimit {
		c.gossip.digests++
		digest := c.lease.Digest(c.now.Mono)
		answer.Digest = &digest
	}
	if s.WantReport {
		answer.Report = c.report()
	}
	c.send(e.From, message.Message{Status: answer})
	c.teach(e.From, e.Offset, !s.Unsynced)
}

// logAge returns the age of the evidence held, or a negative value.
func (c *Core) logAge() time.Duration {
	_, since, ok := c.lease.Evidence()
	if !ok {
		return -1
	}
	return c.now.Mono - since
}

// countUpstreams gives the upstreams beside this agent a new version when they
// have changed since the last answer.
func (c *Core) countUpstreams() {
	list := c.exec.Upstreams()
	if c.gossip.upstreamVersion > 0 && reflect.DeepEqual(c.gossip.upstreams, list) {
		return
	}
	c.gossip.upstreams = list
	c.gossip.upstreamVersion++
}

// takeUpstreams takes the list of a later version than the one held.
func (c *Core) takeUpstreams(p *peer, s *message.Status) {
	if s.UpstreamVersion <= p.upstreamVersion {
		return
	}
	p.upstreams = s.Upstreams
	p.upstreamVersion = s.UpstreamVersion
	c.version++
}

// watch chooses the peers that tasks are sent to.
func (c *Core) watch(refs map[node.ID]bool) {
	c.watched = c.watched[:0]
	for _, m := range c.state.Agents() {
		if p, ok := c.peers[m.Ref]; ok && refs[m.Ref.ID] {
			c.watched = append(c.watched, p)
		}
	}
}
