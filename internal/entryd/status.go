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

// Status is what an entry tells operators of itself and of the agents it knows.
type Status struct {
	entry.Status
	Draining bool `json:"draining"`
	// Reached says how far the agents have read the control stream.
	Reached []Reached `json:"reached"`
	// OperatorAddr is the IP:port of metrics and operators' requests.
	OperatorAddr string          `json:"operator_addr"`
	Transport    transport.Stats `json:"transport"`
}

// Status implements httpapi.Service. The value is a Status.
func (d *Daemon) Status(ctx context.Context, ask bool) (any, error) {
	if ask {
		_, err := d.call(ctx, func(call uint64) entry.Event { return entry.InspectCall{Call: call} })
		if err != nil {
			return nil, err
		}
	}
	return d.Snapshot(ctx)
}

// Snapshot returns the state of the entry.
func (d *Daemon) Snapshot(ctx context.Context) (Status, error) {
	snapshot := make(chan Status, 1)
	go d.loop.Call(func() {
		snapshot <- Status{Status: d.core.Status(), Reached: d.reached.list()}
	})
	select {
	case s := <-snapshot:
		s.Draining = d.draining.Load()
		s.OperatorAddr = d.MetricsAddr()
		s.Transport = d.transport.Stats()
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-d.loop.Done():
		return Status{}, errStopped
	}
}

// Draining implements httpapi.Service.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// Ready implements httpapi.Service. An entry is ready when it has read the
// configuration, knows an agent that is alive, and is not leaving.
func (d *Daemon) Ready() error {
	if d.draining.Load() {
		return errors.New("the entry is leaving")
	}
	ctx, cancel := context.WithTimeout(context.Background(), process.ProbeTime)
	defer cancel()
	s, err := d.Snapshot(ctx)
	switch {
	case err != nil:
		return errors.Wrap(err, "the core does not answer")
	case !s.Synced || !d.stream.Informed():
		return errors.New("the configuration has not been read yet")
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
	ctx, cancel := context.WithTimeout(context.Background(), process.ProbeTime)
	defer cancel()
	if s, err := d.Snapshot(ctx); err == nil {
		d.collect(s)
	}
	d.metrics.Write(w)
}

// registerGauges adds the gauges, which are read at every scrape.
func (d *Daemon) registerGauges() {
	d.metrics.Gauge(telemetry.CallsInFlight, func() float64 { return float64(d.calls.count()) })
	d.metrics.Gauge(telemetry.ControlOffset, func() float64 { return float64(d.offset.Load()) })
	d.metrics.Gauge(telemetry.Members, func() float64 { return float64(d.members.Load()) })
	d.metrics.Gauge(telemetry.Draining, func() float64 {
		if d.draining.Load() {
			return 1
		}
		return 0
	})
}

// collect copies a snapshot into the metrics.
func (d *Daemon) collect(s Status) {
	d.members.Store(int64(len(s.Agents)))
	for name, count := range s.Violations {
		d.metrics.InvariantViolations(string(name)).Set(count)
	}
	d.metrics.Messages("sent").Set(s.Transport.MessagesOut)
	d.metrics.Messages("received").Set(s.Transport.MessagesIn)
	d.metrics.MessageBytes("sent").Set(s.Transport.BytesOut)
	d.metrics.MessageBytes("received").Set(s.Transport.BytesIn)
	d.metrics.FramesRejected("bad").Set(s.Transport.BadFrames)
}
