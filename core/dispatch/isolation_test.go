package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// crash lets an agent report that its upstream has crashed right after it had started the
// first tasks of these jobs, all of the route, and that it is down.
func (b *testBed) crash(agent int, route string, jobs ...string) {
	b.t.Helper()
	a := b.core.agents[ref(agent)]
	x := message.Crash{Number: a.knownCrash + 1}
	for _, j := range jobs {
		x.Runs = append(x.Runs, message.CrashedRun{Task: message.TaskName{Job: j}, Route: route, Age: 10 * time.Millisecond})
	}
	b.receive(agent, message.Message{Heartbeat: &message.Heartbeat{
		Timestamp: b.now, Revision: 1, Crashes: []message.Crash{x}, Capacity: &message.CapacityReport{Version: uint64(b.now), InfoVersion: 1},
	}})
	for _, t := range a.openOffers {
		b.complete(message.Offer{Seq: t.seq}, message.RunLost, message.LostUpstreamCrashed)
	}
}

// reportBusy lets n agents with this number of cores report that they are up and use so many
// of them.
func (b *testBed) reportBusy(n, cores, used int) {
	for i := range n {
		b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{
			Version: uint64(b.now), Ready: true, InfoVersion: 1, Used: message.Resources{MilliCPU: used * oneCore},
			Info: &message.UpstreamInfo{Service: "s", Capacity: message.Resources{MilliCPU: cores * oneCore}},
		}}})
	}
}

// confine lets two jobs of the route crash two upstreams each, and returns the isolated
// agents.
func (b *testBed) confine(route string) []node.ID {
	b.t.Helper()
	for i, job := range []string{"bad1", "bad2"} {
		b.crash(2*i, route, job)
		b.now += 100 * time.Millisecond
		b.crash(2*i+1, route, job)
		b.now += 100 * time.Millisecond
	}
	if !b.core.crashes.RouteConfined(b.now, route) {
		b.t.Fatalf("route %s is not confined after the crashes of two jobs", route)
	}
	return b.isolated()
}

func (b *testBed) isolated() []node.ID {
	var list []node.ID
	for _, a := range b.core.sortedAgents {
		if a.isolated {
			list = append(list, a.ref.ID)
		}
	}
	return list
}

// submitOn submits a job of a route, whose tasks have one core each, and returns its call.
func (b *testBed) submitOn(route, id string, tasks int, label string) uint64 {
	b.calls++
	b.step(Submit{Call: b.calls, Job: Job{
		ID: id, Wait: 1500 * time.Millisecond,
		Route: &site.Route{Name: route, Service: "s", MaxAttempts: 2, Stretch: 1.6, Margin: 60 * time.Millisecond},
		Steps: []Step{{Count: tasks, Demand: message.Resources{MilliCPU: oneCore}, Estimate: 60 * time.Millisecond, RequiredLabel: label}},
	}})
	return b.calls
}

// offeredAgents returns the agents of the offers since the last call, without repetitions.
func (b *testBed) offeredAgents() []node.ID {
	var list []node.ID
	for _, o := range b.takeOffers() {
		list = append(list, b.offeredTo[o.Seq])
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// TestConfinedRouteKeepsToItsUpstreams guards against a route whose tasks crash upstreams
// all over the fleet, and against tasks of other routes beside them.
func TestConfinedRouteKeepsToItsUpstreams(t *testing.T) {
	const agents = 12
	b := newTestBed(t)
	b.connectAgents(agents, 10)
	b.reportBusy(agents, 10, 6)
	isolated := b.confine("bad")
	if len(isolated) != agents/isolationDivisor {
		t.Fatalf("isolated agents %v, want a share of 1/%d of %d", isolated, isolationDivisor, agents)
	}
	b.reportBusy(agents, 10, 1)
	b.submitOn("other", "o", 60, "")
	for _, id := range b.offeredAgents() {
		if slices.Contains(isolated, id) {
			t.Errorf("a task of another route was offered to %s, which is isolated", id)
		}
	}
	b.submitOn("bad", "b", 6, "")
	offered := b.offeredAgents()
	for _, id := range offered {
		if !slices.Contains(isolated, id) {
			t.Errorf("a task of the confined route was offered to %s, want only %v", id, isolated)
		}
	}
	if len(offered) != 1 {
		t.Errorf("the tasks of the confined job were offered to %v, want them together on one", offered)
	}
}

// TestConfinedRouteIsRefusedAtOnce checks that jobs of a confined route do not wait for
// upstreams that are down, neither new ones nor those that wait already, and that other
// routes are served.
func TestConfinedRouteIsRefusedAtOnce(t *testing.T) {
	const agents = 12
	b := newTestBed(t)
	b.connectAgents(agents, 10)
	b.reportBusy(agents, 10, 9)
	isolated := b.confine("bad")
	b.reportBusy(agents, 10, 9)
	b.submitOn("bad", "running", len(isolated), "")
	waiting := b.submitOn("bad", "waiting", 1, "")
	if a, answered := b.answers[waiting]; answered {
		t.Fatalf("the waiting job was answered with %+v while isolated upstreams are up", a)
	}
	for i := range agents {
		if slices.Contains(isolated, ref(i).ID) {
			b.crash(i, "bad", fmt.Sprintf("next%d", i))
		}
	}
	late := b.submitOn("bad", "late", 1, "")
	for name, call := range map[string]uint64{"waiting": waiting, "late": late} {
		if a := b.answers[call]; a.Outcome != Refused || a.Reason != reasonConfined || a.RetryAfter == 0 {
			t.Errorf("%s job: answered with %+v, want it refused at once with a retry delay", name, a)
		}
	}
	b.takeOffers()
	b.submitOn("other", "o", 1, "")
	if len(b.takeOffers()) != 1 {
		t.Error("the job of another route was not placed")
	}
}

// TestSuspectStartsAlone checks that a suspect is offered to an isolated upstream that gets
// no other job until the suspect has completed.
func TestSuspectStartsAlone(t *testing.T) {
	const agents = 4 // One of them is isolated.
	b := newTestBed(t)
	b.connectAgents(agents, 10)
	b.submitOn("r", "suspect", 1, "")
	first := b.takeOffers()[0]
	at := slices.IndexFunc([]int{0, 1, 2, 3}, func(i int) bool { return ref(i).ID == b.offeredTo[first.Seq] })
	b.crash(at, "r", "suspect", "beside")
	offers := b.takeOffers()
	if len(offers) != 1 || offers[0].Isolation != message.Alone || !slices.Contains(b.isolated(), b.offeredTo[offers[0].Seq]) {
		t.Fatalf("got offers %+v, want one that starts alone on one of %v", offers, b.isolated())
	}
	alone := b.offeredTo[offers[0].Seq]
	b.submitOn("r", "other", 20, "")
	if ids := b.offeredAgents(); slices.Contains(ids, alone) {
		t.Errorf("tasks of another job were offered to %s, where a suspect has just started", alone)
	}
	b.complete(offers[0], message.RunDone, "")
	b.submitOn("r", "third", 9, "")
	if ids := b.offeredAgents(); !slices.Contains(ids, alone) {
		t.Errorf("tasks were offered to %v, want %s too after the suspect has completed", ids, alone)
	}
}

// TestJobOfCondemnedTaskIsInterrupted guards against a final answer on a guess, and against a
// refusal that denies a start. It checks that the job is answered as interrupted as soon as
// its task is condemned, and again when its caller submits it again.
func TestJobOfCondemnedTaskIsInterrupted(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(8, 10)
	call := b.submitOn("r", "bad", 1, "")
	b.crash(0, "r", "bad")
	b.now += 20 * time.Millisecond
	b.crash(1, "r", "bad")
	if a := b.answers[call]; a.Outcome != Interrupted || a.Reason != reasonCrashes {
		t.Errorf("answered with %+v, want interrupted", a)
	}
	b.takeOffers()
	again := b.submitOn("r", "bad", 1, "")
	if a := b.answers[again]; a.Outcome != Interrupted || len(b.takeOffers()) != 0 {
		t.Errorf("submitted again: answered with %+v, want interrupted without another offer", a)
	}
}

// TestJobThatHasRunIsNotRefused guards against a refusal, which says that nothing has run, of
// a job that a crash report names: it has run in an earlier submission, at any dispatcher.
func TestJobThatHasRunIsNotRefused(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(8, 10)
	b.reportBusy(8, 10, 10)
	b.crash(0, "r", "ran")
	call := b.submitOn("r", "ran", 1, "")
	for range 30 {
		b.now += 100 * time.Millisecond
		b.step(step.Tick{})
	}
	if a := b.answers[call]; a.Outcome != Interrupted || a.Reason == reasonPaused {
		t.Errorf("given up while waiting: answered with %+v, want interrupted", a)
	}
	b.crash(0, "r", "again")
	b.step(step.Drain{})
	call = b.submitOn("r", "again", 1, "")
	if a := b.answers[call]; a.Outcome != Interrupted {
		t.Errorf("not accepted: answered with %+v, want interrupted", a)
	}
}

// TestIsolatedLabelGroup checks that confined tasks run on the upstreams that have their
// label, even if none of the isolated upstreams of the service has it.
func TestIsolatedLabelGroup(t *testing.T) {
	const agents = 12
	b := newTestBed(t)
	b.connectAgents(agents, 10)
	isolated := b.confine("bad")
	b.reportIdle(agents, 10)
	labelled := slices.IndexFunc(slices.Collect(func(yield func(node.ID) bool) {
		for i := range agents {
			if !yield(ref(i).ID) {
				return
			}
		}
	}), func(id node.ID) bool { return !slices.Contains(isolated, id) })
	b.receive(labelled, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{
		Version: uint64(b.now) + 1, Ready: true, InfoVersion: 2,
		Info: &message.UpstreamInfo{Service: "s", Labels: []string{"rare"}, Capacity: message.Resources{MilliCPU: 10 * oneCore}},
	}}})
	b.submitOn("bad", "b", 1, "rare")
	if ids := b.offeredAgents(); !slices.Equal(ids, []node.ID{ref(labelled).ID}) {
		t.Errorf("offered to %v, want %s, the only one with the label", ids, ref(labelled).ID)
	}
}

// TestIsolatedUpstreamsServeAllAlone checks that the isolated upstreams run the tasks of all
// routes while no other upstream can get work.
func TestIsolatedUpstreamsServeAllAlone(t *testing.T) {
	const agents = 8
	b := newTestBed(t)
	b.connectAgents(agents, 10)
	isolated := b.confine("bad")
	for i := range agents {
		if up := slices.Contains(isolated, ref(i).ID); up {
			b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{Version: uint64(b.now) + 1, Ready: true, InfoVersion: 1}}})
		} else {
			b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{Version: uint64(b.now) + 1, InfoVersion: 1}}})
		}
	}
	b.advance(isolationRefresh)
	b.submitOn("other", "o", 1, "")
	if ids := b.offeredAgents(); len(ids) != 1 || !slices.Contains(isolated, ids[0]) {
		t.Errorf("offered to %v, want one of %v", ids, isolated)
	}
}

// TestIsolatedUpstreamsFollowTheLoad checks that the confined route gets the upstreams that
// the other routes do not need, and gives them back when they do.
func TestIsolatedUpstreamsFollowTheLoad(t *testing.T) {
	const agents = 12
	b := newTestBed(t)
	b.connectAgents(agents, 10)
	b.reportBusy(agents, 10, 6)
	usual := len(b.confine("bad"))
	for _, phase := range []struct {
		name      string
		used      int
		low, high int
	}{
		{"the others are idle", 0, agents - 1, agents - 1},
		{"the others are half busy", 6, agents - 1, agents - 1},
		{"the others are busy", 9, usual, usual},
	} {
		for range 20 {
			b.now += isolationResize
			b.reportBusy(agents, 10, phase.used)
			b.step(step.Tick{})
		}
		if n := len(b.isolated()); n < phase.low || n > phase.high {
			t.Errorf("%s: %d isolated upstreams, want %d to %d", phase.name, n, phase.low, phase.high)
		}
	}
}

// TestSuspectOfOtherRouteIsFreed guards against innocent tasks that wait for the isolated
// upstreams, which are down, although the route that crashes upstreams is known by then.
func TestSuspectOfOtherRouteIsFreed(t *testing.T) {
	const agents = 12
	b := newTestBed(t)
	b.connectAgents(agents, 10)
	b.reportBusy(agents, 10, 9)
	isolated := b.confine("bad")
	b.reportBusy(agents, 10, 9)
	b.submitOn("other", "innocent", 1, "")
	offers := b.takeOffers()
	at := slices.IndexFunc(b.core.sortedAgents, func(a *agent) bool { return a.ref.ID == b.offeredTo[offers[0].Seq] })
	b.crash(at, "other", "innocent")
	again := b.takeOffers()
	if len(again) != 1 || again[0].Isolation != message.NotIsolated || slices.Contains(isolated, b.offeredTo[again[0].Seq]) {
		t.Errorf("got offers %+v after the crash, want the task placed at once on an upstream that is not isolated", again)
	}
}

// TestRestartedAgentsCountOnce guards against mass events that are not recognised after agents
// have restarted: each of their incarnations counted as an upstream of its own.
func TestRestartedAgentsCountOnce(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(4, 10)
	b.step(AgentConnected{Agent: node.Ref{ID: ref(0).ID, Incarnation: 2}, Domain: "z0", Former: ref(0)})
	b.core.agents[node.Ref{ID: ref(0).ID, Incarnation: 2}].info.Service = "s"
	if n := b.core.upstreamsOf("s"); n != 4 {
		t.Errorf("got %d upstreams after one of 4 agents has restarted, want 4", n)
	}
}
