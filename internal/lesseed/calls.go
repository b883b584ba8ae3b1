package lesseed

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

const (
	// callTime bounds a call to the upstream on the same host, whose answer takes a
	// fraction of a millisecond. A renewal that got no answer is followed by another
	// before the lease lapses.
	callTime = lease.RenewalInterval
	// watchSlack is added to the time for which a look may wait.
	watchSlack = lease.RenewalInterval / 2
	// firstStartTime bounds the first call that starts a run, and is doubled with each
	// repetition up to callTime. A start that is repeated is harmless, and one whose
	// answer is lost holds room meanwhile.
	firstStartTime = 30 * time.Millisecond
)

// do carries out one action of the core.
func (d *Daemon) do(action step.Action) {
	switch a := action.(type) {
	case step.Send:
		if a.Message.RunCompletion != nil {
			d.metrics.TaskCompletions(string(a.Message.RunCompletion.Result)).Inc()
		}
		d.transport.Send(a.To, a.Message)
	case lessee.StartRun:
		go d.start(a)
	case lessee.StopRun:
		go d.stop(a)
	case lessee.Poll:
		go d.look(a, d.loop.Mono())
	case lessee.PersistAnnouncement:
		d.note(a.Announcement)
	case step.LogEvent:
		d.logs.LogEvent(a.Event, a.Job, a.Fields)
	case step.SetTimer:
		d.loop.SetTimer(a.At)
	case step.Drained:
		d.drained.Set()
	}
}

func (d *Daemon) start(a lessee.StartRun) {
	ctx, cancel := context.WithTimeout(d.calls, min(firstStartTime<<(a.Try-1), callTime))
	defer cancel()
	began := time.Now()
	result, clock := d.cfg.Platform.Upstream.Start(ctx, a)
	d.observe("start", result, began)
	d.loop.Post(lessee.StartCallCompleted{Handle: a.Handle, Result: result, Clock: clock})
}

func (d *Daemon) stop(a lessee.StopRun) {
	ctx, cancel := context.WithTimeout(d.calls, callTime)
	defer cancel()
	began := time.Now()
	result := d.cfg.Platform.Upstream.Stop(ctx, a)
	d.observe("stop", result, began)
	d.loop.Post(lessee.StopCallCompleted{Name: a.Name, RunNumber: a.RunNumber, Result: result})
}

func (d *Daemon) look(a lessee.Poll, sentAt time.Duration) {
	limit := callTime
	if !a.Renewal {
		limit = a.Wait + watchSlack
	}
	ctx, cancel := context.WithTimeout(d.calls, limit)
	defer cancel()
	began := time.Now()
	looked := d.cfg.Platform.Upstream.Poll(ctx, a)
	if a.Renewal {
		d.observe("renew", looked.Result, began)
	}
	looked.Renewal, looked.SentAt, looked.Token, looked.AcknowledgedUpTo = a.Renewal, sentAt, a.Token, a.AcknowledgedUpTo
	d.loop.Post(looked)
}

func (d *Daemon) observe(call string, result lessee.CallResult, began time.Time) {
	d.metrics.UpstreamCallTime(call, result.String()).UpdateDuration(began)
}
