package dispatch

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// TestRareLabel checks jobs whose tasks may run on one upstream in a hundred, in a fleet in
// which idle agents report seldom: the tasks go there at once, and while that upstream is
// full, its agent is the only one that is notified, and gets the task when it has completed
// another.
func TestRareLabel(t *testing.T) {
	const agents, labelled = 100, 77
	b := newTestBed(t)
	b.connectAgents(agents, 4)
	for i := range agents {
		info := &message.UpstreamInfo{Service: "s", Domain: "z1", Capacity: message.Resources{MilliCPU: oneCore}}
		if i == labelled {
			info.Labels = []string{"gpu"}
		}
		b.receive(i, message.Message{Heartbeat: &message.Heartbeat{
			Timestamp: b.now, Revision: 1, IdleInterval: largeFleetInterval,
			Capacity: &message.CapacityReport{Version: uint64(b.now) + 1, Ready: true, InfoVersion: 2, Info: info},
		}})
	}
	b.advance(largeFleetInterval)
	submit := func(id string) {
		b.calls++
		b.step(Submit{Call: b.calls, Job: Job{
			ID: id, Wait: 5 * time.Second, Route: &site.Route{Name: "r", Service: "s", MaxAttempts: 2, Stretch: 1.6},
			Steps: []Step{{Count: 1, Demand: message.Resources{MilliCPU: oneCore}, Estimate: time.Second, RequiredLabel: "gpu"}},
		}})
	}
	submit("first")
	first := b.takeOffers()
	if len(first) != 1 || b.offeredTo[first[0].Seq] != ref(labelled).ID {
		t.Fatalf("got offers %+v, want one to the agent whose upstream has the label", first)
	}
	clear(b.heartbeats)
	submit("second")
	if _, ok := b.heartbeats[ref(labelled).ID]; !ok || len(b.heartbeats) != 1 || len(b.takeOffers()) != 0 {
		t.Errorf("got %d agents notified of the waiting task, want only the one whose upstream has the label", len(b.heartbeats))
	}
	b.complete(first[0], message.RunDone, "")
	if got := jobIDs(b.takeOffers()); len(got) != 1 || got[0] != "second" {
		t.Errorf("got offers of %v after the completion, want the second job", got)
	}
}

// TestUpstreamOfAnotherKind checks the offer of a task whose upstream has restarted with other
// labels, unknown to the dispatcher: the offer names the label, and after the refusal the task
// goes to another upstream that has it.
func TestUpstreamOfAnotherKind(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 4)
	report := func(cores int, labels ...string) *message.CapacityReport {
		return &message.CapacityReport{
			Version: uint64(b.now) + 1, Ready: true, InfoVersion: uint64(b.now) + 1,
			Info: &message.UpstreamInfo{Service: "s", Domain: "z1", Labels: labels, Capacity: message.Resources{MilliCPU: cores * oneCore}},
		}
	}
	for i := range 2 {
		b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: report(4, "gpu")}})
	}
	b.step(Submit{Call: 1, Job: Job{
		ID: "j", Wait: 5 * time.Second, Route: &site.Route{Name: "r", Service: "s", MaxAttempts: 2, Stretch: 1.6},
		Steps: []Step{{Count: 1, Demand: message.Resources{MilliCPU: oneCore}, Estimate: time.Second, RequiredLabel: "gpu"}},
	}})
	first := b.takeOffers()
	if len(first) != 1 || first[0].RequiredLabel != "gpu" {
		t.Fatalf("got offers %+v, want one that names the required label", first)
	}
	b.now += time.Millisecond
	b.step(step.Received{Envelope: message.Envelope{
		From: node.Ref{ID: b.offeredTo[first[0].Seq], Incarnation: 1},
		Messages: []message.Message{{RunCompletion: &message.RunCompletion{
			Seq: first[0].Seq, Result: message.RunRefused, Reason: message.RefusedMissingLabel, Capacity: report(64),
		}}},
	}})
	second := b.takeOffers()
	if len(second) != 1 || b.offeredTo[second[0].Seq] == b.offeredTo[first[0].Seq] {
		t.Errorf("got offers %+v after the refusal, want one to the other agent", second)
	}
	if len(second) == 1 && second[0].RunNumber != 1 {
		t.Errorf("got run number %d, want 1: nothing has been started", second[0].RunNumber)
	}
}
