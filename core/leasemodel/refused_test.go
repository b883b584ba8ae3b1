package leasemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// connect connects a dispatcher to an agent, once no cut separates their hosts.
func (sim *simulation) connect(d, a *process) {
	sim.after(sim.randomMS(2, 10), func() {
		if d.dead || a.dead {
			return
		}
		if sim.isCut(d.ref.ID, a.ref.ID) {
			sim.connect(d, a)
			return
		}
		connected := dispatch.AgentConnected{Agent: a.ref, Domain: "z"}
		if former := d.connected[a.ref.ID]; former != a.ref {
			connected.Former = former
		}
		d.connected[a.ref.ID] = a.ref
		sim.deliver(d, connected)
	})
}

// refuseConnections cuts a live agent off from the dispatchers for d. Its open connections are
// reset, and new ones are refused.
func (sim *simulation) refuseConnections(u *upstream, d time.Duration) {
	a := u.agent
	sim.logf("%s refuses connections for %v", a.ref, d)
	for _, p := range sim.liveDispatchers() {
		sim.cutUntil[[2]node.ID{min(p.ref.ID, a.ref.ID), max(p.ref.ID, a.ref.ID)}] = sim.now + d
		sim.deliver(p, step.PeerReset{Ref: a.ref})
		sim.after(sim.randomMS(0.1, 5), func() { sim.deliver(p, step.PeerSuspect{Ref: a.ref, Hint: liveness.Refused}) })
		sim.after(d, func() { sim.connect(p, a) })
	}
}

// TestNoTwoRunsBesideRefusedConnections guards against two runs of a task of which one is at a
// live agent whose connections were reset and then refused, with other faults beside it. The
// runs are longer than the leases, and the cuts begin right after a start, when the lease that
// the agent keeps is the longest.
func TestNoTwoRunsBesideRefusedConnections(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newFleetWith(t, seed, 2, 3, upstreamCapacity, 0, dispatch.Config{Domain: "z0"})
			sim.estimate = accurateEstimate
			sim.duration = func(lessee.StartRun) time.Duration { return sim.randomMS(700, 1100) }
			sim.onStart = func(u *upstream, _ lessee.StartRun) {
				if sim.now < modelTime && sim.rnd.IntN(10) == 0 {
					sim.after(sim.randomMS(1, 4), func() { sim.refuseConnections(u, sim.randomMS(300, 1500)) })
				}
			}
			sim.runWithFaults(80, int(seed%4))
		})
	}
}

// TestNoTwoRunsBesideLateStops guards against two runs of a task after a cut has separated its
// agent from the dispatchers, or its caller has given up, and the upstream executes the calls
// that stop the first run only seconds later, while it executes the renewals of its lease.
func TestNoTwoRunsBesideLateStops(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newFleetWith(t, seed, 2, 3, upstreamCapacity, 0, dispatch.Config{Domain: "z0"})
			sim.estimate = accurateEstimate
			sim.lateStopShare = 0.8
			sim.duration = func(lessee.StartRun) time.Duration { return sim.randomMS(1000, 4000) }
			sim.onStart = func(u *upstream, _ lessee.StartRun) {
				if sim.now < modelTime && sim.rnd.IntN(8) == 0 {
					sim.after(sim.randomMS(1, 400), func() { sim.refuseConnections(u, sim.randomMS(1000, 2500)) })
				}
			}
			for i := range 12 {
				sim.after(time.Second+sim.randomMS(0, float64(modelTime/time.Millisecond)), func() { sim.newCaller(i) })
			}
			sim.runUntil(modelTime + settleTime)
		})
	}
}

// TestRefusedAgentIsUsedAgain checks that an agent whose connections are refused twice in a row
// runs tasks again afterwards.
func TestRefusedAgentIsUsedAgain(t *testing.T) {
	t.Parallel()
	sim := newFleetWith(t, 1, 1, 1, upstreamCapacity, 0, dispatch.Config{Domain: "z0"})
	sim.estimate = accurateEstimate
	sim.runUntil(2 * time.Second)
	for range 2 {
		sim.refuseConnections(sim.upstreams[0], 500*time.Millisecond)
		sim.runUntil(sim.now + time.Second)
	}
	before := sim.starts
	sim.newCaller(0)
	sim.runUntil(sim.now + 100*time.Millisecond)
	if sim.starts == before {
		t.Error("no task was started after the last refusal")
	}
}

// TestRestartAfterCrashOfAgent bounds the time until the tasks of a crashed agent start
// elsewhere: after the leases of its runs, or as soon as its next incarnation is ready. The latter
// alone counts if the agent has crashed before it could state that the start calls were answered.
func TestRestartAfterCrashOfAgent(t *testing.T) {
	t.Parallel()
	const reported = lease.HeartbeatInterval + 50*time.Millisecond
	for _, tt := range []struct{ age, downtime, limit time.Duration }{
		{reported, 100 * time.Millisecond, lease.RunExpiry},
		{reported, 5 * time.Second, lease.RunExpiry},
		{50 * time.Millisecond, 100 * time.Millisecond, lease.RunExpiry},
		{50 * time.Millisecond, 2 * time.Second, 2*time.Second + lease.HeartbeatInterval},
	} {
		sim := newFleetWith(t, 1, 1, 2, upstreamCapacity, 0, dispatch.Config{Domain: "z0"})
		sim.estimate = accurateEstimate
		sim.duration = func(lessee.StartRun) time.Duration { return 900 * time.Millisecond }
		sim.runUntil(2 * time.Second)
		sim.deliver(sim.processes["d0"], dispatch.Submit{Call: 1, Job: dispatch.Job{
			ID: "j", Route: testRoute, Wait: 10 * time.Second,
			Steps: []dispatch.Step{{Count: 4, Demand: message.Resources{MilliCPU: taskCPU}, Estimate: accurateEstimate}},
		}})
		sim.runUntil(sim.now + tt.age)
		started, killedAt := sim.starts, sim.now
		u := sim.upstreams[0]
		if len(u.running) == 0 {
			u = sim.upstreams[1]
		}
		sim.kill(u.agent, tt.downtime)
		for sim.starts == started && sim.now < killedAt+3*time.Second {
			sim.runUntil(sim.now + 5*time.Millisecond)
		}
		waited := sim.now - killedAt
		t.Logf("the agent is down for %v: the first of its tasks starts again after %v", tt.downtime, waited)
		if limit := tt.limit + 100*time.Millisecond; waited > limit {
			t.Errorf("%+v: first task started again %v after the crash of its agent, want at most %v", tt, waited, limit)
		}
	}
}
