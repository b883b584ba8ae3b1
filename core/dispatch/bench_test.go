package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// loadBed drives a dispatcher with several agents, and optionally a backlog of jobs that
// wait because every agent is full.
type loadBed struct {
	core   *Core
	now    time.Duration
	calls  uint64
	offers []step.Send
}

func newLoadBed(agents, backlog int) *loadBed {
	l := &loadBed{core: New(Config{Domain: "z0"}), now: time.Second}
	l.step(SiteChanged{State: &site.State{Revision: 1, Configured: true}})
	for i := range agents {
		l.step(AgentConnected{Agent: ref(i), Domain: fmt.Sprintf("z%d", i%4)})
	}
	l.reportFree(agents, 8)
	for range backlog {
		l.submit(3)
	}
	if backlog > 0 {
		l.reportFree(agents, 0)
	}
	return l
}

func (l *loadBed) step(event step.Event) {
	for _, action := range l.core.Step(clock.Now{Mono: l.now}, event) {
		if a, ok := action.(step.Send); ok && a.Message.Offer != nil {
			l.offers = append(l.offers, a)
		}
	}
}

// reportFree lets all agents report this number of free cores.
func (l *loadBed) reportFree(agents, cores int) {
	for i := range agents {
		l.step(step.Received{Envelope: message.Envelope{From: ref(i), Messages: []message.Message{{Heartbeat: &message.Heartbeat{
			Timestamp: l.now, Revision: 1, Capacity: &message.CapacityReport{
				Version: uint64(l.now), Ready: true, MaxIncludedSeq: l.core.lastSeq, Used: message.Resources{MilliCPU: (8 - cores) * oneCore},
				InfoVersion: 1, Info: &message.UpstreamInfo{
					Service: "s", Domain: fmt.Sprintf("z%d", i%4), Capacity: message.Resources{MilliCPU: 8 * oneCore},
				},
			},
		}}}}})
	}
}

func (l *loadBed) submit(priority int) {
	l.calls++
	l.step(Submit{Call: l.calls, Job: Job{
		ID: fmt.Sprintf("%016x", l.calls), Wait: time.Hour,
		Route: &site.Route{Name: "r", Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1.6, Margin: 60 * time.Millisecond},
		Steps: []Step{{Count: 4, Demand: message.Resources{MilliCPU: oneCore}, Estimate: 100 * time.Millisecond}},
	}})
}

// completeAll lets the agents report the success of all collected offers, each in a
// message of its own.
func (l *loadBed) completeAll() {
	offers := l.offers
	l.offers = nil
	for _, o := range offers {
		l.step(step.Received{Envelope: message.Envelope{From: o.To, Messages: []message.Message{{RunCompletion: &message.RunCompletion{
			Seq: o.Message.Offer.Seq, Result: message.RunDone,
		}}}}})
	}
}

// crash lets an agent report a crash of its upstream right after the start of tasks of one
// job of the route "bad".
func (l *loadBed) crash(agent int, job string) {
	a := l.core.agents[ref(agent)]
	x := message.Crash{Number: a.knownCrash + 1}
	for i := range 8 {
		x.Runs = append(x.Runs, message.CrashedRun{Task: message.TaskName{Job: job, Index: i}, Route: "bad", Age: time.Duration(i) * time.Millisecond})
	}
	l.step(step.Received{Envelope: message.Envelope{From: ref(agent), Messages: []message.Message{{Heartbeat: &message.Heartbeat{
		Timestamp: l.now, Revision: 1, Crashes: []message.Crash{x},
	}}}}})
}

// BenchmarkJob measures one job of four tasks from submission to answer, for several
// fleet sizes, with and without a backlog of waiting jobs, and while upstreams crash under
// the tasks of another route.
func BenchmarkJob(b *testing.B) {
	for _, agents := range []int{11, 67, 300} {
		for _, backlog := range []int{0, 300, 3000} {
			for _, crashes := range []bool{false, true} {
				b.Run(fmt.Sprintf("agents=%d/backlog=%d/crashes=%v", agents, backlog, crashes), func(b *testing.B) {
					benchmarkJob(b, agents, backlog, crashes)
				})
			}
		}
	}
}

func benchmarkJob(b *testing.B, agents, backlog int, crashes bool) {
	l := newLoadBed(agents, 0)
	for range backlog {
		l.calls++
		l.step(Submit{Call: l.calls, Job: Job{
			ID: fmt.Sprintf("%016x", l.calls), Wait: time.Hour,
			Route: &site.Route{Name: "r", Service: "s", Priority: 3, MaxAttempts: 2, Stretch: 1.6, Margin: 60 * time.Millisecond},
			Steps: []Step{{Count: 4, Demand: message.Resources{MilliCPU: 8 * oneCore}, Estimate: 100 * time.Millisecond}},
		}})
	}
	l.offers = nil
	next, lastCrash := l.now, 0
	for b.Loop() {
		l.now += 2 * time.Millisecond
		if l.now >= next {
			next = l.now + 200*time.Millisecond
			l.reportFree(agents, 4)
			l.offers = nil
			if crashes {
				lastCrash++
				l.crash(lastCrash%agents, fmt.Sprintf("bad%d", lastCrash))
			}
		}
		l.submit(0)
		l.completeAll()
	}
}

// BenchmarkOverload measures the completion of a task, and the placement of the next one, in
// a full fleet while jobs of three priorities wait.
func BenchmarkOverload(b *testing.B) {
	for _, backlog := range []int{300, 3000} {
		for _, minShare := range []float64{0, 0.1} {
			b.Run(fmt.Sprintf("backlog=%d/min_share=%v", backlog, minShare), func(b *testing.B) { benchmarkOverload(b, backlog, minShare) })
		}
	}
}

func benchmarkOverload(b *testing.B, backlog int, minShare float64) {
	const agents = 67
	l := newLoadBed(agents, 0)
	l.core = New(Config{Domain: "z0", MinShare: minShare})
	l.step(SiteChanged{State: &site.State{Revision: 1, Configured: true}})
	for i := range agents {
		l.step(AgentConnected{Agent: ref(i), Domain: fmt.Sprintf("z%d", i%4)})
	}
	l.reportFree(agents, 8)
	for range backlog + agents*8/4 {
		l.submit(int(l.calls) % 3)
	}
	for b.Loop() {
		l.now += time.Millisecond
		o := l.offers[0]
		l.offers = l.offers[1:]
		l.step(step.Received{Envelope: message.Envelope{From: o.To, Messages: []message.Message{{RunCompletion: &message.RunCompletion{
			Seq: o.Message.Offer.Seq, Result: message.RunDone,
		}}}}})
		if len(l.core.waiting) < backlog {
			l.submit(int(l.calls) % 3)
		}
	}
}
