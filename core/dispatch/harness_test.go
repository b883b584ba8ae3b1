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

// testBed drives a dispatcher and collects its actions.
type testBed struct {
	t          *testing.T
	core       *Core
	now        time.Duration
	calls      uint64
	answers    map[uint64]Answer
	offers     []message.Offer
	offeredTo  map[uint64]node.ID
	revoked    []uint64
	heartbeats map[node.ID]message.Heartbeat
	// overloaded is the state that the last Overloaded action reported.
	overloaded bool
}

const oneCore = 1000 // one core, in thousandths

func newTestBed(t *testing.T) *testBed {
	b := &testBed{t: t, core: New(Config{Domain: "z0"}), now: time.Second, answers: map[uint64]Answer{}, offeredTo: map[uint64]node.ID{}, heartbeats: map[node.ID]message.Heartbeat{}}
	b.step(SiteChanged{State: &site.State{Revision: 1, Configured: true}})
	return b
}

func (b *testBed) step(event step.Event) {
	for _, action := range b.core.Step(clock.Now{Mono: b.now}, event) {
		switch a := action.(type) {
		case Answer:
			b.answers[a.Call] = a
		case Overloaded:
			b.overloaded = a.Active
		case step.Send:
			b.recordSend(a)
		}
	}
}

func (b *testBed) recordSend(a step.Send) {
	switch m := a.Message; {
	case m.Offer != nil:
		b.offers = append(b.offers, *m.Offer)
		b.offeredTo[m.Offer.Seq] = a.To.ID
	case m.RevokeOffer != nil:
		b.revoked = append(b.revoked, m.RevokeOffer.Seq)
	case m.Heartbeat != nil:
		b.heartbeats[a.To.ID] = *m.Heartbeat
	}
}

func ref(i int) node.Ref { return node.Ref{ID: node.ID(fmt.Sprintf("a%d", i)), Incarnation: 1} }

// connectAgents connects n idle agents with this number of cores each.
func (b *testBed) connectAgents(n, cores int) {
	for i := range n {
		b.step(AgentConnected{Agent: ref(i), Domain: fmt.Sprintf("z%d", i)})
	}
	b.reportIdle(n, cores)
}

// reportIdle lets n agents report that they are idle.
func (b *testBed) reportIdle(n, cores int) {
	for i := range n {
		b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{
			Version: uint64(b.now), Ready: true, InfoVersion: 1, Info: &message.UpstreamInfo{
				Service: "s", Domain: fmt.Sprintf("z%d", i), Capacity: message.Resources{MilliCPU: cores * oneCore},
			},
		}}})
	}
}

// sendHeartbeats lets n agents send heartbeats without a capacity report.
func (b *testBed) sendHeartbeats(n int) {
	for i := range n {
		b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1}})
	}
}

func (b *testBed) receive(agent int, m message.Message) {
	b.step(step.Received{Envelope: message.Envelope{From: ref(agent), Messages: []message.Message{m}}})
}

// complete lets the agent of an offer report its completion, which frees the agent's
// capacity.
func (b *testBed) complete(o message.Offer, result message.RunResult, reason message.RefuseReason) {
	b.step(step.Received{Envelope: message.Envelope{
		From:     node.Ref{ID: b.offeredTo[o.Seq], Incarnation: 1},
		Messages: []message.Message{{RunCompletion: &message.RunCompletion{Seq: o.Seq, Result: result, Reason: reason}}},
	}})
}

// submit submits a job with tasks of one core each and returns its call.
func (b *testBed) submit(id string, priority, tasks int, estimate time.Duration) uint64 {
	return b.submitDemand(id, priority, tasks, estimate, oneCore)
}

// submitDemand submits a job with tasks of this demand, in thousandths of a core.
func (b *testBed) submitDemand(id string, priority, tasks int, estimate time.Duration, demand int) uint64 {
	b.calls++
	b.step(Submit{Call: b.calls, Job: Job{
		ID: id, Wait: 1500 * time.Millisecond,
		Route: &site.Route{Name: "r", Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1.6, Margin: 60 * time.Millisecond},
		Steps: []Step{{Count: tasks, Demand: message.Resources{MilliCPU: demand}, Estimate: estimate}},
	}})
	return b.calls
}

// confirmStart lets the core know that the start call of an offer was answered.
func (b *testBed) confirmStart(o message.Offer) {
	b.core.recordStarted(b.core.openOffers[o.Seq].agent, []uint64{o.Seq})
}

// takeOffers returns the offers since the last call.
func (b *testBed) takeOffers() []message.Offer {
	offers := b.offers
	b.offers = nil
	return offers
}

// jobIDs returns the job IDs of the offers, in order.
func jobIDs(offers []message.Offer) []string {
	var ids []string
	for _, o := range offers {
		ids = append(ids, o.Task.Job)
	}
	return ids
}

// advance advances the time in steps too short to count as a pause of the process.
func (b *testBed) advance(d time.Duration) {
	for d > 0 {
		part := min(d, 50*time.Millisecond)
		b.now += part
		d -= part
		b.step(step.Tick{})
	}
}
