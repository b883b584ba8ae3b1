package entryd

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Status is the status that an entry reports to operators, about itself and about the
// agents that it knows.
type Status struct {
	entry.Status
	Draining bool `json:"draining"`
	// ReadOffsets states how far the agents have read the control stream.
	ReadOffsets []ReadOffset `json:"reached"`
	// OperatorAddr is the IP:port of the HTTP interface for operators.
	OperatorAddr string          `json:"operator_addr"`
	Transport    transport.Stats `json:"transport"`
}

// Status implements httpapi.Service. The value is a Status.
func (d *Daemon) Status(ctx context.Context, refresh bool) (any, error) {
	if refresh {
		_, err := d.call(ctx, func(call uint64) entry.Event { return entry.InspectCall{Call: call} })
		if err != nil {
			return nil, err
		}
	}
	return d.Snapshot(ctx)
}

// Snapshot returns the current status of the entry.
func (d *Daemon) Snapshot(ctx context.Context) (Status, error) {
	s, err := process.Snapshot(ctx, d.loop, func() Status {
		return Status{Status: d.core.Status(), ReadOffsets: d.readOffsets.list()}
	})
	s.Draining = d.draining.Load()
	s.OperatorAddr = d.MetricsAddr()
	s.Transport = d.transport.Stats()
	return s, err
}

// Draining implements httpapi.Service.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// Ready implements httpapi.Service. The entry is ready once it has read the
// configuration and knows an agent that is alive, has slots and is not draining. During a
// planned stop it is not ready.
func (d *Daemon) Ready() error {
	if d.draining.Load() {
		return process.ErrLeaving
	}
	s, err := process.Probe(d.Snapshot)
	switch {
	case err != nil:
		return err
	case !s.Synced || !d.stream.Initialized():
		return process.ErrNoConfiguration
	}
	for _, a := range s.Agents {
		if !a.Dead && a.Load.Slots > 0 && !a.Load.Draining {
			return nil
		}
	}
	return errors.New("no agent with slots is known")
}

// WriteMetrics implements httpapi.Service.
func (d *Daemon) WriteMetrics(w io.Writer) {
	process.WriteMetrics(w, d.metrics, d.Snapshot, d.recordScrape)
}

// registerGauges registers the gauges. Their functions are called at every scrape.
func (d *Daemon) registerGauges() {
	d.metrics.Gauge(telemetry.CallsInFlight, func() float64 { return float64(d.calls.Count()) })
	d.metrics.Gauge(telemetry.ControlOffset, func() float64 { return float64(d.offset.Load()) })
	d.metrics.Gauge(telemetry.Members, func() float64 { return float64(d.agentsAtLastScrape.Load()) })
	d.metrics.Gauge(telemetry.Draining, func() float64 {
		if d.draining.Load() {
			return 1
		}
		return 0
	})
}

// recordScrape updates the metrics from the snapshot of a scrape.
func (d *Daemon) recordScrape(s Status) {
	d.agentsAtLastScrape.Store(int64(len(s.Agents)))
	process.CopyCounters(d.metrics, s.Violations, s.Transport)
}
