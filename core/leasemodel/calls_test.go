package leasemodel

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// call executes a call of an agent to its upstream. A share of the calls, lateCallShare, is
// executed late and gets no answer. A call names the upstream but not its incarnation: a
// newer incarnation executes late calls that were sent to the previous one.
func (sim *simulation) call(p *process, do func() any, event func(any) step.Event, limit time.Duration) {
	if sim.now < p.upstream.silentUntil {
		sim.after(limit, func() { sim.deliver(p, event(nil)) })
		return
	}
	if sim.now < p.upstream.resetsUntil {
		if sim.rnd.IntN(2) == 0 {
			do()
		}
		sim.after(sim.randomMS(0.1, 1), func() { sim.deliver(p, event(nil)) })
		return
	}
	if sim.rnd.Float64() < sim.lateCallShare {
		u, incarnation := p.upstream, p.upstream.incarnation
		sim.after(sim.randomMS(2000, 12000), func() {
			if !sim.dropsLateCalls || u.incarnation == incarnation {
				do()
			}
		})
		sim.after(limit, func() { sim.deliver(p, event(nil)) })
		return
	}
	sim.after(sim.randomMS(0.1, 1), func() {
		r := do()
		sim.after(sim.randomMS(0.1, 1), func() { sim.deliver(p, event(r)) })
	})
}

func (sim *simulation) poll(p *process, a lessee.Poll) {
	limit := 150 * time.Millisecond
	if !a.Renewal {
		limit = a.Wait + 300*time.Millisecond
	}
	event := func(r any) step.Event {
		result := lessee.PollCompleted{Result: lessee.CallUnknown}
		if r != nil {
			result = r.(lessee.PollCompleted)
		}
		result.Renewal, result.SentAt, result.LeaseFrom, result.Token, result.AcknowledgedUpTo = a.Renewal, a.SentAt, a.LeaseFrom, a.Token, a.AcknowledgedUpTo
		return result
	}
	if a.Renewal {
		sim.call(p, func() any { return p.upstream.poll(a) }, event, limit)
		return
	}
	u := p.upstream
	if sim.now < u.silentUntil {
		sim.after(limit, func() { sim.deliver(p, event(nil)) })
		return
	}
	if sim.now < u.resetsUntil {
		sim.after(sim.randomMS(0.1, 1), func() { sim.deliver(p, event(nil)) })
		return
	}
	startedAt := sim.now
	var wait func()
	wait = func() {
		result := u.poll(a)
		if result.Result == lessee.CallOK && len(result.Completed) == 0 && sim.now-startedAt < a.Wait {
			sim.after(5*time.Millisecond, wait)
			return
		}
		sim.deliver(p, event(result))
	}
	sim.after(sim.randomMS(0.1, 1), wait)
}
