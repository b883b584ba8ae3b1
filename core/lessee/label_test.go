package lessee

import (
	"slices"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestOfferForAnotherKind checks offers that were chosen for the labels of an upstream that has
// restarted with others since: an offer whose label is missing starts nothing, and its refusal
// tells the dispatcher the new labels.
func TestOfferForAnotherKind(t *testing.T) {
	b := newTestBed(t)
	begin := func(incarnation int64, labels ...string) {
		b.step(Announced{Announcement: Announcement{
			ID: "u", Incarnation: incarnation, Seq: 1, Clock: b.now, Service: "s", Domain: "z0", Labels: labels,
			Capacity: message.Resources{MilliCPU: 4000},
		}})
		b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: incarnation, Clock: b.now})
	}
	offer := func(job, label string) {
		b.seq++
		b.step(received(d0, message.Message{Offer: &message.Offer{
			Seq: b.seq, Task: message.TaskName{Job: job}, RunNumber: 1, Service: "s", RequiredLabel: label,
			Demand: message.Resources{MilliCPU: 1000}, EchoedTimestamp: b.now,
		}}))
	}
	begin(1, "gpu", "ssd")
	b.step(received(d0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, KnownInfoVersion: b.core.infoVersion}}))
	offer("first", "gpu")
	if len(b.starts) != 1 {
		t.Fatalf("got %d starts, want the task whose label the upstream has", len(b.starts))
	}
	b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallOK, Clock: b.now})
	b.step(PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{
		{Number: 1, Name: b.starts[0].Name, RunNumber: 1, Completion: CompletionDone},
	}})

	begin(2, "ssd")
	offer("second", "gpu")
	e := b.lastCompletion()
	if e.Result != message.RunRefused || e.Reason != message.RefusedMissingLabel || len(b.starts) != 1 {
		t.Errorf("got %+v and %d starts, want a refusal for %s and no further start", e, len(b.starts), message.RefusedMissingLabel)
	}
	if e.Capacity == nil || e.Capacity.Info == nil || !slices.Equal(e.Capacity.Info.Labels, []string{"ssd"}) {
		t.Errorf("got the report %+v with the refusal, want the new labels", e.Capacity)
	}
	offer("third", "ssd")
	offer("fourth", "")
	if len(b.starts) != 3 {
		t.Errorf("got %d starts, want also those of the offers that require a label which is there, or none", len(b.starts))
	}
}
