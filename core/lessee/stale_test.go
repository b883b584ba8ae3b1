package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestRunThatEndedBeforeItsRepeatedStart guards against a second run of a task whose first one
// ended before the start call, which had got no answer, was repeated.
func TestRunThatEndedBeforeItsRepeatedStart(t *testing.T) {
	for _, tt := range []struct {
		name      string
		completed []CompletedRun
		want      message.RunResult
	}{
		{"done", []CompletedRun{{Number: 1, Name: message.TaskName{Job: "j"}, RunNumber: 1, Completion: CompletionDone}}, message.RunDone},
		{"refused for a run of an earlier submission", nil, message.RunLost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t)
			b.open()
			b.offer(d0, "j")
			handle := b.starts[0].Handle
			b.now += 30 * time.Millisecond
			b.step(StartCallCompleted{Handle: handle, Result: CallUnknown})
			pollSentAt := b.now
			b.now += time.Millisecond
			b.step(StartCallCompleted{Handle: handle, Result: CallStaleRun, Clock: b.now})
			b.step(PollCompleted{Renewal: true, SentAt: pollSentAt, Incarnation: 1, Clock: b.now})
			if len(b.starts) != 2 || len(b.completions) != 0 {
				t.Fatalf("after the refusal: got %d start calls and completions %+v, want 2 and none before a later poll", len(b.starts), b.completions)
			}
			b.now += time.Millisecond
			b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: tt.completed})
			if len(b.starts) != 2 || len(b.completions) != 1 || b.lastCompletion().Result != tt.want {
				t.Errorf("after a poll: got %d start calls and completions %+v, want 2 and one with result %s", len(b.starts), b.completions, tt.want)
			}
		})
	}
}
