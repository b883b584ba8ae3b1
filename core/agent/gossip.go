package agent

import (
	"reflect"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// statusInterval is the time between two rounds of status queries.
	statusInterval = 250 * time.Millisecond
	// watchFanOut is the number of peers that an agent queries in each round.
	watchFanOut = 10
	// sweepFanOut is the number of further peers queried in each round, in
	// turn over all agents.
	sweepFanOut = 2
	// outageFanOut replaces sweepFanOut while the evidence of the log is old.
	outageFanOut = 30
)

// peer is what the agent knows of another agent.
type peer struct {
	member    control.Member
	upstreams []message.Upstream
	// heardAt is when the last envelope arrived.
	heardAt time.Duration
	// round and askedAt belong to the last status query.
	round   uint64
	askedAt time.Duration
	dead    bool
	watched bool
}

// gossip is the state of the periodic exchange.
type gossip struct {
	next  time.Duration
	round uint64
	sweep int
}

// periodic starts a round of status queries and runs the slow checks.
func (c *Core) periodic() {
	c.gossip.next = c.now.Mono + statusInterval
	c.gossip.round++
	for _, p := range c.watched {
		c.query(p)
	}
	c.sweep()
	c.maintainMembership()
	c.home.Tick(c.now, &c.homeOut)
	c.exec.Tick(c.now, &c.execOut)
}

// sweep queries some of the peers that are not watched, in turn.
func (c *Core) sweep() {
	agents := c.state.Agents()
	n := min(c.sweepSize(), len(agents))
	for range n {
		c.gossip.sweep = (c.gossip.sweep + 1) % len(agents)
		p, ok := c.peers[agents[c.gossip.sweep].Ref]
		if ok && !p.watched {
			c.query(p)
		}
	}
}

// sweepSize returns the number of further peers to query. Evidence from peers
// is needed while the log gives none.
func (c *Core) sweepSize() int {
	_, since, ok := c.lease.Evidence()
	if !ok || c.now.Mono-since > c.cfg.Lease/2 {
		return outageFanOut
	}
	return sweepFanOut
}

func (c *Core) query(p *peer) {
	if p.dead {
		return
	}
	p.round = c.gossip.round
	p.askedAt = c.now.Mono
	c.send(p.member.Ref, message.Message{Status: &message.Status{
		LogAge: -1, Query: true, Round: c.gossip.round,
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
	c.takeUpstreams(p, s.Upstreams)
	if s.Round == p.round {
		c.lease.RelayedEvidence(e.Offset, p.askedAt, s.LogAge)
		c.lease.PeerEvidence(e.From, e.Offset, p.askedAt)
	}
	c.home.Place(c.now, &c.homeOut)
}

func (c *Core) answerStatus(e *message.Envelope, s *message.Status) {
	if c.members.left || !c.state.Synced() {
		return
	}
	c.send(e.From, message.Message{Status: &message.Status{
		LogAge: c.logAge(), Round: s.Round, Upstreams: c.exec.Upstreams(),
	}})
	if e.Offset < c.state.Next() {
		c.teach(e.From, e.Offset)
	}
}

// logAge returns the age of the evidence held, or a negative value.
func (c *Core) logAge() time.Duration {
	_, since, ok := c.lease.Evidence()
	if !ok {
		return -1
	}
	return c.now.Mono - since
}

func (c *Core) takeUpstreams(p *peer, list []message.Upstream) {
	if reflect.DeepEqual(p.upstreams, list) {
		return
	}
	p.upstreams = list
	c.version++
}

// watch chooses the peers that are queried in every round.
func (c *Core) watch(refs map[node.ID]bool) {
	c.watched = c.watched[:0]
	for _, m := range c.state.Agents() {
		p, ok := c.peers[m.Ref]
		if !ok {
			continue
		}
		p.watched = refs[m.Ref.ID]
		if p.watched {
			c.watched = append(c.watched, p)
		}
	}
}
