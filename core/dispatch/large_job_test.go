package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// submitSteps submits a job of steps of one task, each after the steps of the result of after.
func (b *testBed) submitSteps(id string, steps int, after func(step int) []int) uint64 {
	b.calls++
	j := Job{ID: id, Route: &site.Route{Name: "r", Service: "s", Stretch: 2, MaxAttempts: 3}, Wait: time.Hour}
	for i := range steps {
		j.Steps = append(j.Steps, Step{Count: 1, Demand: message.Resources{MilliCPU: oneCore}, After: after(i)})
	}
	b.step(Submit{Call: b.calls, Job: j})
	return b.calls
}

// TestStepsStartInOrder checks that a step starts once all steps before it are done, and not
// sooner.
func TestStepsStartInOrder(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 8)
	call := b.submitSteps("job", 4, func(step int) []int {
		return [][]int{nil, nil, {0, 1}, {2, 0}}[step]
	})
	for _, want := range [][]int{{0, 1}, {2}, {3}} {
		offers := b.takeOffers()
		if len(offers) != len(want) {
			t.Fatalf("got %d offers, want the steps %v", len(offers), want)
		}
		for i, o := range offers {
			if o.Task.Step != want[i] {
				t.Errorf("got step %d, want %d", o.Task.Step, want[i])
			}
			if len(b.takeOffers()) > 0 {
				t.Error("a step was offered before all steps before it were done")
			}
			b.complete(o, message.RunDone, "")
		}
	}
	if a := b.answers[call]; a.Outcome != Completed {
		t.Errorf("got %+v, want completed", a)
	}
}

// TestOpenTasksAreBounded guards against many large jobs whose tasks take all memory, and against
// ordinary jobs that are refused beside them.
func TestOpenTasksAreBounded(t *testing.T) {
	b := newTestBed(t)
	b.core.cfg.MaxOpenTasks = 100
	b.connectAgents(1, 1)
	none := func(int) []int { return nil }
	first := b.submitSteps("larger than the bound", 150, none)
	if a, ok := b.answers[first]; ok {
		t.Fatalf("the only job was answered with %+v", a)
	}
	if a := b.answers[b.submitSteps("second", 50, none)]; a.Outcome != Refused || a.Reason != reasonTooManyTasks || a.RetryAfter == 0 {
		t.Errorf("got %+v, want refused for too many tasks with a retry delay", a)
	}
	for i := range 20 {
		if a, ok := b.answers[b.submitSteps(fmt.Sprint("small ", i), uncountedTasks, none)]; ok {
			t.Errorf("small job: answered with %+v", a)
		}
	}
	b.step(CallerGone{Call: first})
	if a, ok := b.answers[b.submitSteps("third", 50, none)]; ok {
		t.Errorf("a job after the end of the first one: answered with %+v", a)
	}
}

// TestTinyTasksAreBounded guards against tasks that ask for next to nothing, so that all of them
// are offered to one agent at once.
func TestTinyTasksAreBounded(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	b.submitDemand("job", 0, 1500, 0, 0)
	if n := len(b.takeOffers()); n != oneCore/minTaskMilliCPU {
		t.Errorf("%d tasks were offered to an agent with one core, want %d", n, oneCore/minTaskMilliCPU)
	}
}
