package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/routing"
)

const (
	// departedRetention is how long upstreams that have left are kept.
	departedRetention = 10 * time.Second
	// maxDeparted bounds the number of departures that are kept.
	maxDeparted = 256
)

// agentUpstreams is an agent that may run tasks and its local upstreams.
type agentUpstreams struct {
	member    control.Member
	upstreams []message.Upstream
}

// departure holds the upstreams that an agent had and no longer has, and when
// that was noticed.
type departure struct {
	agentUpstreams
	at time.Duration
}

// departed holds the upstreams that have left recently. An upstream that
// restarts comes back soon, so a task that only such upstreams can run may wait
// for it.
type departed struct {
	// version is the result of gate.Version at the last recordDepartures.
	version    uint64
	current    map[node.ID]agentUpstreams
	departures []departure
}

// lastMatching returns when the last departure of an upstream that the rule
// allows was recorded.
func (d *departed) lastMatching(cfg *config.Config, rule config.Rule) (time.Duration, bool) {
	for _, x := range slices.Backward(d.departures) {
		if routing.AllowsAny(cfg, rule, x.member, x.upstreams) {
			return x.at, true
		}
	}
	return 0, false
}

// addMissing records the upstreams that are in before but not in now.
func (d *departed) addMissing(before, now agentUpstreams, at time.Duration) {
	left := slices.DeleteFunc(slices.Clone(before.upstreams), func(u message.Upstream) bool {
		return slices.ContainsFunc(now.upstreams, func(v message.Upstream) bool {
			return u.Name == v.Name && maps.Equal(u.Labels, v.Labels)
		})
	})
	if len(left) > 0 {
		d.departures = append(d.departures, departure{agentUpstreams: agentUpstreams{before.member, left}, at: at})
	}
}

// prune drops the departures older than departedRetention, and the oldest ones
// beyond maxDeparted.
func (d *departed) prune(now time.Duration) {
	d.departures = slices.DeleteFunc(d.departures, func(x departure) bool { return now-x.at >= departedRetention })
	d.departures = slices.Delete(d.departures, 0, max(0, len(d.departures)-maxDeparted))
}

// recordDepartures records which upstreams have left since its last call. It
// does nothing while gate.Version is unchanged.
func (c *Core) recordDepartures() {
	d := &c.departed
	version := gate{c}.Version()
	if version == d.version {
		return
	}
	d.version = version
	before := d.current
	d.current = c.upstreamsByAgent()
	for id, s := range before {
		d.addMissing(s, d.current[id], c.now.Mono)
	}
	d.prune(c.now.Mono)
}

// upstreamsByAgent returns the agents that the home may send tasks to, by their
// ID.
func (c *Core) upstreamsByAgent() map[node.ID]agentUpstreams {
	byAgent := make(map[node.ID]agentUpstreams, len(c.watched)+1)
	byAgent[c.cfg.Self.ID] = agentUpstreams{c.selfMember(), c.exec.Upstreams()}
	for _, p := range c.watched {
		if !p.dead {
			byAgent[p.member.Ref.ID] = agentUpstreams{p.member, p.upstreams}
		}
	}
	return byAgent
}
