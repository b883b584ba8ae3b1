package leasemodel

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pace"
)

// Tests of fleets in which every dispatcher is connected with every agent.

// agentsPerDispatcher is the ratio in the users' large fleet.
const agentsPerDispatcher = 160.0 / 35

// measureRates returns the messages that a dispatcher on average, and the busiest agent,
// sends or receives in a second, whichever is more, over the duration d.
func (sim *simulation) measureRates(d time.Duration) (dispatcher, agent float64) {
	clear(sim.sent)
	clear(sim.received)
	sim.runUntil(sim.now + d)
	for _, counts := range []map[node.ID]int{sim.sent, sim.received} {
		sum := 0
		for id, n := range counts {
			if strings.HasPrefix(string(id), "d") {
				sum += n
			} else {
				agent = max(agent, float64(n)/d.Seconds())
			}
		}
		dispatcher = max(dispatcher, float64(sum)/d.Seconds()/float64(sim.dispatcherCount))
	}
	return dispatcher, agent
}

// TestIdleFleetMessageRate guards against heartbeats between all pairs of processes: what
// one process sends and receives in an idle fleet must not grow with the fleet.
func TestIdleFleetMessageRate(t *testing.T) {
	t.Parallel()
	for dispatchers, agents := range map[int]int{10: 45, 35: 160, 170: 80} {
		sim := newFleet(t, 1, dispatchers, agents, upstreamCapacity, 0)
		sim.runUntil(time.Second)
		dispatcher, agent := sim.measureRates(2 * time.Second)
		t.Logf("%d dispatchers, %d agents: %.1f and %.1f messages/s", dispatchers, agents, dispatcher, agent)
		if limit := 1.25 * pace.IdleRate; agent > limit {
			t.Errorf("%d dispatchers: an agent has %.1f messages/s, want at most %.1f", dispatchers, agent, limit)
		}
		if limit := 1.25 * pace.IdleRate * float64(agents) / float64(dispatchers); dispatcher > limit {
			t.Errorf("%d dispatchers: a dispatcher has %.1f messages/s, want at most %.1f", dispatchers, dispatcher, limit)
		}
	}
}

// TestBusyFleetMessageRate checks that the message rate per started task at 60% load does not
// grow with the fleet.
func TestBusyFleetMessageRate(t *testing.T) {
	t.Parallel()
	var first float64
	for _, dispatchers := range []int{10, 35} {
		agents := int(float64(dispatchers) * agentsPerDispatcher)
		l := newLoadOn(newFleet(t, 1, dispatchers, agents, slotsPerAgent*taskCPU, 0))
		startsBefore, sentBefore := l.sim.starts, total(l.sim.sent)
		got := l.run(2*time.Second, jobKindsAtLoad(0.6, agents))
		perStart := float64(total(l.sim.sent)-sentBefore) / float64(l.sim.starts-startsBefore)
		t.Logf("%d dispatchers, %d agents: %.2f messages a start", dispatchers, agents, perStart)
		if first == 0 {
			first = perStart
		}
		if perStart > 1.25*first {
			t.Errorf("%d dispatchers: %.2f messages a start, want at most a quarter more than %.2f with 10", dispatchers, perStart, first)
		}
		for kind, o := range got {
			if o.onTimeShare() < 0.98 {
				t.Errorf("%d dispatchers, %s: got %+v, want at least 0.98 on time", dispatchers, kind, *o)
			}
		}
	}
}

func total(counts map[node.ID]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// TestBurstOnOneDispatcher checks that a burst at one dispatcher uses the whole fleet: it is
// served at once although most agents have not reported to that dispatcher for a second.
func TestBurstOnOneDispatcher(t *testing.T) {
	t.Parallel()
	const agents = 40
	l := newLoadOn(newFleet(t, 1, 9, agents, slotsPerAgent*taskCPU, 5))
	l.sim.dispatcherCount = 1 // All jobs go to the first one.
	for kind, o := range l.run(3*time.Second, jobKindsAtLoad(0.8, agents)) {
		if o.onTimeShare() < 0.95 {
			t.Errorf("%s: got %+v, want at least 0.95 on time", kind, *o)
		}
	}
}

// TestLossOfHalfTheAgents checks that, in a fleet in which most agents rarely report to a
// dispatcher, the silent loss of half of them takes few tasks with it: those offered before
// the first agent was suspected, and none after that.
func TestLossOfHalfTheAgents(t *testing.T) {
	t.Parallel()
	const dispatchers, agents = 9, 40
	l := newLoadOn(newFleet(t, 1, dispatchers, agents, slotsPerAgent*taskCPU, 3))
	l.run(time.Second, jobKindsAtLoad(0.3, agents))
	for i := range agents / 2 {
		l.sim.cutOff(node.ID(fmt.Sprintf("a%d", i)), 10*time.Second)
	}
	l.countFrom = l.sim.now + 700*time.Millisecond
	l.sim.runUntil(l.countFrom + 3*time.Second)
	if o := l.outcomes["check"]; o.onTimeShare() < 0.95 {
		t.Errorf("got %+v for the jobs submitted 0.7 s after the loss or later, want at least 0.95 on time", *o)
	}
}

// cutOff cuts a process from all others.
func (sim *simulation) cutOff(id node.ID, d time.Duration) {
	for other := range sim.processes {
		sim.cutUntil[[2]node.ID{min(id, other), max(id, other)}] = sim.now + d
	}
}
