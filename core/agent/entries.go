package agent

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

const (
	// entryWatchers is the number of agents that watch one entry.
	entryWatchers = 3
	// entryQueryRounds is the number of rounds from one query of a watched entry
	// to the next.
	entryQueryRounds = 4
)

// watchedEntry is an entry whose end this agent notices.
type watchedEntry struct {
	member control.Member
	// wait is the pause from the proof of the end to the eviction. It differs
	// among the watchers, so that one record is enough.
	wait time.Duration
	dead bool
	// evictAt is when the eviction is appended next, once dead.
	evictAt time.Duration
}

// watchEntries chooses the entries that this agent watches: those for which it
// is among the first agents by rendezvous hashing. It returns their addresses.
// An entry that has joined again after an eviction is not watched, because its
// address has given a wrong proof before.
func (c *Core) watchEntries() []Peer {
	var watched []*watchedEntry
	var peers []Peer
	for _, m := range c.state.Members() {
		if m.Role != control.RoleEntry || m.Rejoined {
			continue
		}
		position := rendezvous.Position(m.Ref.String(), c.state.Agents(), c.cfg.Self.ID)
		if position >= entryWatchers {
			continue
		}
		w := c.watchedEntry(m.Ref)
		if w == nil {
			w = &watchedEntry{}
		}
		w.member = m
		w.wait = evictStep * time.Duration(position+1)
		watched = append(watched, w)
		peers = append(peers, Peer{Ref: m.Ref, Addr: m.Addr})
	}
	c.entries = watched
	return peers
}

func (c *Core) watchedEntry(ref node.Ref) *watchedEntry {
	for _, w := range c.entries {
		if w.member.Ref == ref {
			return w
		}
	}
	return nil
}

// queryEntries sends the watched entries a message now and then, so that the
// transport notices a refused connection.
func (c *Core) queryEntries() {
	for i, w := range c.entries {
		if !w.dead && (c.gossip.round+uint64(i))%entryQueryRounds == 0 {
			c.send(w.member.Ref, message.Message{Status: &message.Status{LogAge: -1, Query: true}})
		}
	}
}

// entryDead takes proof that a run has ended. It reports whether the run is a
// watched entry.
func (c *Core) entryDead(ref node.Ref) bool {
	w := c.watchedEntry(ref)
	if w == nil {
		return false
	}
	if !w.dead {
		w.dead = true
		w.evictAt = c.now.Mono + w.wait
	}
	return true
}

// evictEntries removes the watched entries whose end is proven, so that the
// quotas of the teams are shared among the others.
func (c *Core) evictEntries() {
	for _, w := range c.entries {
		if !w.dead || c.now.Mono < w.evictAt {
			continue
		}
		w.evictAt = c.now.Mono + joinRetry + w.wait
		c.appendControl(control.EncodeEvict(w.member.Ref, c.cfg.Self))
	}
}
