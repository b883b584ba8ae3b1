package agent_test

import (
	"fmt"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Example drives an agent through a job with one task. No socket, file or clock
// is needed: the time and all events are arguments.
func Example() {
	self := node.Ref{ID: "agent-a1", Incarnation: 1}
	caller := node.Ref{ID: "entry-a1", Incarnation: 7}
	now := clock.Now{Mono: time.Hour, Wall: 1_790_000_000_000}
	core := agent.New(agent.Config{Self: self, Addr: "127.0.0.1:7201", Domain: "recife-a", Worker: "worker-a1"})

	// The control stream contains the agent's own join, and an upstream
	// announces itself.
	join := control.EncodeJoin(control.Member{Ref: self, Addr: "127.0.0.1:7201", Role: control.RoleAgent})
	core.Step(now, agent.LogRead{Records: [][]byte{join}, End: 1, SentAt: now.Mono})
	core.Step(now, agent.UpstreamAnnounced{Name: "orders-1", Slots: 8, Connections: 64, TTL: time.Minute})

	// An entry submits a job whose ID names this incarnation as its home.
	id := job.Minted{Home: self, Created: now.Wall, Minter: 7, Seq: 1}.ID()
	submit := &message.Submit{Request: 1, SentAt: now.Wall, Job: job.Job{
		ID: id, Team: "shop", Created: now.Wall, Timeout: time.Second,
		Tasks: []job.Task{{Payload: []byte("cheese")}},
	}}
	actions := core.Step(now, agent.Received{Envelope: message.Envelope{
		From: caller, To: self, Messages: []message.Message{{Submit: submit}},
	}})
	var handle uint64
	for _, a := range actions {
		if start, ok := a.(agent.StartTask); ok {
			handle = start.Handle
			fmt.Printf("start task %d on %s: %s\n", start.Index, start.Upstream, start.Payload)
		}
	}

	// The shell reports the upstream's answer, and the core answers the entry.
	now = now.After(80 * time.Millisecond)
	for _, a := range core.Step(now, agent.TaskEnded{Handle: handle, State: job.Done, Body: []byte("3 left")}) {
		if send, ok := a.(agent.Send); ok {
			answer := send.Message.Answer
			fmt.Printf("answer request %d of %s: %s\n", answer.Request, send.To.ID, answer.Answer.Results[0])
		}
	}
	// Output:
	// start task 0 on orders-1: cheese
	// answer request 1 of entry-a1: 3 left
}
