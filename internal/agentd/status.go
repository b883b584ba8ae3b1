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

// Status is what an agent tells operators of itself.
type Status struct {
	agent.Status
	Draining  bool            `json:"draining"`
	Transport transport.Stats `json:"transport"`
}

// Snapshot returns the state of the agent.
func (d *Daemon) Snapshot(ctx context.Context) (Status, error) {
	snapshot := make(chan agent.Status, 1)
	go d.loop.Call(func() { snapshot <- d.core.Status() })
	select {
	case s := <-snapshot:
		return Status{Status: s, Draining: d.draining.Load(), Transport: d.transport.Stats()}, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-d.loop.Done():
		return Status{}, errStopped
	}
}

func (d *Daemon) status(c echo.Context) error {
	s, err := d.Snapshot(c.Request().Context())
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(c, http.StatusOK, s)
}

// Ready returns nil when the agent may start tasks, or the reason why not.
func (d *Daemon) Ready() error {
	if d.draining.Load() {
		return errors.New("the agent is leaving")
	}
	ctx, cancel := context.WithTimeout(context.Background(), process.ProbeTime)
	defer cancel()
	s, err := d.Snapshot(ctx)
	switch {
	case err != nil:
		return errors.Wrap(err, "the core does not answer")
	case !s.Synced || !d.stream.Informed():
		return errors.New("the configuration has not been read yet")
	case s.LeaseLeft <= 0:
		return errors.New("the lease on the configuration has lapsed")
	default:
		return nil
	}
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (d *Daemon) WriteMetrics(w io.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), process.ProbeTime)
	defer cancel()
	if s, err := d.Snapshot(ctx); err == nil {
		d.collect(s)
	}
	d.metrics.Write(w)
}

// registerGauges adds the gauges, which are read at every scrape.
func (d *Daemon) registerGauges() {
	gauge := func(name string, value func(s *Status) float64) {
		d.metrics.Gauge(name, func() float64 {
			if s := d.scraped.Load(); s != nil {
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
	gauge(telemetry.UpstreamsCurrent, func(s *Status) float64 { return float64(len(s.Upstreams)) })
	gauge(telemetry.Draining, func(s *Status) float64 {
		if s.Draining {
			return 1
		}
		return 0
	})
}

// collect copies a snapshot into the metrics.
func (d *Daemon) collect(s Status) {
	d.scraped.Store(&s)
	for name, count := range s.Violations {
		d.metrics.InvariantViolations(string(name)).Set(count)
	}
	d.metrics.Messages("sent").Set(s.Transport.MessagesOut)
	d.metrics.Messages("received").Set(s.Transport.MessagesIn)
	d.metrics.MessageBytes("sent").Set(s.Transport.BytesOut)
	d.metrics.MessageBytes("received").Set(s.Transport.BytesIn)
	d.metrics.FramesRejected("bad").Set(s.Transport.BadFrames)
}
