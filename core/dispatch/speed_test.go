package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// reportSlowdown lets the given incarnation of an idle agent report a slowdown.
func (b *testBed) reportSlowdown(agent int, incarnation node.Incarnation, slowdown int) {
	from := node.Ref{ID: ref(agent).ID, Incarnation: incarnation}
	b.step(step.Received{Envelope: message.Envelope{From: from, Messages: []message.Message{{Heartbeat: &message.Heartbeat{
		Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{
			Version: uint64(b.now), Ready: true, Slowdown: slowdown, InfoVersion: 1,
			Info: &message.UpstreamInfo{Service: "s", Domain: fmt.Sprintf("z%d", agent), Capacity: message.Resources{MilliCPU: 10 * oneCore}},
		},
	}}}}})
}

// TestPlacementBySpeed checks that long tasks go to the fast upstream, that its speed outlives
// the agent's incarnation, and that nothing changes without the setting.
func TestPlacementBySpeed(t *testing.T) {
	for _, learn := range []bool{true, false} {
		b := newTestBed(t)
		b.core.cfg.LearnSpeed = learn
		b.core.cfg.Domain = "elsewhere"
		b.connectAgents(4, 10)
		for i, slowdown := range []int{120, 120, 120, 55} {
			b.reportSlowdown(i, 1, slowdown)
		}
		b.advance(speedRefresh)
		place := func(id string) string {
			b.takeOffers()
			b.submit(id, 0, 1, 800*time.Millisecond)
			o := b.takeOffers()[0]
			if slow := o.Slowdown; slow != 0 && !learn {
				t.Errorf("got slowdown %d in an offer without the setting, want none", slow)
			}
			to := string(b.offeredTo[o.Seq])
			b.complete(o, message.RunDone, "")
			return to
		}
		if to := place("j1"); (to == "a3") != learn {
			t.Errorf("learn %v: task offered to %s", learn, to)
		}
		b.step(step.PeerDead{Ref: ref(3)})
		b.step(AgentConnected{Agent: node.Ref{ID: "a3", Incarnation: 2}, Domain: "z3"})
		b.now += time.Millisecond
		b.reportSlowdown(3, 2, 0)
		b.advance(speedRefresh)
		if to := place("j2"); (to == "a3") != learn {
			t.Errorf("learn %v: task offered to %s after the agent's restart", learn, to)
		}
		if s := b.core.Stats(); (s.FastAgents == 1) != learn {
			t.Errorf("learn %v: got %d fast agents", learn, s.FastAgents)
		}
	}
}
