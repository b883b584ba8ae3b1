package dispatchd

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// Service is what a callers' interface needs of a dispatcher.
type Service interface {
	// Site returns the published state in force. It must not be changed.
	Site() *site.State
	// Submit hands in a job and waits for its end. When ctx ends first, the job is
	// given up and its outcome is Interrupted.
	Submit(ctx context.Context, j dispatch.Job) dispatch.Answer
	// Cancel cancels the job with an ID and reports whether there was one.
	Cancel(ctx context.Context, id string) bool
	// WaitingJobs returns the number of jobs of a route of which nothing has started.
	WaitingJobs(ctx context.Context, route string) int
	// LogRejected logs that a request was answered without becoming a job, and why.
	// ID is that of the job, or empty if it is not known.
	LogRejected(id, reason string, fields ...any)
	// ShouldCloseConnections reports whether connections must be closed after their next
	// answer: a planned stop has begun, or other dispatchers should take over load.
	ShouldCloseConnections() bool
}

var _ Service = (*Daemon)(nil)

// Site implements Service.
func (d *Daemon) Site() *site.State { return d.site.Load() }

// Submit implements Service.
func (d *Daemon) Submit(ctx context.Context, j dispatch.Job) dispatch.Answer {
	began := time.Now()
	a := d.submit(ctx, j)
	d.metrics.JobAnswers(string(a.Outcome)).Inc()
	d.metrics.JobResponseTime(j.Route.Name).UpdateDuration(began)
	return a
}

func (d *Daemon) submit(ctx context.Context, j dispatch.Job) dispatch.Answer {
	call, answer := d.calls.Begin()
	defer d.calls.Forget(call)
	if !d.loop.Post(dispatch.Submit{Call: call, Job: j, ReceivedAt: d.loop.Mono()}) {
		d.LogRejected(j.ID, reasonStopped)
		return dispatch.Answer{Outcome: dispatch.Refused, Reason: reasonStopped}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		d.loop.Post(dispatch.CallerGone{Call: call})
	case <-d.killed.Done():
	}
	return dispatch.Answer{Outcome: dispatch.Interrupted, Reason: "caller_gone"}
}

// Cancel implements Service.
func (d *Daemon) Cancel(ctx context.Context, id string) bool {
	call, answer := d.cancels.Begin()
	defer d.cancels.Forget(call)
	if !d.loop.Post(dispatch.Cancel{Call: call, ID: id}) {
		return false
	}
	select {
	case found := <-answer:
		return found
	case <-ctx.Done():
		return false
	}
}

// WaitingJobs implements Service.
func (d *Daemon) WaitingJobs(ctx context.Context, route string) int {
	n, err := process.Snapshot(ctx, d.loop, func() int { return d.core.WaitingJobs(route) })
	if err != nil {
		d.logs.Error(err, "the number of waiting jobs can't be told")
	}
	return n
}

// reasonStopped is why a job that comes after the end of the core is refused.
const reasonStopped = "stopped"

// LogRejected implements Service.
func (d *Daemon) LogRejected(id, reason string, fields ...any) {
	d.metrics.JobAnswers(reason).Inc()
	d.logs.LogEvent("job_refused", id, append([]any{"reason", reason, "revision", d.Site().Revision}, fields...))
}

// ShouldCloseConnections implements Service.
func (d *Daemon) ShouldCloseConnections() bool { return d.draining.Load() || d.overloaded.Load() }

// do carries out one action of the core.
func (d *Daemon) do(action step.Action) {
	switch a := action.(type) {
	case step.Send:
		d.transport.Send(a.To, a.Message)
	case dispatch.Answer:
		d.calls.Answer(a.Call, a)
	case dispatch.Cancelled:
		d.cancels.Answer(a.Call, a.Found)
	case step.LogEvent:
		d.logs.LogEvent(a.Event, a.Job, a.Fields)
	case dispatch.Overloaded:
		d.overloaded.Store(a.Active)
	case dispatch.SiteUpdated:
		d.site.Store(a.State)
	case dispatch.AgentUnresponsive:
		go d.transport.Reset(a.Agent)
	case step.SetTimer:
		d.loop.SetTimer(a.At)
	case step.Drained:
		d.drained.Set()
	}
}

// Ready returns nil when the dispatcher takes jobs, or the reason why not.
func (d *Daemon) Ready() error {
	if d.draining.Load() {
		return process.ErrLeaving
	}
	if !d.Site().Configured {
		return process.ErrNoConfiguration
	}
	s, err := process.Probe(d.Snapshot)
	if err != nil {
		return err
	}
	if s.ReadyAgents == 0 {
		return errors.New("no agent takes work")
	}
	if s.Overloaded {
		return errors.New("the process falls behind its work")
	}
	return nil
}

// Snapshot returns the counters of the core.
func (d *Daemon) Snapshot(ctx context.Context) (dispatch.Stats, error) {
	return process.Snapshot(ctx, d.loop, d.core.Stats)
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (d *Daemon) WriteMetrics(w io.Writer) {
	process.WriteMetrics(w, d.metrics, d.Snapshot, func(s dispatch.Stats) {
		overloaded := 0.0
		if s.Overloaded {
			overloaded = 1
		}
		d.metrics.SetGauge(telemetry.Overloaded, overloaded)
		d.metrics.SetGauge(telemetry.Members, float64(s.Agents))
		d.metrics.SetGauge(telemetry.AgentsReady, float64(s.ReadyAgents))
		d.metrics.SetGauge(telemetry.JobsWaiting, float64(s.WaitingJobs))
		d.metrics.SetGauge(telemetry.SiteRevision, float64(s.Revision))
		d.metrics.SetGauge(telemetry.OffersTotal, float64(s.Offers))
		d.metrics.SetGauge(telemetry.RunsLostTotal, float64(s.LostRuns))
		process.CollectCounts(d.metrics, nil, d.transport.Stats())
	})
}

func (d *Daemon) registerGauges() {
	d.metrics.Gauge(telemetry.CallsInFlight, func() float64 { return float64(d.calls.Count()) })
}
