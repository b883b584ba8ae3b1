package lessee

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// evidenceBed also collects the reports of evidence.
type evidenceBed struct {
	*testBed
	evidence map[node.ID][]*message.InterferenceReport
}

func (b *evidenceBed) step(event step.Event) {
	b.testBed.step(event)
	for _, action := range b.core.out {
		if a, ok := action.(step.Send); ok && a.Message.Heartbeat != nil && a.Message.Heartbeat.Evidence != nil {
			b.evidence[a.To.ID] = append(b.evidence[a.To.ID], a.Message.Heartbeat.Evidence)
		}
	}
}

// startRoute starts a task of a route that is expected to take 100 ms.
func (b *evidenceBed) startRoute(job, route string) CompletedRun {
	b.seq++
	b.step(received(d0, message.Message{Offer: &message.Offer{
		Seq: b.seq, Task: message.TaskName{Job: job}, RunNumber: 1, Service: "s", Route: route, Demand: message.Resources{MilliCPU: 500},
		EchoedTimestamp: b.now, ExpectedDuration: 100 * time.Millisecond,
	}}))
	s := b.starts[len(b.starts)-1]
	b.step(StartCallCompleted{Handle: s.Handle, Result: CallOK, Clock: b.now})
	return CompletedRun{Name: s.Name, RunNumber: s.RunNumber, Completion: CompletionDone}
}

func (b *evidenceBed) completeRuns(runs ...CompletedRun) {
	for i := range runs {
		runs[i].Number = b.core.upstream.processedUpTo + 1 + int64(i)
	}
	b.step(PollCompleted{SentAt: b.now - time.Millisecond, Incarnation: 1, Clock: b.now, Completed: runs})
}

// watch lets d0 send a heartbeat and returns the answer.
func (b *evidenceBed) watch(w *message.InterferenceWatch) message.Heartbeat {
	b.step(received(d0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, WantReply: true, Watch: w}}))
	return b.heartbeats[d0.ID]
}

// TestEvidenceGoesToThoseWhoWatch guards against evidence that is missing or wrong, sent to
// dispatchers that do not request it or with every heartbeat, or kept for nobody.
func TestEvidenceGoesToThoseWhoWatch(t *testing.T) {
	b := &evidenceBed{newTestBed(t), map[node.ID][]*message.InterferenceReport{}}
	b.open()
	w := &message.InterferenceWatch{Routes: []string{"x", "y"}}
	for i := range 100 {
		b.announce(1, int64(2+i), false)
		b.watch(w)
		runs := []CompletedRun{b.startRoute(fmt.Sprint("x", i), "x")}
		for k := range i % 3 { // Otherwise the load alone would tell which routes run.
			runs = append(runs, b.startRoute(fmt.Sprint("z", i, "-", k), "z"))
		}
		b.now += 100 * time.Millisecond
		if i%2 > 0 { // A run beside one of y takes 1.3 times as long.
			b.now -= 100 * time.Millisecond
			runs = append(runs, b.startRoute(fmt.Sprint("y", i), "y"))
			b.now += 130 * time.Millisecond
			if hb := b.watch(w); hb.Capacity == nil || hb.Capacity.Running["x"] != 1 || hb.Capacity.Running["y"] != 1 {
				t.Fatalf("report %+v while a run of x and one of y are open", hb.Capacity)
			}
		}
		b.completeRuns(runs...)
	}
	reports := b.evidence[d0.ID]
	if n := len(reports); n == 0 || n > 3 || len(b.evidence[d1.ID]) > 0 {
		t.Fatalf("%d reports of evidence in %s, want 1 to 3; %d to a dispatcher that requests none", n, b.now, len(b.evidence[d1.ID]))
	}
	evidence, found := reports[len(reports)-1], false
	for _, p := range evidence.Pairs {
		if route, beside, ok := evidence.Names(p); ok && route == "x" && beside == "y" {
			found = p.Score()/p.Weight() > 0.2
		}
	}
	if !found {
		t.Errorf("evidence %+v does not show that x takes 1.3 times as long beside y", evidence)
	}
	if b.watch(nil); b.core.observer != nil {
		t.Error("runs are observed although no dispatcher requests evidence")
	}
}
