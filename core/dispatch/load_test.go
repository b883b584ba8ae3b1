package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pressure"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// Tests under load: which jobs wait, which are refused, which agents get work.

// TestUrgentJobsGoFirst checks the order of placement by priority: an urgent job that
// arrives while every agent is full gets the next free capacity, before a job that has
// waited longer.
func TestUrgentJobsGoFirst(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	b.submit("running", 2, 1, time.Second)
	running := b.takeOffers()[0]
	b.submit("normal", 2, 1, time.Second)
	b.submit("urgent", 0, 1, time.Second)
	b.complete(running, message.RunDone, "")
	if got := jobIDs(b.takeOffers()); !slices.Equal(got, []string{"urgent"}) {
		t.Errorf("got offers of %v, want the urgent job only", got)
	}
}

// TestBurstOverCapacity guards against a burst that makes all jobs late: jobs that can
// still meet their objectives go before those that cannot.
func TestBurstOverCapacity(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	b.submit("running", 1, 1, 100*time.Millisecond)
	running := b.takeOffers()[0]
	for i := range 3 {
		b.submit(fmt.Sprintf("burst-%d", i), 1, 1, 100*time.Millisecond)
	}
	for range 4 {
		b.now += 50 * time.Millisecond
		b.sendHeartbeats(1)
	}
	b.submit("fresh", 1, 1, 100*time.Millisecond)
	b.complete(running, message.RunDone, "")
	if got := jobIDs(b.takeOffers()); !slices.Equal(got, []string{"fresh"}) {
		t.Errorf("got offers of %v, want only the job that can meet its objective", got)
	}
}

// TestInfeasibleJobIsRefusedEarly checks that a waiting job is refused as soon as it
// cannot meet its deadline, not at the deadline, so that its caller has time to submit it
// elsewhere.
func TestInfeasibleJobIsRefusedEarly(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	b.submit("running", 0, 1, time.Second)
	call := b.submit("waits", 1, 1, 1000*time.Millisecond)
	for range 30 {
		b.now += 50 * time.Millisecond
		b.sendHeartbeats(1)
		if a, ok := b.answers[call]; ok {
			if a.Outcome != Refused || a.RetryAfter == 0 {
				t.Errorf("got answer %+v, want a refusal with a retry delay", a)
			}
			if waited := b.now - time.Second; waited > time.Second {
				t.Errorf("refused after %v, want at most 1 s: the task takes at least 0.6 s and the caller waits 1.5 s", waited)
			}
			return
		}
	}
	t.Error("job that cannot meet its deadline was never refused")
}

// TestAgentsAreNotifiedOfWaitingTasks checks that agents are notified of waiting tasks,
// and that a report of freed capacity leads to a placement at once.
func TestAgentsAreNotifiedOfWaitingTasks(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	b.submit("running", 0, 1, time.Second)
	b.submit("waits", 0, 1, time.Second)
	b.advance(notifyInterval)
	b.sendHeartbeats(1)
	if w := b.heartbeats["a0"].FirstWaiting; w == nil || w.Priority != 0 || w.Demand.MilliCPU != oneCore {
		t.Fatalf("got %+v as the first waiting task in the heartbeat, want the task of one core", w)
	}
	b.takeOffers()
	b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{
		Version: uint64(b.now), Ready: true, Used: message.Resources{MilliCPU: oneCore}, MaxIncludedSeq: 1, InfoVersion: 2,
		Info: &message.UpstreamInfo{Service: "s", Domain: "z0", Capacity: message.Resources{MilliCPU: 2 * oneCore}},
	}}})
	if got := jobIDs(b.takeOffers()); !slices.Equal(got, []string{"waits"}) {
		t.Errorf("got offers of %v after the report of freed capacity, want the waiting job", got)
	}
}

// TestWideJobsSpread checks that the tasks of a job with many tasks go to the agents with
// the most free capacity, and that no agent is offered more than it has capacity for.
func TestWideJobsSpread(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(4, 4)
	b.submit("wide", 0, 16, time.Second)
	tasksPerAgent := map[string]int{}
	for _, o := range b.takeOffers() {
		tasksPerAgent[string(b.offeredTo[o.Seq])]++
	}
	for agent, n := range tasksPerAgent {
		if n != 4 {
			t.Errorf("agent %s: got %d tasks, want 4 of 16 on each of 4 agents", agent, n)
		}
	}
}

// TestFailingWorker checks that an agent whose upstream fails every run gets no more work
// after a few failures of several jobs.
func TestFailingWorker(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(4, 4)
	failed := 0
	for i := range 200 {
		b.now += 5 * time.Millisecond
		b.sendHeartbeats(4)
		b.submit(fmt.Sprintf("j%d", i), 0, 1, 50*time.Millisecond)
		for offers := b.takeOffers(); len(offers) > 0; offers = b.takeOffers() {
			for _, o := range offers {
				if b.offeredTo[o.Seq] == "a1" {
					failed++
					b.complete(o, message.RunFailed, "")
				} else {
					b.complete(o, message.RunDone, "")
				}
			}
		}
	}
	if failed > 20 {
		t.Errorf("got %d offers for 200 jobs to the failing worker, want at most 20", failed)
	}
}

// TestTaskWithoutProgress checks that a task without progress moves to another worker,
// and that after two such moves it may run for as long as it takes.
func TestTaskWithoutProgress(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(3, 4)
	b.submit("j", 0, 1, 100*time.Millisecond)
	tried := map[string]bool{}
	for move := range 3 {
		offers := b.takeOffers()
		if len(offers) != 1 {
			t.Fatalf("move %d: got %d offers, want 1", move, len(offers))
		}
		o := offers[0]
		if agent := string(b.offeredTo[o.Seq]); tried[agent] {
			t.Errorf("move %d: task offered to agent %s again", move, agent)
		} else {
			tried[agent] = true
		}
		if (o.ExpectedDuration == 0) != (move == maxTooSlowRuns) {
			t.Errorf("move %d: got expected duration %v, want zero only after the last move", move, o.ExpectedDuration)
		}
		b.complete(o, message.RunStopped, message.RefusedTooSlow)
	}
}

// TestLargeConfiguration guards against heartbeats that are delayed by a large site state
// on a narrow link: the state is sent only to agents that request it, and to all of them
// together at a limited rate.
func TestLargeConfiguration(t *testing.T) {
	const agents = 60
	b := newTestBed(t)
	b.connectAgents(agents, 4)
	large := &site.State{Revision: 2, Configured: true, Routes: make([]site.Route, 3000)}
	b.step(SiteChanged{State: large})
	states := func(want bool) int {
		n := 0
		for range 20 {
			b.now += 50 * time.Millisecond
			for i := range agents {
				clear(b.heartbeats)
				b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, WantSite: want}})
				if hb, ok := b.heartbeats[ref(i).ID]; ok && hb.Site != nil {
					n++
				}
			}
		}
		return n
	}
	if n := states(false); n != 0 {
		t.Errorf("got %d site states sent to agents that did not request one, want none", n)
	}
	if n := states(true); n < 1 || n > 3 {
		t.Errorf("got %d site states of about 600 KB sent in a second, want 1 to 3", n)
	}
}

// TestRequestsMissedSiteState checks that a dispatcher whose site state remains older
// than that of an agent requests the agent's state.
func TestRequestsMissedSiteState(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 4)
	requested := false
	for range 20 {
		b.now += 50 * time.Millisecond
		b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 2}})
		requested = requested || b.heartbeats["a0"].WantSite
	}
	if !requested {
		t.Fatal("the site state with the higher revision was never requested")
	}
	b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 2, Site: &site.State{Revision: 2, Configured: true}}})
	if got := b.core.Stats().Revision; got != 2 {
		t.Errorf("got revision %d after the answer, want 2", got)
	}
}

// TestBurstOfCompletions guards against one placement for each completion: when many runs
// complete at once while many jobs wait, a busy process would fall further behind. One
// placement must follow for the whole batch.
func TestBurstOfCompletions(t *testing.T) {
	const agents, completions = 60, 200
	l := newLoadBed(agents, 300)
	var events []step.Event
	for i := range completions {
		events = append(events, step.Received{Envelope: message.Envelope{
			From: ref(i % agents), Messages: []message.Message{{RunCompletion: &message.RunCompletion{Seq: 1 << 40, Result: message.RunDone}}},
		}})
	}
	before := l.core.Stats().AgentsExamined
	for _, e := range events {
		l.core.Handle(clock.Now{Mono: l.now}, e)
	}
	l.core.EndBatch(clock.Now{Mono: l.now})
	if examined := l.core.Stats().AgentsExamined - before; examined > 2*maxPlacementMisses*agents {
		t.Errorf("got %d agents examined for %d completions, want about %d", examined, completions, maxPlacementMisses*agents)
	}
}

// TestOverloadedProcess checks that a dispatcher that falls behind its work refuses jobs
// at once, the less urgent ones first, and refers their callers to other dispatchers. It
// must accept all jobs again when it has caught up.
func TestOverloadedProcess(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(4, 64)
	send := func(id string, priority int, delay time.Duration) Answer {
		b.calls++
		b.step(Submit{Call: b.calls, ReceivedAt: b.now - delay, Job: Job{
			ID: id, Wait: time.Second, Route: &site.Route{Service: "s", Priority: priority, MaxAttempts: 1},
			Steps: []Step{{Count: 1, Demand: message.Resources{MilliCPU: 1}}},
		}})
		return b.answers[b.calls]
	}
	for i := range 20 {
		if a := send(fmt.Sprint("early-", i), 1, 40*time.Millisecond); a.Outcome != "" {
			t.Fatalf("answered %v after the first long delay with %+v, want the job accepted", time.Duration(i)*10*time.Millisecond, a)
		}
		b.now += 10 * time.Millisecond
	}
	if a := send("normal", 1, 40*time.Millisecond); a.Outcome != Refused || a.Reason != reasonOverloaded || !a.TryOtherDispatcher || a.RetryAfter == 0 {
		t.Errorf("normal job after a long queue delay: got %+v, want a refusal that refers to other dispatchers", a)
	}
	if a := send("urgent", 0, 40*time.Millisecond); a.Outcome != "" {
		t.Errorf("urgent job after the same queue delay: got %+v, want it accepted", a)
	}
	if a := send("urgent-late", 0, 150*time.Millisecond); a.Reason != reasonOverloaded {
		t.Errorf("urgent job after a longer queue delay: got %+v, want a refusal", a)
	}
	if !b.core.Stats().Overloaded || !b.overloaded {
		t.Error("overload not reported")
	}
	if a := send("after", 1, time.Millisecond); a.Outcome != "" {
		t.Errorf("job after the backlog: got %+v, want it accepted", a)
	}
	b.advance(pressure.Recovery + 100*time.Millisecond)
	if b.core.Stats().Overloaded || b.overloaded {
		t.Error("recovery from overload not reported")
	}
}

// TestUrgentTaskIsNotifiedAtOnce checks that, while less urgent tasks wait, a few agents
// are notified of a more urgent one before the next round to all agents.
func TestUrgentTaskIsNotifiedAtOnce(t *testing.T) {
	const agents = 40
	b := newTestBed(t)
	b.connectAgents(agents, 1)
	b.submit("running", 2, agents, time.Second)
	b.submit("normal", 2, 1, time.Second)
	b.now += urgentNotifyInterval
	clear(b.heartbeats)
	b.submit("urgent", 0, 1, time.Second)
	notified := 0
	for _, hb := range b.heartbeats {
		if w := hb.FirstWaiting; w != nil && w.Priority == 0 {
			notified++
		}
	}
	if notified != urgentNotifyCount {
		t.Errorf("got %d agents notified of the urgent task, want %d", notified, urgentNotifyCount)
	}
	b.now += urgentNotifyInterval
	clear(b.heartbeats)
	b.submit("urgent-2", 0, 1, time.Second)
	if len(b.heartbeats) != 0 {
		t.Errorf("got %d heartbeats for a task that is no more urgent than the last, want none", len(b.heartbeats))
	}
}

// TestIdleAgentsCostLittle limits the cost of large fleets: an agent without runs of this
// dispatcher gets one heartbeat a second, and an agent with runs gets proof that the
// dispatcher is alive in reply to each of its heartbeats.
func TestIdleAgentsCostLittle(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	countHeartbeats := func() (n [2]int) {
		for range 10 {
			b.now += 100 * time.Millisecond
			clear(b.heartbeats)
			b.sendHeartbeats(2)
			for i := range n {
				if _, ok := b.heartbeats[ref(i).ID]; ok {
					n[i]++
				}
			}
		}
		return n
	}
	countHeartbeats()
	if n := countHeartbeats(); n[0] > 1 || n[1] > 1 {
		t.Errorf("got %v heartbeats in a second to agents without runs, want at most 1 each", n)
	}
	b.submit("j", 0, 1, time.Second)
	busy := int(b.offeredTo[b.takeOffers()[0].Seq][1] - '0')
	if n := countHeartbeats(); n[busy] < 9 || n[1-busy] > 2 {
		t.Errorf("got %v heartbeats in a second, want at least 9 to the agent with a run (%d) and at most 2 to the other", n, busy)
	}
}

// TestWorkStaysInItsDomain checks that a load that the agents of the dispatcher's failure
// domain can serve stays there, and that more work than that goes to other domains at once.
func TestWorkStaysInItsDomain(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(4, 10) // One agent in each of z0 to z3; the dispatcher is in z0.
	for i := range 13 {
		b.submit(fmt.Sprintf("j%d", i), 0, 1, time.Second)
	}
	counts := map[string]int{}
	offers := b.takeOffers()
	for i, o := range offers {
		to := string(b.offeredTo[o.Seq])
		counts[to]++
		if i == 4 && counts["a0"] != 5 {
			t.Errorf("got the first 5 tasks on %v, want all of them in the own domain", counts)
		}
	}
	if len(offers) != 13 || counts["a0"] > 10 {
		t.Errorf("got %d offers on %v, want 13, at most 10 of them in the own domain", len(offers), counts)
	}
}

// TestOldReportsInAFullFleet guards against refused offers when a burst meets a full fleet:
// agents that reported free capacity long ago are most likely full by now. They are notified
// of the waiting task, and the first of them that reports free capacity gets it.
func TestOldReportsInAFullFleet(t *testing.T) {
	const agents, recent = 40, 10
	newBed := func(usedByRecent int) *testBed {
		b := newTestBed(t)
		b.connectAgents(agents, 4)
		b.sendIdleHeartbeats(agents)
		b.advance(1500 * time.Millisecond)
		for i := range recent {
			b.receive(i, message.Message{Heartbeat: &message.Heartbeat{
				Timestamp: b.now, Revision: 1, IdleInterval: largeFleetInterval,
				Capacity: &message.CapacityReport{Version: uint64(b.now), Ready: true, InfoVersion: 1, Used: message.Resources{MilliCPU: usedByRecent * oneCore}},
			}})
		}
		clear(b.heartbeats)
		return b
	}
	b := newBed(4)
	b.submit("j", 0, 1, time.Second)
	if offers := b.takeOffers(); len(offers) != 0 {
		t.Fatalf("got offers %+v while all agents with a new report are full, want none", offers)
	}
	if n := len(b.heartbeats); n != notifyCount {
		t.Errorf("got %d agents notified of the waiting task, want %d", n, notifyCount)
	}
	b.receive(agents-1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, IdleInterval: largeFleetInterval}})
	if offers := b.takeOffers(); len(offers) != 1 || b.offeredTo[offers[0].Seq] != ref(agents-1).ID {
		t.Errorf("got offers %+v, want one to the agent that has just reported free capacity", offers)
	}

	b = newBed(2)
	b.submit("wide", 0, agents, time.Second)
	if n := len(b.takeOffers()); n != agents {
		t.Errorf("got %d offers while agents with a new report are half full, want %d", n, agents)
	}
}
