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

// cutBetween loses the messages between a dispatcher and all agents for d.
func (sim *simulation) cutBetween(p *process, d time.Duration) {
	sim.logf("%s is cut off for %v", p.ref, d)
	for _, u := range sim.upstreams {
		id := u.agent.ref.ID
		sim.cutUntil[[2]node.ID{min(p.ref.ID, id), max(p.ref.ID, id)}] = sim.now + d
	}
}

// loseOneWay loses the messages of a dispatcher to all agents for d, or those to it.
func (sim *simulation) loseOneWay(p *process, d time.Duration, sent bool) {
	sim.logf("messages of %s are lost for %v, sent: %v", p.ref, d, sent)
	for _, u := range sim.upstreams {
		if id := u.agent.ref.ID; sent {
			sim.lostUntil[[2]node.ID{p.ref.ID, id}] = sim.now + d
		} else {
			sim.lostUntil[[2]node.ID{id, p.ref.ID}] = sim.now + d
		}
	}
}

// TestRefusedAfterACutMeansNotRun guards against a job that is refused as not run although a task of
// it has started: right after the start, its dispatcher and the agents were out of touch for longer
// than one of them remembers, and other jobs keep the upstreams busy until the job's deadline.
func TestRefusedAfterACutMeansNotRun(t *testing.T) {
	t.Parallel()
	// The faults begin when a task of the job has started at u, and last for d.
	faults := map[string]func(sim *simulation, p *process, u *upstream, d time.Duration){
		"cut off": func(sim *simulation, p *process, _ *upstream, d time.Duration) { sim.cutBetween(p, d) },
		"connections reset": func(sim *simulation, p *process, _ *upstream, d time.Duration) {
			sim.cutBetween(p, d)
			sim.after(d, func() { sim.reset(p) })
		},
		"connections reset again and again": func(sim *simulation, p *process, _ *upstream, d time.Duration) {
			sim.cutBetween(p, d)
			for at := time.Duration(0); at <= d; at += 700 * time.Millisecond {
				sim.after(at, func() { sim.reset(p) })
			}
		},
		"offers lost":  func(sim *simulation, p *process, _ *upstream, d time.Duration) { sim.loseOneWay(p, d, true) },
		"answers lost": func(sim *simulation, p *process, _ *upstream, d time.Duration) { sim.loseOneWay(p, d, false) },
		"dispatcher stands still": func(sim *simulation, p *process, _ *upstream, d time.Duration) {
			p.frozenUntil = sim.now + d
		},
		"agent stands still": func(sim *simulation, _ *process, u *upstream, d time.Duration) {
			u.agent.frozenUntil = sim.now + d
		},
		"upstream crashes": func(sim *simulation, p *process, u *upstream, d time.Duration) {
			sim.cutBetween(p, d)
			sim.after(sim.randomMS(1, 400), u.crash)
		},
		"agent restarts": func(sim *simulation, p *process, u *upstream, d time.Duration) {
			sim.cutBetween(p, d)
			agent := u.agent
			sim.after(sim.randomMS(1, 400), func() { sim.kill(agent, sim.randomMS(50, 2000)) })
		},
	}
	for name, fault := range faults {
		for seed := range uint64(16) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				sim := newFleetWith(t, seed, 2, 2, upstreamCapacity, []float64{0, 1}[seed%2], dispatch.Config{Domain: "z0"})
				sim.estimate = accurateEstimate
				sim.runUntil(2 * time.Second)
				cut, wait := sim.randomMS(300, 15_000), time.Duration(0)
				wait = cut + sim.randomMS(200, 3000)
				var answer dispatch.Answer
				started, refused := 0, false
				const call = 1
				sim.onAnswer = func(a dispatch.Answer) {
					if a.Call != call {
						return
					}
					answer, refused = a, a.Outcome == dispatch.Refused
					if refused && started > 0 {
						sim.fail("refused (%s) although %d tasks have started", a.Reason, started)
					}
				}
				sim.onStart = func(u *upstream, a lessee.StartRun) {
					if a.Name.Job != "j" {
						return
					}
					started++
					if refused {
						sim.fail("%s has started after the job was refused", a.Name)
					}
					if started == 1 {
						sim.after(sim.randomMS(0, 250), func() { fault(sim, sim.processes["d0"], u, cut) })
					}
				}
				submit := func(call uint64, d node.ID, job string, tasks int, wait time.Duration) {
					sim.deliver(sim.processes[d], dispatch.Submit{Call: call, Job: dispatch.Job{
						ID: job, Route: testRoute, Wait: wait,
						Steps: []dispatch.Step{{Count: tasks, Demand: message.Resources{MilliCPU: taskCPU}, Estimate: accurateEstimate}},
					}})
				}
				submit(call, "d0", "j", 1+sim.rnd.IntN(4), wait)
				for i := range int((wait + time.Second) / (100 * time.Millisecond)) {
					sim.after(20*time.Millisecond+time.Duration(i)*100*time.Millisecond, func() { submit(uint64(100+i), "d1", fmt.Sprint("other", i), 3, 1500*time.Millisecond) })
				}
				sim.runUntil(sim.now + wait + 20*time.Second)
				if answer.Outcome == "" {
					sim.fail("no answer")
				}
				t.Logf("%v of silence, %v to the deadline, %d starts: %s %s", cut, wait, started, answer.Outcome, answer.Reason)
			})
		}
	}
}

// TestAnswersOutliveQuestions holds what an agent remembers of its answers against how long a
// dispatcher asks: a task that has run while the dispatcher was cut off is not run again, and the
// caller gets its result, however long the cut, as long as the dispatcher waits for the agent.
func TestAnswersOutliveQuestions(t *testing.T) {
	t.Parallel()
	for cut := 500 * time.Millisecond; cut < 13*time.Second; cut += 500 * time.Millisecond {
		t.Run(cut.String(), func(t *testing.T) {
			sim := newFleet(t, 1, 1, 1, upstreamCapacity, 0)
			sim.estimate = accurateEstimate
			sim.duration = func(lessee.StartRun) time.Duration { return 150 * time.Millisecond }
			sim.runUntil(2 * time.Second)
			var answer dispatch.Answer
			sim.onAnswer = func(a dispatch.Answer) { answer = a }
			sim.onStart = func(*upstream, lessee.StartRun) { sim.cutBetween(sim.processes["d0"], cut) }
			sim.deliver(sim.processes["d0"], dispatch.Submit{Call: 1, Job: dispatch.Job{
				ID: "j", Route: testRoute, Wait: 30 * time.Second,
				Steps: []dispatch.Step{{Count: 1, Demand: message.Resources{MilliCPU: taskCPU}, Estimate: accurateEstimate}},
			}})
			sim.runUntil(sim.now + cut + 2*time.Second)
			if answer.Outcome != dispatch.Completed || sim.starts != 1 {
				t.Errorf("got %+v after %d starts, want completed after one", answer, sim.starts)
			}
		})
	}
}

// TestRefusalAfterAResetIsRemembered guards against an offer that starts after the dispatcher was
// told that it never would: the refusal is lost, and the offer is repeated after a reset.
func TestRefusalAfterAResetIsRemembered(t *testing.T) {
	t.Parallel()
	sim := newFleet(t, 1, 1, 1, taskCPU, 0)
	sim.estimate = accurateEstimate
	sim.duration = func(lessee.StartRun) time.Duration { return 500 * time.Millisecond }
	sim.runUntil(2 * time.Second)
	d := sim.processes["d0"]
	var answers []dispatch.Answer
	sim.onAnswer = func(a dispatch.Answer) { answers = append(answers, a) }
	for call := range uint64(2) {
		sim.deliver(d, dispatch.Submit{Call: call + 1, Job: dispatch.Job{
			ID: fmt.Sprint("j", call), Route: testRoute, Wait: 5 * time.Second,
			Steps: []dispatch.Step{{Count: 1, Demand: message.Resources{MilliCPU: taskCPU}, Estimate: accurateEstimate}},
		}})
	}
	for range 20 {
		sim.runUntil(sim.now + 50*time.Millisecond)
		sim.deliver(d, step.PeerReset{Ref: sim.upstreams[0].agent.ref})
	}
	sim.runUntil(sim.now + 6*time.Second)
	if len(answers) != 2 || answers[0].Outcome != dispatch.Completed || answers[1].Outcome != dispatch.Completed || sim.starts != 2 {
		t.Errorf("got %+v after %d starts, want both completed after two", answers, sim.starts)
	}
}
