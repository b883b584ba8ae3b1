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
	// maxWatchedPeers is the number of peers that an agent sends tasks to.
	maxWatchedPeers = 10
	// watchFanOut is the number of watched peers that are queried in each
	// round, in turn.
	watchFanOut = 2
	// digestFanOut is the number of random peers that are queried for a digest
	// in each round.
	digestFanOut = 2
	// digestLimit is the number of digests that an agent sends in each round.
	// It answers further queries without a digest.
	digestLimit = 3
)

// peer is what this agent knows of another agent.
type peer struct {
	member    control.Member
	upstreams []message.Upstream
	// upstreamVersion is the version of upstreams, or zero.
	upstreamVersion uint64
	// lastMessageAt is when the last envelope arrived. Once the peer is dead,
	// it is the time from which the delay of the next eviction counts.
	lastMessageAt time.Duration
	// silence tracks whether the peer answers.
	silence silence.Watch
	// queryRound and querySentAt are the round and the time of the last status
	// query to the peer.
	queryRound  uint64
	querySentAt time.Duration
	dead        bool
}

// gossip is the state of the periodic status exchange.
type gossip struct {
	nextRoundAt time.Duration
	round       uint64
	// lastQueried is the index of the watched peer that was queried last in
	// turn.
	lastQueried int
	random      *rand.Rand
	// digestsSent is the number of digests sent in this round.
	digestsSent int
	// upstreams is the list of local upstreams as of the last status answer,
	// and upstreamVersion counts its changes.
	upstreams       []message.Upstream
	upstreamVersion uint64
}

// startRound starts a round of status queries and runs the slow checks.
func (c *Core) startRound() {
	c.updateSuspects()
	c.gossip.nextRoundAt = c.now.Mono + statusInterval
	c.gossip.round++
	c.gossip.digestsSent = 0
	c.queryUnanswered()
	c.queryWatched()
	c.queryRandom()
	c.queryEntries()
	c.maintainMembership()
	c.home.Tick(c.now, &c.homeOut)
	c.exec.Tick(c.now, &c.execOut)
}

// queryWatched queries watchFanOut of the watched peers, in turn, and all that
// have not reported their upstreams yet.
func (c *Core) queryWatched() {
	for range min(watchFanOut, len(c.watched)) {
		c.gossip.lastQueried = (c.gossip.lastQueried + 1) % len(c.watched)
		if p := c.watched[c.gossip.lastQueried]; p.queryRound != c.gossip.round {
			c.query(p, false)
		}
	}
	for _, p := range c.watched {
		if p.upstreamVersion == 0 && p.queryRound != c.gossip.round {
			c.query(p, false)
		}
	}
}

// queryRandom requests digests from random peers. Together the digests carry
// the statements of a majority to every agent within the duration of the lease,
// so that work continues while the log is down.
func (c *Core) queryRandom() {
	agents := c.state.Agents()
	for range min(digestFanOut, len(agents)) {
		m := agents[c.randomSource().IntN(len(agents))]
		if p, ok := c.peers[m.Ref]; ok {
			c.query(p, true)
		}
	}
}

// randomSource returns a random source with a seed that differs among the
// agents.
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
	p.queryRound = c.gossip.round
	p.querySentAt = c.now.Mono
	p.silence.QuerySent(c.now.Mono)
	c.send(p.member.Ref, message.Message{Status: &message.Status{
		Query: true, Round: c.gossip.round, UpstreamVersion: p.upstreamVersion, WantDigest: digest,
	}})
}

// observeEnvelope processes the offset and the load that an envelope carries.
// It returns nil if the sender is not a known agent.
func (c *Core) observeEnvelope(e *message.Envelope) *peer {
	c.highestReported = max(c.highestReported, e.Offset)
	c.tracker.ObserveOffset(c.now, e.From, e.Offset)
	if e.Offset > c.state.Next() {
		c.requestRecords(e.From)
	}
	p, ok := c.peers[e.From]
	if !ok {
		return nil
	}
	p.lastMessageAt = c.now.Mono
	p.silence.MessageReceived()
	if e.Load != nil {
		c.home.ObserveLoad(c.now, e.From, *e.Load)
	}
	return p
}

// handleStatus handles a status query or the answer to one.
func (c *Core) handleStatus(e *message.Envelope, p *peer, s *message.Status) {
	if s.Query {
		c.answerStatus(e, s)
		return
	}
	if p == nil {
		return
	}
	c.applyUpstreams(p, s)
	if s.Round == p.queryRound {
		c.lease.AddRelayedEvidence(e.Offset, p.querySentAt, s.LogAge)
		c.lease.AddPeerEvidence(e.From, e.Offset, p.querySentAt)
		if s.Digest != nil {
			c.lease.MergeDigest(*s.Digest, p.querySentAt)
		}
	}
	c.home.PlaceWaiting(c.now, &c.homeOut)
}

func (c *Core) answerStatus(e *message.Envelope, s *message.Status) {
	if c.members.announcedLeave || !c.state.Synced() {
		if s.WantReport {
			c.send(e.From, message.Message{Status: &message.Status{LogAge: -1, Round: s.Round, Report: c.report()}})
		}
		return
	}
	c.updateUpstreamVersion()
	answer := &message.Status{
		LogAge: c.logAge(), Round: s.Round, UpstreamVersion: c.gossip.upstreamVersion,
	}
	if s.UpstreamVersion != answer.UpstreamVersion {
		answer.Upstreams = c.gossip.upstreams
	}
	if s.WantDigest && c.gossip.digestsSent < digestLimit {
		c.gossip.digestsSent++
		digest := c.lease.Digest(c.now.Mono)
		answer.Digest = &digest
	}
	if s.WantReport {
		answer.Report = c.report()
	}
	c.send(e.From, message.Message{Status: answer})
	c.sendMissingRecords(e.From, e.Offset, !s.Unsynced)
}

// logAge returns the age of the log evidence held, or -1 when there is none.
func (c *Core) logAge() time.Duration {
	_, since, ok := c.lease.LatestLogEvidence()
	if !ok {
		return -1
	}
	return c.now.Mono - since
}

// updateUpstreamVersion gives the list of local upstreams a new version when it
// has changed since the last answer.
func (c *Core) updateUpstreamVersion() {
	list := c.exec.Upstreams()
	if c.gossip.upstreamVersion > 0 && reflect.DeepEqual(c.gossip.upstreams, list) {
		return
	}
	c.gossip.upstreams = list
	c.gossip.upstreamVersion++
}

// applyUpstreams stores a peer's list of upstreams if it is newer than the one
// held.
func (c *Core) applyUpstreams(p *peer, s *message.Status) {
	if s.UpstreamVersion <= p.upstreamVersion {
		return
	}
	p.upstreams = s.Upstreams
	p.upstreamVersion = s.UpstreamVersion
	c.version++
}

// setWatched sets the peers that tasks are sent to.
func (c *Core) setWatched(refs map[node.ID]bool) {
	c.watched = c.watched[:0]
	for _, m := range c.state.Agents() {
		if p, ok := c.peers[m.Ref]; ok && refs[m.Ref.ID] {
			c.watched = append(c.watched, p)
		}
	}
}
