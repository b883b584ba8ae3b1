package lesseed

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

const (
	// callTimeout bounds a start or stop call to the local upstream, which answers within a
	// fraction of a millisecond.
	callTimeout = 150 * time.Millisecond
	// renewalTimeout bounds a renewal, so that one without an answer is followed by another
	// before the lease expires.
	renewalTimeout = lease.RenewalInterval
	// longPollSlack is added to the wait of a long poll to get its timeout.
	longPollSlack = callTimeout / 2
	// firstStartTimeout bounds the first call that starts a run. The timeout doubles with
	// each retry, up to callTimeout. It starts low because a start whose answer is lost
	// occupies capacity until it is retried, while a repeated start is harmless.
	firstStartTimeout = 30 * time.Millisecond
	// maxCalls bounds the start and stop calls that are executed at once. It is below the number of
	// connections to the upstream, so that polls need not wait for them.
	maxCalls = 40
)

// execute executes one action of the core.
func (d *Daemon) execute(action step.Action) {
	switch a := action.(type) {
	case step.Send:
		if a.Message.RunCompletion != nil {
			d.metrics.TaskCompletions(string(a.Message.RunCompletion.Result)).Inc()
		}
		d.transport.Send(a.To, a.Message)
	case lessee.StartRun:
		startedAt := time.Now()
		d.calls.add(func() { d.start(a, startedAt) })
	case lessee.StopRun:
		startedAt := time.Now()
		d.calls.add(func() { d.stop(a, startedAt) })
	case lessee.Poll:
		go d.poll(a)
	case lessee.PersistAnnouncement:
		d.queueAnnouncement(a.Announcement)
	case step.LogEvent:
		d.logs.LogEvent(a.Event, a.Job, a.Fields)
	case step.SetTimer:
		d.loop.SetTimer(a.At)
	case step.Drained:
		d.drained.Set()
	}
}

// start starts a run. The time limit of the call begins at startedAt, before the call waits for others.
func (d *Daemon) start(a lessee.StartRun, startedAt time.Time) {
	ctx, cancel := context.WithDeadline(d.callContext, startedAt.Add(min(firstStartTimeout<<(a.Try-1), callTimeout)))
	defer cancel()
	result, clock := d.cfg.Platform.Upstream.Start(ctx, a)
	d.recordCallDuration("start", result, startedAt)
	d.loop.Post(lessee.StartCallCompleted{Handle: a.Handle, Result: result, Clock: clock})
}

// stop stops a run, with a time limit like that of start.
func (d *Daemon) stop(a lessee.StopRun, startedAt time.Time) {
	ctx, cancel := context.WithDeadline(d.callContext, startedAt.Add(callTimeout))
	defer cancel()
	result := d.cfg.Platform.Upstream.Stop(ctx, a)
	d.recordCallDuration("stop", result, startedAt)
	d.loop.Post(lessee.StopCallCompleted{Name: a.Name, RunNumber: a.RunNumber, Result: result})
}

// poll polls the upstream and posts the result.
func (d *Daemon) poll(a lessee.Poll) {
	timeout := renewalTimeout
	if !a.Renewal {
		timeout = a.Wait + longPollSlack
	}
	ctx, cancel := context.WithTimeout(d.callContext, timeout)
	defer cancel()
	startedAt := time.Now()
	polled := d.cfg.Platform.Upstream.Poll(ctx, a)
	if a.Renewal {
		d.recordCallDuration("renew", polled.Result, startedAt)
	}
	polled.Renewal, polled.SentAt, polled.LeaseFrom = a.Renewal, a.SentAt, a.LeaseFrom
	polled.Token, polled.AcknowledgedUpTo = a.Token, a.AcknowledgedUpTo
	d.loop.Post(polled)
}

// recordCallDuration records the duration of a call in the metrics.
func (d *Daemon) recordCallDuration(call string, result lessee.CallResult, startedAt time.Time) {
	d.metrics.UpstreamCallTime(call, result.String()).UpdateDuration(startedAt)
}
