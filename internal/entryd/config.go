// Package entryd runs an entry: it connects the core of package entry to the HTTP
// interface for callers, to the transport between processes and to the log service.
//
// Several daemons may run in one process.
package entryd

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// Config holds the settings of a Daemon.
type Config struct {
	Settings settings.Entry
	process.Options
}

// coreConfig returns the settings of the core.
func (cfg *Config) coreConfig(self node.Ref, addr string) entry.Config {
	return entry.Config{
		Self:             self,
		Addr:             addr,
		Domain:           cfg.Settings.Node.Domain,
		Seed:             cfg.SeedOrRandom(),
		Policy:           string(cfg.Settings.Policy.Placement),
		ClockBound:       cfg.Settings.Timing.ClockBound,
		PanicOnViolation: cfg.PanicOnViolation,
	}
}

// apiLimits returns the limits of the HTTP interface for callers.
func (cfg *Config) apiLimits() httpapi.Limits {
	return httpapi.Limits{
		MaxBodyBytes: int64(cfg.Settings.Limits.Body),
		MaxTimeout:   cfg.Settings.Timing.MaxTimeout,
		ClockBound:   cfg.Settings.Timing.ClockBound,
	}
}
