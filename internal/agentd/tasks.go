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

// taskRunner counts the running tasks and can abort them. Each task runs on a
// goroutine of its own. The slots that upstreams announce limit the number of running
// tasks.
type taskRunner struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	stopped bool
	running int
	wg      sync.WaitGroup
}

func newTaskRunner() *taskRunner {
	ctx, cancel := context.WithCancel(context.Background())
	return &taskRunner{ctx: ctx, cancel: cancel}
}

// tryStart registers a task. It reports false, and registers nothing, after stop.
// The caller must call unregister when the task has completed.
func (t *taskRunner) tryStart() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	t.running++
	t.wg.Add(1)
	return true
}

// unregister removes a task that tryStart registered.
func (t *taskRunner) unregister() {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	t.wg.Done()
}

// count returns the number of running tasks.
func (t *taskRunner) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// stop aborts the running tasks and prevents further ones. It returns once no further
// byte can be sent to an upstream.
func (t *taskRunner) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.cancel()
	t.wg.Wait()
}

// startTask starts a task on its upstream and returns at once. When the task has
// completed, its outcome is posted to the core, unless the daemon was killed.
func (d *Daemon) startTask(a agent.StartTask) {
	if !d.tasks.tryStart() {
		return
	}
	go func() {
		defer d.tasks.unregister()
		out := d.runTask(a)
		if d.killed.IsSet() {
			return
		}
		d.loop.Post(agent.TaskEnded{Handle: a.Handle, State: out.State, Body: out.Body, Detail: out.Detail})
	}()
}

// runTask calls the upstream and waits for the outcome of the task.
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
		d.metrics.TaskServiceTime().UpdateDuration(started)
	}
	d.metrics.TaskCompletions(string(out.State)).Inc()
	return out
}
