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

// delay returns the one-way delay of the links from one process.
func (c *Cluster) delay(from node.ID) func(to node.ID) time.Duration {
	return func(to node.ID) time.Duration {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.domain[from] == c.domain[to] {
			return 0
		}
		return c.cfg.LinkDelay
	}
}

// cut reports whether the links from one process are cut. It blocks while the
// process is paused.
func (c *Cluster) cut(from node.ID) func(to node.ID) bool {
	return func(to node.ID) bool {
		c.awaitResume(from)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.island[from] != c.island[to] || c.far(from, to)
	}
}

// far reports whether two agents are more than Neighbours places apart, in a
// ring. The caller holds the lock.
func (c *Cluster) far(a, b node.ID) bool {
	i, agentA := c.place[a]
	j, agentB := c.place[b]
	if c.cfg.Neighbours == 0 || !agentA || !agentB {
		return false
	}
	apart := max(i, j) - min(i, j)
	return min(apart, c.cfg.Agents-apart) > c.cfg.Neighbours
}

// Isolate cuts the agents and entries of a failure domain off from all others
// and from the log service. Callers still reach its entries, and its agents
// their own upstreams.
func (c *Cluster) Isolate(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, d := range c.domain {
		if d == domain {
			c.island[id] = 1
		}
	}
}

// Heal ends every partition.
func (c *Cluster) Heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.island)
}

func (c *Cluster) isolated(id node.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.island[id] != 0
}

// gatedLog is the log service as one process sees it.
type gatedLog struct {
	cluster *Cluster
	id      node.ID
	log     logclient.Log
}

// Append implements logclient.Log.
func (g *gatedLog) Append(ctx context.Context, stream string, record []byte) (int64, error) {
	g.cluster.awaitResume(g.id)
	if g.cluster.isolated(g.id) {
		return 0, logclient.ErrUnavailable
	}
	return g.log.Append(ctx, stream, record)
}

// Read implements logclient.Log. A read that a partition overtakes is lost.
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
