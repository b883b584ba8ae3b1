package agentd

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/upstreamcall"
)

// tasks runs tasks on upstreams, each on a goroutine of its own. Their number
// is bounded by the announced slots.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	stopped bool
	running int
	wg      sync.WaitGroup
}

func newTasks() *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel}
}

// begin reports whether a task may run. It must be followed by end.
func (t *tasks) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	t.running++
	t.wg.Add(1)
	return true
}

func (t *tasks) end() {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	t.wg.Done()
}

func (t *tasks) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// stop cuts the requests that run and returns once no further byte can be sent
// to an upstream.
func (t *tasks) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.cancel()
	t.wg.Wait()
}

// startTask carries out an action without waiting for the task.
func (d *Daemon) startTask(a agent.StartTask) {
	if !d.tasks.begin() {
		return
	}
	go func() {
		defer d.tasks.end()
		out := d.runTask(a)
		if d.killed.IsSet() {
			return
		}
		d.loop.Post(agent.TaskEnded{Handle: a.Handle, State: out.State, Body: out.Body, Detail: out.Detail})
	}()
}

func (d *Daemon) runTask(a agent.StartTask) upstreamcall.Outcome {
	span, trace := d.tracer.Start(a.Trace, telemetry.SpanExecutor,
		attribute.String("job", string(a.ID)), attribute.Int("task", a.Index))
	defer span.End()
	pool := d.upstreams.get(a.Upstream)
	if pool == nil {
		return upstreamcall.Outcome{State: job.NotRun, Detail: "the upstream is not announced any more"}
	}
	call, trace := d.tracer.Start(trace, telemetry.SpanUpstream, attribute.String("upstream", a.Upstream))
	defer call.End()
	started := time.Now()
	out := pool.Do(d.tasks.ctx, upstreamcall.Task{
		ID:       a.ID,
		Attempt:  a.Attempt,
		Index:    a.Index,
		Team:     a.Team,
		Payload:  a.Payload,
		Timeout:  a.Timeout,
		NotAfter: a.NotAfter,
		Trace:    trace,
	})
	call.SetAttributes(attribute.String("state", string(out.State)))
	if out.State != job.NotRun {
		d.metrics.TaskStarts().Inc()
		d.metrics.TaskService().UpdateDuration(started)
	}
	d.metrics.TaskEnds(string(out.State)).Inc()
	return out
}
