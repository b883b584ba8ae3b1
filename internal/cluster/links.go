package cluster

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
)

// setDomain records the failure domain of a process.
func (c *Cluster) setDomain(id node.ID, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domain[id] = domain
}

// linkDelay returns a function that gives the one-way delay of the links from one
// process. Links within a failure domain have no delay.
func (c *Cluster) linkDelay(from node.ID) func(to node.ID) time.Duration {
	return func(to node.ID) time.Duration {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.domain[from] == c.domain[to] {
			return 0
		}
		return c.cfg.LinkDelay
	}
}

// linkCut returns a function that reports whether the link from one process to
// another is cut. The function blocks while the sending process is paused.
func (c *Cluster) linkCut(from node.ID) func(to node.ID) bool {
	return func(to node.ID) bool {
		c.awaitResume(from)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.partitionSide[from] != c.partitionSide[to] || c.beyondNeighbours(from, to)
	}
}

// beyondNeighbours reports whether two agents are more than Config.NeighbourDistance
// positions apart in the ring of agents. It reports false if one of the two is an entry or
// if there is no limit. The caller must hold c.mu.
func (c *Cluster) beyondNeighbours(a, b node.ID) bool {
	i, foundA := c.agentIndex[a]
	j, foundB := c.agentIndex[b]
	if c.cfg.NeighbourDistance == 0 || !foundA || !foundB {
		return false
	}
	distance := max(i, j) - min(i, j)
	return min(distance, c.cfg.Agents-distance) > c.cfg.NeighbourDistance
}

// Isolate cuts the agents and entries of a failure domain off from all other
// processes and from the log service. Callers still reach the domain's entries,
// and its agents still reach their local upstreams.
func (c *Cluster) Isolate(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, d := range c.domain {
		if d == domain {
			c.partitionSide[id] = 1
		}
	}
}

// Refuse makes all links between a process and the others refuse connections, and resets
// the open ones. The process still reaches the log service and its local upstream.
func (c *Cluster) Refuse(id node.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing[id] = true
}

// Accept ends the effect of Refuse.
func (c *Cluster) Accept(id node.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.refusing, id)
}

// linkRefused returns a function that reports whether the link from one process to another
// refuses connections.
func (c *Cluster) linkRefused(from node.ID) func(to node.ID) bool {
	return func(to node.ID) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.refusing[from] || c.refusing[to]
	}
}

// Heal reconnects every isolated process.
func (c *Cluster) Heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.partitionSide)
}

// isolated reports whether a partition separates the process from the log
// service.
func (c *Cluster) isolated(id node.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitionSide[id] != 0
}

// gatedLog is the log client of one process. Its requests block while the process
// is paused and fail while the process is isolated.
type gatedLog struct {
	cluster *Cluster
	id      node.ID
	log     logclient.Log
}

// Append implements [logclient.Log].
func (g *gatedLog) Append(ctx context.Context, stream string, record []byte) (int64, error) {
	g.cluster.awaitResume(g.id)
	if g.cluster.isolated(g.id) {
		return 0, logclient.ErrUnavailable
	}
	return g.log.Append(ctx, stream, record)
}

// Read implements [logclient.Log]. If the process is isolated while a read waits,
// the result of the read is lost.
func (g *gatedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logclient.ReadResult, error) {
	if g.cluster.isolated(g.id) {
		return logclient.ReadResult{}, logclient.ErrUnavailable
	}
	result, err := g.log.Read(ctx, stream, from, limit, wait)
	g.cluster.awaitResume(g.id)
	if g.cluster.isolated(g.id) {
		return logclient.ReadResult{}, logclient.ErrUnavailable
	}
	return result, err
}
