package leasemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// agentDowntime is how long the agent of a restarted host is down, and upstreamDowntime the same
// of the upstream beside it.
const (
	agentDowntime    = 3500 * time.Millisecond
	upstreamDowntime = 200 * time.Millisecond
	// maxLateStart is how late a start call is executed at most.
	maxLateStart = 12 * time.Second
)

// lateResubmission is a job of one task of 900 ms at dispatcher d0. Its first start call gets no
// answer, the second one starts run 1. Its caller submits it again resubmitPause after each answer
// that permits it, and after a submission without an answer.
type lateResubmission struct {
	*simulation
	first *lessee.StartRun
	// lost is the upstream of run 1.
	lost *upstream
	// next returns the dispatcher of a resubmission, and onInterrupted is called with the first
	// answer.
	next          func() *process
	onInterrupted func()
	outcome       dispatch.Outcome
	doneAt        time.Duration
	answers       int
	// calledAt is when the first start call was sent.
	calledAt time.Duration
}

func newLateResubmission(t testing.TB, seed uint64) *lateResubmission {
	m := &lateResubmission{simulation: newFleet(t, seed, 5, 4, upstreamCapacity, []float64{0, 1}[seed%2])}
	m.estimate = 900 * time.Millisecond
	m.duration = func(a lessee.StartRun) time.Duration {
		if m.first == nil {
			m.first = &a
		}
		return 900 * time.Millisecond
	}
	m.next = func() *process { return m.processes["d1"] }
	m.onStart = m.startLateBeside
	m.runUntil(2 * time.Second)
	m.calledAt = m.now
	m.lateCallShare = 1
	m.submitAt(m.processes["d0"])
	m.runUntil(m.now + 100*time.Millisecond)
	m.lateCallShare = 0
	m.runUntil(m.now + 100*time.Millisecond)
	for _, u := range m.upstreams {
		if len(u.running) > 0 {
			m.lost = u
		}
	}
	if m.lost == nil {
		t.Fatal("run 1 has not started")
	}
	return m
}

// submitAt submits the job at d.
func (m *lateResubmission) submitAt(d *process) {
	m.lastCall++
	call, answered := m.lastCall, false
	m.logf("the job is submitted to %s", d.ref)
	again := func() {
		answered = true
		m.answers++
		if m.answers == 1 && m.onInterrupted != nil {
			m.onInterrupted()
		}
		m.after(resubmitPause, func() { m.submitAt(m.next()) })
	}
	m.onAnswer = func(a dispatch.Answer) {
		m.logf("call %d is answered: %s %s", a.Call, a.Outcome, a.Reason)
		switch {
		case a.Call != call || answered:
		case a.Outcome == dispatch.Completed:
			answered, m.outcome, m.doneAt = true, a.Outcome, m.now
		case a.Outcome == dispatch.Refused:
			m.fail("refused as not run, although a start call may be executed")
		default:
			again()
		}
	}
	m.deliver(d, dispatch.Submit{Call: call, Job: dispatch.Job{
		ID: "j", Route: testRoute, Wait: 1500 * time.Millisecond,
		Steps: []dispatch.Step{{Count: 1, Demand: message.Resources{MilliCPU: taskCPU, MemoryMB: 10}, Estimate: m.estimate}},
	}})
	m.after(1500*time.Millisecond, func() {
		if !answered {
			m.deliver(d, dispatch.CallerGone{Call: call})
			if !answered {
				again()
			}
		}
	})
}

// restartHost restarts the host of run 1, its upstream first.
func (m *lateResubmission) restartHost(agentDown time.Duration) {
	m.lost.crashFor(upstreamDowntime)
	m.kill(m.lost.agent, agentDown)
}

// startLateBeside lets the upstream of run 1 execute the first start call again right after the
// task has started elsewhere, while the agent there is down or cut off.
func (m *lateResubmission) startLateBeside(u *upstream, _ lessee.StartRun) {
	if m.lost == nil || u == m.lost || !m.lost.agent.dead && m.now >= m.lost.silentUntil {
		return
	}
	m.after(5*time.Millisecond, func() {
		if m.now-m.calledAt <= maxLateStart {
			m.lost.startRun(*m.first)
		}
	})
}

// isolate cuts a dispatcher off from all agents.
func (m *lateResubmission) isolate(id node.ID, d time.Duration) {
	for _, u := range m.upstreams {
		a := u.agent.ref.ID
		m.cutUntil[[2]node.ID{min(id, a), max(id, a)}] = m.now + d
	}
}

// expectCompleted plays the rest and checks that the job is completed within limit.
func (m *lateResubmission) expectCompleted(limit time.Duration) {
	from := m.now
	m.runUntil(from + limit + settleTime)
	if !m.t.Failed() && (m.outcome != dispatch.Completed || m.doneAt > from+limit) {
		m.fail("got outcome %q after %v, want completed within %v", m.outcome, m.doneAt-from, limit)
	}
}

// TestNoTwoRunsOfAResubmittedJob guards against two runs of a task whose job was given up, since
// its host was lost after a start call without an answer, and submitted again at the same or
// another dispatcher: the upstream is back before its agent and executes the call.
func TestNoTwoRunsOfAResubmittedJob(t *testing.T) {
	t.Parallel()
	kill := func(m *lateResubmission) { m.kill(m.processes["d0"], time.Hour) }
	for name, play := range map[string]func(m *lateResubmission){
		"another dispatcher":  func(*lateResubmission) {},
		"the same dispatcher": func(m *lateResubmission) { m.next = func() *process { return m.processes["d0"] } },
		"any dispatcher":      func(m *lateResubmission) { m.next = func() *process { return m.liveDispatchers()[m.rnd.IntN(4)] } },
		"a new dispatcher": func(m *lateResubmission) {
			m.onInterrupted = func() { m.kill(m.processes["d1"], resubmitPause-200*time.Millisecond) }
		},
		"the first is killed": func(m *lateResubmission) { m.onInterrupted = func() { kill(m) } },
		"the first is stopped": func(m *lateResubmission) {
			m.onInterrupted = func() {
				m.deliver(m.processes["d0"], step.Drain{})
				m.after(50*time.Millisecond, func() { kill(m) })
			}
		},
		"the first is cut off": func(m *lateResubmission) { m.onInterrupted = func() { m.isolate("d0", 10*time.Second) } },
		"the first is frozen": func(m *lateResubmission) {
			m.onInterrupted = func() { m.processes["d0"].frozenUntil = m.now + 4*time.Second }
		},
		"the first is killed with the host":           func(m *lateResubmission) { kill(m) },
		"the first is cut off before the host":        func(m *lateResubmission) { m.isolate("d0", 10*time.Second) },
		"the first is frozen before the host is lost": func(m *lateResubmission) { m.processes["d0"].frozenUntil = m.now + 4*time.Second },
		"the others are cut off for a time": func(m *lateResubmission) {
			for _, id := range []node.ID{"d1", "d2", "d3", "d4"} {
				m.isolate(id, m.randomMS(200, 1000))
			}
			m.onInterrupted = func() { kill(m) }
			m.next = func() *process { return m.liveDispatchers()[m.rnd.IntN(4)] }
		},
		"the caller leaves": func(m *lateResubmission) {
			m.after(300*time.Millisecond, func() { m.deliver(m.processes["d0"], dispatch.CallerGone{Call: 1}) })
		},
		"the first still holds the task": func(m *lateResubmission) {
			m.after(1100*time.Millisecond, func() { m.submitAt(m.processes["d1"]) })
		},
		"the caller leaves before the restart": func(m *lateResubmission) { m.deliver(m.processes["d0"], dispatch.CallerGone{Call: 1}) },
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				m := newLateResubmission(t, seed)
				play(m)
				m.restartHost(agentDowntime)
				m.expectCompleted(agentDowntime + 5*time.Second)
			})
		}
	}
}

// TestNoTwoRunsAfterTwoRestarts is the same with an agent that is killed again before it has
// polled its upstream.
func TestNoTwoRunsAfterTwoRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		m := newLateResubmission(t, seed)
		m.restartHost(2 * agentDowntime)
		m.after(agentDowntime/2, func() { m.lost.crashFor(upstreamDowntime) })
		m.expectCompleted(2*agentDowntime + 5*time.Second)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestJobOfALostHostRunsAgain guards against a job that is held for ever, since the host that may
// start its task late never comes back, and against a start before the last call is too old.
func TestJobOfALostHostRunsAgain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		m := newLateResubmission(t, seed)
		m.next = func() *process { return m.liveDispatchers()[m.rnd.IntN(4)] }
		m.restartHost(time.Hour)
		m.expectCompleted(maxLateStart + 8*time.Second)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestNoTwoRunsBehindACut guards against two runs of a task whose start call got no answer, and
// whose agent lives but is cut off from its upstream, which restarts behind the cut and executes
// the call.
func TestNoTwoRunsBehindACut(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		m := newLateResubmission(t, seed)
		const cut = 4 * time.Second
		m.lost.silentUntil = m.now + cut
		m.after(100*time.Millisecond, func() { m.lost.crashFor(upstreamDowntime) })
		m.expectCompleted(cut + 6*time.Second)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
