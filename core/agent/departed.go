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
	// keepDeparted is how long upstreams that have left are remembered.
	keepDeparted = 10 * time.Second
	// maxDeparted bounds the number of departures that are remembered.
	maxDeparted = 256
)

// site is an agent that may run tasks and the upstreams beside it.
type site struct {
	member    control.Member
	upstreams []message.Upstream
}

// departure is what a site had and has no more.
type departure struct {
	site
	at time.Duration
}

// departed remembers the upstreams that have left lately, because an upstream
// that restarts comes back soon.
type departed struct {
	version uint64
	current map[node.ID]site
	gone    []departure
}

// last returns when the latest of the upstreams left that the rule allows.
func (d *departed) last(cfg *config.Config, rule config.Rule) (time.Duration, bool) {
	for _, x := range slices.Backward(d.gone) {
		if routing.AllowsAny(cfg, rule, x.member, x.upstreams) {
			return x.at, true
		}
	}
	return 0, false
}

// add remembers what was there before and is not in now.
func (d *departed) add(before, now site, at time.Duration) {
	left := slices.DeleteFunc(slices.Clone(before.upstreams), func(u message.Upstream) bool {
		return slices.ContainsFunc(now.upstreams, func(v message.Upstream) bool {
			return u.Name == v.Name && maps.Equal(u.Labels, v.Labels)
		})
	})
	if len(left) > 0 {
		d.gone = append(d.gone, departure{site: site{before.member, left}, at: at})
	}
}

// prune forgets departures that are long ago, and the oldest beyond a bound.
func (d *departed) prune(now time.Duration) {
	d.gone = slices.DeleteFunc(d.gone, func(x departure) bool { return now-x.at >= keepDeparted })
	d.gone = slices.Delete(d.gone, 0, max(0, len(d.gone)-maxDeparted))
}

// followUpstreams notes which upstreams have left since the last change.
func (c *Core) followUpstreams() {
	d := &c.departed
	version := gate{c}.Version()
	if version == d.version {
		return
	}
	d.version = version
	before := d.current
	d.current = c.sites()
	for id, s := range before {
		d.add(s, d.current[id], c.now.Mono)
	}
	d.prune(c.now.Mono)
}

// sites returns the agents that the home may send tasks to.
func (c *Core) sites() map[node.ID]site {
	sites := make(map[node.ID]site, len(c.watched)+1)
	sites[c.cfg.Self.ID] = site{c.selfMember(), c.exec.Upstreams()}
	for _, p := range c.watched {
		if !p.dead {
			sites[p.member.Ref.ID] = site{p.member, p.upstreams}
		}
	}
	return sites
}
