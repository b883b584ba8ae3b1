// Package entryd runs an entry: it joins the core of package entry to the
// callers' HTTP interface, the transport between processes and the log.
//
// Several daemons may run in one process.
package entryd

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// DefaultReadinessDelay is how long a leaving entry goes on taking calls after
// its readiness check fails, so that the balancer notices first.
const DefaultReadinessDelay = 2 * time.Second

const (
	// eventQueue is the number of events that wait for the core.
	eventQueue = 1024
	// logTimeout bounds a request to the log service, on top of a read's wait.
	logTimeout = 5 * time.Second
	// tracerTime bounds the export of the last spans.
	tracerTime = 2 * time.Second
	// flushTime bounds the wait for the last control records.
	flushTime = 2 * time.Second
	// probeTime bounds the wait of a readiness check for the core.
	probeTime = time.Second
)

// Config holds the settings of a Daemon.
type Config struct {
	Settings settings.Entry
	// Log replaces the client of the service that Settings name. It may be nil.
	Log logclient.Log
	// Seed makes the choices of the policies repeatable. Zero draws a seed.
	Seed uint64
	// ReadinessDelay is how long a leaving entry goes on taking calls. Zero
	// takes none after readiness fails.
	ReadinessDelay time.Duration
	// PanicOnViolation makes a violated invariant panic.
	PanicOnViolation bool
	// Delay and Cut change the links to other processes, for experiments. They
	// may be nil.
	Delay func(to node.ID) time.Duration
	Cut   func(to node.ID) bool
}

func (cfg *Config) log() logclient.Log {
	if cfg.Log != nil {
		return cfg.Log
	}
	return logclient.New("http://"+cfg.Settings.Log.Address.String(), logTimeout)
}

func (cfg *Config) core(self node.Ref, addr string) entry.Config {
	seed := cfg.Seed
	if seed == 0 {
		seed = lifecycle.RandomNumber()
	}
	return entry.Config{
		Self:             self,
		Addr:             addr,
		Domain:           cfg.Settings.Node.Domain,
		Seed:             seed,
		Policy:           string(cfg.Settings.Policy.Placement),
		ClockBound:       cfg.Settings.Timing.ClockBound,
		PanicOnViolation: cfg.PanicOnViolation,
	}
}

func (cfg *Config) limits() httpapi.Limits {
	return httpapi.Limits{
		Body:       int64(cfg.Settings.Limits.Body),
		MaxTimeout: cfg.Settings.Timing.MaxTimeout,
		ClockBound: cfg.Settings.Timing.ClockBound,
	}
}
