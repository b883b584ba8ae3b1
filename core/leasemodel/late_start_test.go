package leasemodel

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
)

// TestLateStartAtNextIncarnation guards against two runs of a task whose host is lost before its
// dispatcher has heard that a start call got no answer: the next incarnation of the upstream
// executes the call as soon as the task runs on another host, while the agent beside it is down.
func TestLateStartAtNextIncarnation(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		sim := newFleet(t, seed, 1, 2, upstreamCapacity, 0)
		var first *lessee.StartRun
		sim.duration = func(a lessee.StartRun) time.Duration {
			if first == nil {
				first = &a
			}
			return 900 * time.Millisecond
		}
		sim.estimate = accurateEstimate
		sim.runUntil(2 * time.Second)
		sim.newCaller(0)
		sim.runUntil(sim.now + 50*time.Millisecond)
		lost := sim.upstreams[0]
		if _, ok := lost.running[first.Name]; !ok {
			lost = sim.upstreams[1]
		}
		sim.onStart = func(u *upstream, a lessee.StartRun) {
			if u != lost && a.Name == first.Name && lost.agent.dead {
				sim.after(time.Millisecond, func() { lost.startRun(*first) })
			}
		}
		lost.crash()
		sim.kill(lost.agent, 5*time.Second)
		sim.runUntil(sim.now + 10*time.Second)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		if got := sim.callers[0].outcome; got != dispatch.Completed {
			t.Errorf("seed %d: got outcome %q, want completed once the agent was back", seed, got)
		}
	}
}

// TestLateStartBesideLiveAgent guards against two runs of a task whose first start call got no
// answer and is executed by the next incarnation of the upstream right after its start, while
// the agent is alive.
func TestLateStartBesideLiveAgent(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		sim := newFleet(t, seed, 1, 2, upstreamCapacity, 0)
		var started *lessee.StartRun
		sim.duration = func(a lessee.StartRun) time.Duration {
			if started == nil {
				started = &a
			}
			return 900 * time.Millisecond
		}
		sim.estimate = accurateEstimate
		sim.runUntil(2 * time.Second)
		sim.lateCallShare = 1
		sim.newCaller(0)
		sim.runUntil(sim.now + 100*time.Millisecond)
		sim.lateCallShare = 0
		sim.runUntil(sim.now + 200*time.Millisecond)
		u := sim.upstreams[0]
		if _, ok := u.running[started.Name]; !ok {
			u = sim.upstreams[1]
		}
		const downtime = 300 * time.Millisecond
		u.crashFor(downtime)
		late := *started
		sim.after(downtime, func() { u.startRun(late) })
		sim.runUntil(sim.now + 5*time.Second)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		if sim.callers[0].outcome == "" {
			t.Errorf("seed %d: no final answer", seed)
		}
	}
}
