// Package agentd runs an agent: it connects the core of package agent to the local
// upstreams, to the transport between processes and to the log service.
//
// Several daemons may run in one process.
package agentd

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// Config holds the settings of a Daemon.
type Config struct {
	Settings settings.Agent
	process.Options
}

// coreConfig returns the settings of the core.
func (cfg *Config) coreConfig(self node.Ref, addr string) agent.Config {
	s := &cfg.Settings
	return agent.Config{
		Self:             self,
		Addr:             addr,
		Domain:           s.Node.Domain,
		Worker:           s.Worker.Name,
		Seed:             cfg.SeedOrRandom(),
		Policy:           string(s.Policy.Placement),
		Lease:            s.Timing.Lease,
		OutageLimit:      time.Duration(s.Timing.OutageLimit),
		ClockBound:       s.Timing.ClockBound,
		Retention:        s.Records.Retention,
		MaxRecords:       s.Records.MaxRecords,
		MaxRecordBytes:   int(s.Records.MaxRecordBytes),
		MaxOpenBytes:     int(s.Records.MaxOpenBytes),
		QueueLimit:       s.Queue.Limit,
		ReservedSlots:    s.Queue.UrgentSlots,
		PanicOnViolation: cfg.PanicOnViolation,
	}
}
