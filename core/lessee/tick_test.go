package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// TestNoTicksForPollsThatAreNotSent guards against an agent that wakes up every millisecond for
// good: the last poll has failed, and no other one is due, since the upstream has no runs.
func TestNoTicksForPollsThatAreNotSent(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "j")
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{SentAt: b.now, Token: b.core.token, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{
		{Number: 1, Name: message.TaskName{Job: "j"}, RunNumber: 1, Completion: CompletionDone},
	}})
	b.now += time.Millisecond
	b.step(PollCompleted{SentAt: b.now, Token: b.core.token, Incarnation: 1, Clock: b.now, AcknowledgedUpTo: 1})
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Result: CallUnknown})
	const span = time.Second
	ticks := 0
	for end := b.now + span; b.now < end; ticks++ {
		b.now = b.core.nextTick()
		b.step(step.Tick{})
	}
	if limit := int(span / (10 * time.Millisecond)); ticks > limit {
		t.Errorf("got %d ticks in %v without runs, want at most %d", ticks, span, limit)
	}
}
