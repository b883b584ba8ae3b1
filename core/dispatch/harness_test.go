package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// bench drives a dispatcher and collects its actions.
type bench struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	calls   uint64
	answers map[uint64]Answer
	offers  []message.Offer
	to      map[uint64]node.ID
	recalls []uint64
	beats   map[node.ID]message.Heartbeat
	// overloaded is what was said last.
	overloaded bool
}

const core1 = 1000 // one core, in thousandths

func newBench(t *testing.T) *bench {
	b := &bench{t: t, core: New(Config{Domain: "z0"}), now: time.Second, answers: map[uint64]Answer{}, to: map[uint64]node.ID{}, beats: map[node.ID]message.Heartbeat{}}
	b.step(SiteChanged{State: &site.State{Revision: 1, Configured: true}})
	return b
}

func (b *bench) step(event step.Event) {
	for _, action := range b.core.Step(clock.Now{Mono: b.now}, event) {
		switch a := action.(type) {
		case Answer:
			b.answers[a.Call] = a
		case Overloaded:
			b.overloaded = a.Active
		case step.Send:
			b.sent(a)
		}
	}
}

func (b *bench) sent(a step.Send) {
	switch m := a.Message; {
	case m.Offer != nil:
		b.offers = append(b.offers, *m.Offer)
		b.to[m.Offer.Seq] = a.To.ID
	case m.RevokeOffer != nil:
		b.recalls = append(b.recalls, m.RevokeOffer.Seq)
	case m.Heartbeat != nil:
		b.beats[a.To.ID] = *m.Heartbeat
	}
}

func ref(i int) node.Ref { return node.Ref{ID: node.ID(fmt.Sprintf("a%d", i)), Incarnation: 1} }

// agents lets n agents with some cores each be known.
func (b *bench) agents(n, cores int) {
	for i := range n {
		b.step(AgentConnected{Agent: ref(i), Domain: fmt.Sprintf("z%d", i)})
	}
	b.beat(n, cores)
}

// beat lets n agents report that they are idle.
func (b *bench) beat(n, cores int) {
	for i := range n {
		b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{
			Version: uint64(b.now), Ready: true, InfoVersion: 1, Info: &message.UpstreamInfo{
				Service: "s", Domain: fmt.Sprintf("z%d", i), Capacity: message.Resources{MilliCPU: cores * core1},
			},
		}}})
	}
}

// alive lets n agents beat without a change of their room.
func (b *bench) alive(n int) {
	for i := range n {
		b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1}})
	}
}

func (b *bench) receive(agent int, m message.Message) {
	b.step(step.Received{Envelope: message.Envelope{From: ref(agent), Messages: []message.Message{m}}})
}

// end reports the end of an offer by its agent, whose room is then free.
func (b *bench) end(o message.Offer, result message.RunResult, reason message.RefuseReason) {
	b.step(step.Received{Envelope: message.Envelope{
		From:     node.Ref{ID: b.to[o.Seq], Incarnation: 1},
		Messages: []message.Message{{RunCompletion: &message.RunCompletion{Seq: o.Seq, Result: result, Reason: reason}}},
	}})
}

// submit hands in a job of some tasks of one core each and returns its call.
func (b *bench) submit(id string, priority, tasks int, estimate time.Duration) uint64 {
	b.calls++
	b.step(Submit{Call: b.calls, Job: Job{
		ID: id, Wait: 1500 * time.Millisecond,
		Route: &site.Route{Name: "r", Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1.6, Margin: 60 * time.Millisecond},
		Steps: []Step{{Count: tasks, Demand: message.Resources{MilliCPU: core1}, Estimate: estimate}},
	}})
	return b.calls
}

// take returns the offers since the last call.
func (b *bench) take() []message.Offer {
	offers := b.offers
	b.offers = nil
	return offers
}

// jobs returns the IDs of the jobs of offers, in order.
func jobs(offers []message.Offer) []string {
	var ids []string
	for _, o := range offers {
		ids = append(ids, o.Task.Job)
	}
	return ids
}

// pass lets time go on in steps that are no pause of the process.
func (b *bench) pass(d time.Duration) {
	for d > 0 {
		part := min(d, 50*time.Millisecond)
		b.now += part
		d -= part
		b.step(step.Tick{})
	}
}
