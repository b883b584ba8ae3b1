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
	// entryQueryRounds is the number of rounds between two queries to a watched
	// entry.
	entryQueryRounds = 4
)

// watchedEntry is an entry that this agent evicts when it has ended.
type watchedEntry struct {
	member control.Member
	// evictDelay is the pause between the proof that the entry has ended and
	// the eviction. It differs among the watchers, so that usually only one of
	// them appends the record.
	evictDelay time.Duration
	dead       bool
	// evictAt is when the eviction is appended next, if the entry is dead.
	evictAt time.Duration
}

// watchEntries chooses the entries that this agent watches and returns their
// addresses. An agent watches an entry when it is among the first entryWatchers
// agents for that entry by rendezvous hashing. It does not watch an entry that
// has joined again after an eviction: connections that were refused at that
// entry's address have wrongly proved its end before.
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
		w.evictDelay = appendDelayStep * time.Duration(position+1)
		watched = append(watched, w)
		peers = append(peers, Peer{Ref: m.Ref, Addr: m.Addr})
	}
	c.watchedEntries = watched
	return peers
}

func (c *Core) watchedEntry(ref node.Ref) *watchedEntry {
	for _, w := range c.watchedEntries {
		if w.member.Ref == ref {
			return w
		}
	}
	return nil
}

// queryEntries sends each watched entry a message every entryQueryRounds
// rounds, so that the transport notices refused connections.
func (c *Core) queryEntries() {
	for i, w := range c.watchedEntries {
		if !w.dead && (c.gossip.round+uint64(i))%entryQueryRounds == 0 {
			c.send(w.member.Ref, message.Message{Status: &message.Status{LogAge: -1, Query: true}})
		}
	}
}

// entryDead processes the proof that a process has ended. It reports whether
// the process is a watched entry.
func (c *Core) entryDead(ref node.Ref) bool {
	w := c.watchedEntry(ref)
	if w == nil {
		return false
	}
	if !w.dead {
		w.dead = true
		w.evictAt = c.now.Mono + w.evictDelay
	}
	return true
}

// evictEntries removes the watched entries that have provably ended, so that
// the quotas of the teams are shared among the remaining entries.
func (c *Core) evictEntries() {
	for _, w := range c.watchedEntries {
		if !w.dead || c.now.Mono < w.evictAt {
			continue
		}
		w.evictAt = c.now.Mono + joinRetry + w.evictDelay
		c.appendControl(control.EncodeEvict(w.member.Ref, c.cfg.Self))
	}
}
