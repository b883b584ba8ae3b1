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
	// siteReadWait bounds a long poll for the operators' records. A connection that no
	// longer delivers answers is detected soon after this wait, well within the time by
	// which a change must be in force.
	siteReadWait = 2 * time.Second
	// agentsReadWait bounds a long poll for the agents' addresses.
	agentsReadWait = 5 * time.Second
)

// seedsDelay is how long a starting process waits for the agents' addresses from the
// store before it connects to the seeds. It covers a few calls to the store.
const seedsDelay = time.Second

// useSeeds connects to the agents at the seed addresses in the settings if the agents'
// addresses could not be read from the store. The agents then send the published state.
func (d *Daemon) useSeeds(ctx context.Context) error {
	lifecycle.Wait(seedsDelay, ctx.Done())
	if ctx.Err() == nil && len(d.cfg.Settings.Peers.Seeds) > 0 && !d.agents.addressesRead.Load() {
		var seeds []sitestore.Agent
		for _, addr := range d.cfg.Settings.Peers.Seeds {
			seeds = append(seeds, sitestore.Agent{Addr: addr})
		}
		d.logs.LogEvent("seeds_used", "", []any{"seeds", len(seeds)})
		d.agents.setAgents(seeds)
	}
	<-ctx.Done()
	return nil
}

// followSite returns a follower that passes the published state to the core.
func (d *Daemon) followSite() *sitestore.Follower {
	p := d.cfg.Platform
	return sitestore.FollowSite(p.Operators, p.DecodeSite, siteReadWait, d.logs, func(s *site.State) {
		d.loop.Post(dispatch.SiteChanged{State: s})
	})
}

// followAgents returns a follower that passes the agents' addresses to the agentConnector.
func (d *Daemon) followAgents() *sitestore.Follower {
	var log sitestore.IgnoredLog
	return &sitestore.Follower{
		Topic: d.cfg.Platform.Agents, Name: "agents", Wait: agentsReadWait, Logs: d.logs,
		OnChange: func(records map[string][]byte, _ int64) {
			list, ignored := sitestore.DecodeAgents(records)
			log.Log(d.logs, "agents", ignored)
			d.agents.addressesRead.Store(true)
			d.agents.setAgents(list)
		},
	}
}
