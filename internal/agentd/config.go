// Package agentd runs an agent: it joins the core of package agent to the
// upstreams beside it, the transport between processes and the log.
//
// Several daemons may run in one process.
package agentd

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

const (
	// eventQueue is the number of events that wait for the core.
	eventQueue = 1024
	// logTimeout bounds a request to the log service, on top of a read's wait.
	logTimeout = 5 * time.Second
	// tracerTime bounds the export of the last spans.
	tracerTime = 2 * time.Second
	// flushTime bounds the wait for the last messages and control records.
	flushTime = 2 * time.Second
	// probeTime bounds the wait of a readiness check for the core.
	probeTime = time.Second
)

// Config holds the settings of a Daemon.
type Config struct {
	Settings settings.Agent
	// Log replaces the client of the service that Settings name. It may be nil.
	Log logclient.Log
	// Seed makes the choices of the policies repeatable. Zero draws a seed.
	Seed uint64
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

func (cfg *Config) core(self node.Ref, addr string) agent.Config {
	seed := cfg.Seed
	if seed == 0 {
		seed = lifecycle.RandomNumber()
	}
	s := &cfg.Settings
	return agent.Config{
		Self:             self,
		Addr:             addr,
		Domain:           s.Node.Domain,
		Worker:           s.Worker.Name,
		Seed:             seed,
		Policy:           string(s.Policy.Placement),
		Lease:            s.Timing.Lease,
		OutageLimit:      time.Duration(s.Timing.OutageLimit),
		ClockBound:       s.Timing.ClockBound,
		Retention:        s.Records.Retention,
		MaxRecords:       s.Records.MaxRecords,
		MaxRecordBytes:   int(s.Records.MaxRecordBytes),
		QueueLimit:       s.Queue.Limit,
		ReservedSlots:    s.Queue.UrgentSlots,
		PanicOnViolation: cfg.PanicOnViolation,
	}
}
