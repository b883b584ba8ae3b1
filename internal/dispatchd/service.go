package dispatchd

import (
	"cmp"
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// Service is the part of a dispatcher that the callers' interface uses.
type Service interface {
	// AwaitSite returns the published state in force. A dispatcher that has just started
	// waits a short time for its first one; waited is that time. The caller must not modify
	// the state.
	AwaitSite(ctx context.Context) (state *site.State, waited time.Duration)
	// Submit submits a job and waits for its outcome. If ctx ends first, the dispatcher
	// gives the job up and Submit returns the outcome Interrupted.
	Submit(ctx context.Context, j dispatch.Job) dispatch.Answer
	// Cancel cancels the job with this ID and reports whether there was one.
	Cancel(ctx context.Context, id string) bool
	// MayHaveRun reports whether a task of the job with this ID may have run in an earlier
	// submission, or may still run. It returns true if that is not known.
	MayHaveRun(ctx context.Context, id string) bool
	// WaitingJobs returns the number of jobs on a route that have not started any task.
	WaitingJobs(ctx context.Context, route string) int
	// LogRejected logs that a request was rejected without becoming a job, and counts
	// it by reason. The id is that of the job, or empty if it is unknown.
	LogRejected(id, reason string, fields ...any)
	// MaxBodyBytes returns the size of the largest body of a request.
	MaxBodyBytes() int64
	// ShouldCloseConnections reports whether callers' connections must be closed after
	// their next answer: a planned stop has begun, or the dispatcher is overloaded and
	// callers should reconnect to another one.
	ShouldCloseConnections() bool
}

var _ Service = (*Daemon)(nil)

// siteStartupWait is how long after its start a dispatcher lets callers wait for the first
// published state: several calls to the store.
const siteStartupWait = 300 * time.Millisecond

// Site returns the published state in force. The caller must not modify it.
func (d *Daemon) Site() *site.State { return d.site.Load() }

// AwaitSite implements Service.
func (d *Daemon) AwaitSite(ctx context.Context) (state *site.State, waited time.Duration) {
	calledAt := time.Now()
	left := siteStartupWait - calledAt.Sub(d.startedAt)
	if d.Site().Configured || left <= 0 {
		return d.Site(), 0
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-d.configured.Done():
	case <-d.killed.Done():
	case <-ctx.Done():
	case <-timer.C:
	}
	return d.Site(), time.Since(calledAt)
}

// Submit implements Service.
func (d *Daemon) Submit(ctx context.Context, j dispatch.Job) dispatch.Answer {
	startedAt := time.Now()
	a := d.submit(ctx, j)
	d.metrics.JobAnswers(string(a.Outcome)).Inc()
	d.metrics.JobResponseTime(j.Route.Name).UpdateDuration(startedAt)
	return a
}

func (d *Daemon) submit(ctx context.Context, j dispatch.Job) dispatch.Answer {
	call, answer := d.submissions.Add()
	defer d.submissions.Remove(call)
	d.limitWait(&j)
	if !d.loop.Post(dispatch.Submit{Call: call, Job: j, ReceivedAt: d.loop.Mono()}) {
		d.LogRejected(j.ID, reasonStopped)
		return dispatch.Answer{Outcome: dispatch.Interrupted, Reason: reasonStopped}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		d.loop.Post(dispatch.CallerGone{Call: call})
	case <-d.cutOff.Done():
		d.loop.Post(dispatch.CallerGone{Call: call})
		return dispatch.Answer{Outcome: dispatch.Interrupted, Reason: reasonStopped}
	case <-d.killed.Done():
	}
	return dispatch.Answer{Outcome: dispatch.Interrupted, Reason: "caller_gone"}
}

// Cancel implements Service.
func (d *Daemon) Cancel(ctx context.Context, id string) bool {
	call, answer := d.cancellations.Add()
	defer d.cancellations.Remove(call)
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

// MayHaveRun implements Service.
func (d *Daemon) MayHaveRun(ctx context.Context, id string) bool {
	mayHaveRun, err := process.Snapshot(ctx, d.loop, func() bool { return d.core.MayHaveRun(id) })
	if err != nil {
		d.logs.Error(err, "cannot look up a job", "job", id)
		return true
	}
	return mayHaveRun
}

// WaitingJobs implements Service.
func (d *Daemon) WaitingJobs(ctx context.Context, route string) int {
	n, err := process.Snapshot(ctx, d.loop, func() int { return d.core.WaitingJobs(route) })
	if err != nil {
		d.logs.Error(err, "cannot count the waiting jobs")
	}
	return n
}

// reasonStopped is the reason for giving up a job that arrives after the core has stopped. What was
// known of earlier submissions is gone with it.
const reasonStopped = "stopped"

// LogRejected implements Service.
func (d *Daemon) LogRejected(id, reason string, fields ...any) {
	d.metrics.JobAnswers(reason).Inc()
	d.logs.LogEvent("job_refused", id, append([]any{"reason", reason, "revision", d.Site().Revision}, fields...))
}

// MaxBodyBytes implements Service: the operators' limit, or that of the settings while they state
// none. A body that needs more than half of the memory for bodies could never be read.
func (d *Daemon) MaxBodyBytes() int64 {
	l := d.cfg.Settings.Limits
	return min(cmp.Or(d.Site().Limits.BodyBytes, int64(l.Body)), l.BodyMemoryBytes()/2)
}

// timeoutSlack is how much longer than the operators' limits a connection stays open. Callers
// measure their times without the delay of the network.
const timeoutSlack = time.Second

// applyLimits applies the operators' limits to the connections of callers.
func (d *Daemon) applyLimits(l site.Limits) {
	header, idle := httpserver.DefaultHeaderTimeout, httpserver.DefaultIdleTimeout
	if l.HeaderTimeout > 0 {
		header = l.HeaderTimeout + timeoutSlack
	}
	if l.IdleTimeout > 0 {
		idle = l.IdleTimeout + timeoutSlack
	}
	d.callers.SetTimeouts(header, idle)
	if l.HeaderBytes > httpserver.MaxHeaderBytes || l.BodyBytes > d.MaxBodyBytes() {
		d.logs.Info("the operators' limits exceed those of this process", "header_bytes", l.HeaderBytes, "header_bytes_here", httpserver.MaxHeaderBytes,
			"body_bytes", l.BodyBytes, "body_bytes_here", d.MaxBodyBytes())
	}
}

// ShouldCloseConnections implements Service.
func (d *Daemon) ShouldCloseConnections() bool { return d.draining.Load() || d.overloaded.Load() }

// execute executes one action of the core.
func (d *Daemon) execute(action step.Action) {
	switch a := action.(type) {
	case step.Send:
		d.transport.Send(a.To, a.Message)
	case dispatch.Answer:
		d.submissions.Answer(a.Call, a)
	case dispatch.Cancelled:
		d.cancellations.Answer(a.Call, a.Found)
	case step.LogEvent:
		d.logs.LogEvent(a.Event, a.Job, a.Fields)
	case dispatch.Overloaded:
		d.overloaded.Store(a.Active)
	case dispatch.SiteUpdated:
		d.site.Store(a.State)
		d.applyLimits(a.State.Limits)
		if a.State.Configured {
			d.configured.Set()
		}
	case dispatch.AgentUnresponsive:
		go d.transport.Reset(a.Agent)
	case step.SetTimer:
		d.loop.SetTimer(a.At)
	case step.Drained:
		d.drained.Set()
	}
}

// Ready returns nil if the dispatcher accepts jobs, or an error with the reason why not.
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
		d.metrics.SetGauge(telemetry.OpenTasks, float64(s.OpenTasks))
		d.metrics.SetGauge(telemetry.PredictedWait, s.PredictedWait.Seconds())
		d.metrics.SetGauge(telemetry.SiteRevision, float64(s.Revision))
		d.metrics.SetGauge(telemetry.OffersTotal, float64(s.Offers))
		d.metrics.SetGauge(telemetry.RunsLostTotal, float64(s.LostRuns))
		d.metrics.SetGauge(telemetry.UpstreamCrashesTotal, float64(s.Crashes))
		d.metrics.SetGauge(telemetry.RunsCrashedTotal, float64(s.CrashedRuns))
		d.metrics.SetGauge(telemetry.RoutesConfined, float64(s.ConfinedRoutes))
		d.metrics.SetGauge(telemetry.AgentsFast, float64(s.FastAgents))
		d.metrics.SetGauge(telemetry.AgentsSlow, float64(s.SlowAgents))
		d.metrics.SetGauge(telemetry.ShareTurnsTotal, float64(s.ShareTurns))
		d.metrics.SetGauge(telemetry.JobsHeldTotal, float64(s.HeldJobs))
		d.metrics.SetGauge(telemetry.CancelledResubmissionsTotal, float64(s.CancelledResubmissions))
		d.metrics.SetGauge(telemetry.CancelsForgottenTotal, float64(s.CancelsForgotten))
		d.metrics.SetGauge(telemetry.JobsMayStartLate, float64(s.JobsMayStartLate))
		d.metrics.SetGauge(telemetry.HeldResubmissionsTotal, float64(s.HeldResubmissions))
		d.metrics.SetGauge(telemetry.HoldsForgottenTotal, float64(s.HoldsForgotten))
		d.metrics.SetGauge(telemetry.InterferingPairs, float64(s.InterferingPairs))
		process.CopyCounters(d.metrics, nil, d.transport.Stats())
	})
}

func (d *Daemon) registerGauges() {
	d.metrics.Gauge(telemetry.CallsInFlight, func() float64 { return float64(d.submissions.Count()) })
}
