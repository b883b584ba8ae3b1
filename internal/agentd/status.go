package agentd

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Status is the status that an agent reports to operators.
type Status struct {
	agent.Status
	Draining  bool            `json:"draining"`
	Transport transport.Stats `json:"transport"`
}

// Snapshot returns the current status of the agent.
func (d *Daemon) Snapshot(ctx context.Context) (Status, error) {
	s, err := process.Snapshot(ctx, d.loop, d.core.Status)
	return Status{Status: s, Draining: d.draining.Load(), Transport: d.transport.Stats()}, err
}

// status handles GET /v1/status.
func (d *Daemon) status(c echo.Context) error {
	s, err := d.Snapshot(c.Request().Context())
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(c, http.StatusOK, s)
}

// Ready returns nil when the agent may start tasks, or the reason why it may not.
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
	case s.LeaseLeft <= 0:
		return errors.New("the lease on the configuration has lapsed")
	default:
		return nil
	}
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (d *Daemon) WriteMetrics(w io.Writer) {
	process.WriteMetrics(w, d.metrics, d.Snapshot, d.recordScrape)
}

// registerGauges registers the gauges. They show the snapshot that recordScrape stored
// last.
func (d *Daemon) registerGauges() {
	gauge := func(name string, value func(s *Status) float64) {
		d.metrics.Gauge(name, func() float64 {
			if s := d.lastScrape.Load(); s != nil {
				return value(s)
			}
			return 0
		})
	}
	gauge(telemetry.ControlOffset, func(s *Status) float64 { return float64(s.Offset) })
	gauge(telemetry.Members, func(s *Status) float64 { return float64(s.Agents) })
	gauge(telemetry.Slots, func(s *Status) float64 { return float64(s.Load.Slots) })
	gauge(telemetry.SlotsBusy, func(s *Status) float64 { return float64(s.Load.Busy) })
	gauge(telemetry.QueueLength, func(s *Status) float64 { return float64(s.Load.Queued) })
	gauge(telemetry.JobRecords, func(s *Status) float64 { return float64(s.Home.Records) })
	gauge(telemetry.OpenJobBytes, func(s *Status) float64 { return float64(s.Home.OpenBytes) })
	gauge(telemetry.Upstreams, func(s *Status) float64 { return float64(len(s.Upstreams)) })
	gauge(telemetry.Draining, func(s *Status) float64 {
		if s.Draining {
			return 1
		}
		return 0
	})
}

// recordScrape updates the metrics from the snapshot of a scrape.
func (d *Daemon) recordScrape(s Status) {
	d.lastScrape.Store(&s)
	process.CopyCounters(d.metrics, s.Violations, s.Transport)
}
