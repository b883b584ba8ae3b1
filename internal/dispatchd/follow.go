package dispatchd

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/sitestore"
)

const (
	// siteWait is how long a read of the operators' records waits. A connection
	// that has gone silent is noticed after it, well within the time in which a
	// change must be in force.
	siteWait = 2 * time.Second
	// agentsWait is how long a read of the agents' addresses waits.
	agentsWait = 5 * time.Second
)

// seedsAfter is how long the store may leave a starting process without the agents'
// addresses before the seeds are asked: a few of its answers.
const seedsAfter = time.Second

// useSeeds connects to the agents on the hosts of the settings when the store does
// not say where agents are. They tell the published state.
func (d *Daemon) useSeeds(ctx context.Context) error {
	lifecycle.Wait(seedsAfter, ctx.Done())
	if ctx.Err() == nil && len(d.cfg.Settings.Peers.Seeds) > 0 && !d.agents.informed.Load() {
		var seeds []sitestore.Agent
		for _, addr := range d.cfg.Settings.Peers.Seeds {
			seeds = append(seeds, sitestore.Agent{Addr: addr})
		}
		d.logs.LogEvent("seeds_used", "", []any{"seeds", len(seeds)})
		d.agents.set(seeds)
	}
	<-ctx.Done()
	return nil
}

func (d *Daemon) followSite() *sitestore.Follower {
	p := d.cfg.Platform
	return sitestore.FollowSite(p.Operators, p.DecodeSite, siteWait, d.logs, func(s *site.State) {
		d.loop.Post(dispatch.SiteChanged{State: s})
	})
}

func (d *Daemon) followAgents() *sitestore.Follower {
	return &sitestore.Follower{
		Topic: d.cfg.Platform.Agents, Name: "agents", Wait: agentsWait, Logs: d.logs,
		OnChange: func(records map[string][]byte, _ int64) {
			list, bad := sitestore.DecodeAgents(records)
			if len(bad) > 0 {
				d.logs.Info("records of agents can't be read", "keys", bad)
			}
			d.agents.informed.Store(true)
			d.agents.set(list)
		},
	}
}
