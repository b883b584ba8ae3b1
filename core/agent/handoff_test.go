package agent

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// TestHandedOverStatesAreBounded guards against an agent that runs out of memory on the records of a
// leaving home: the states of the tasks of many jobs that were refused, cancelled or failed.
func TestHandedOverStatesAreBounded(t *testing.T) {
	const parts, answers = 10, 100
	self, home := node.Ref{ID: "agent-a1", Incarnation: 1}, node.Ref{ID: "agent-a2", Incarnation: 1}
	for name, tt := range map[string]struct {
		first job.TaskState
		want  int
	}{
		"none started": {job.NotRun, parts},
		"some started": {job.Running, maxHandoffBytes / (answers * job.MaxTasks * job.StateBytes)},
	} {
		core := New(Config{Self: self, Addr: "127.0.0.1:7201", Domain: "a", Worker: "w"})
		acknowledged := 0
		for part := range parts {
			m := &message.Handoff{Home: home, Part: part}
			for seq := range answers {
				states := make([]job.TaskState, job.MaxTasks)
				for i := range states {
					states[i] = job.NotRun
				}
				states[0] = tt.first
				id := job.Minted{Home: home, Created: 1, Minter: 1, Seq: uint64(part*answers + seq)}.ID()
				m.Answers = append(m.Answers, job.Answer{ID: id, States: states})
			}
			for _, a := range core.Step(clock.Now{Mono: time.Hour}, Received{Envelope: message.Envelope{From: home, To: self, Messages: []message.Message{{Handoff: m}}}}) {
				if send, ok := a.(Send); ok && send.Message.HandoffAck != nil {
					acknowledged++
				}
			}
		}
		if acknowledged != tt.want {
			t.Errorf("%s: %d parts of %d answers were accepted, want %d", name, acknowledged, answers, tt.want)
		}
	}
}
