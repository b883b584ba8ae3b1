package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// TestInterferingRoutesAreKeptApart guards against findings that do not reach agents or
// placements, against prices that keep a task waiting, and against placements that never put
// a finding to the test.
func TestInterferingRoutesAreKeptApart(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		b := newTestBed(t)
		b.core = New(Config{Domain: "none", SeparateInterfering: enabled})
		b.step(SiteChanged{State: &site.State{Revision: 1, Configured: true}})
		b.connectAgents(8, 10)
		evidence := &message.InterferenceReport{Routes: []string{"r", "other"}, Pairs: []message.InterferencePair{message.NewInterferencePair(0, 1, 50, 13)}}
		for i := range 8 {
			b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Evidence: evidence}})
		}
		b.advance(6 * time.Second)
		b.reportIdle(8, 10)
		hb := b.heartbeats["a0"]
		if hb.Watch == nil == enabled || enabled && fmt.Sprint(hb.Watch.Routes) != "[other r]" {
			t.Errorf("enabled %t: agents are requested to report %+v", enabled, hb.Watch)
		}
		// Tasks of the other route run on all agents but the last one, which has less free
		// capacity.
		for i := range 8 {
			r := message.CapacityReport{Version: uint64(b.now) + 1, Ready: true, InfoVersion: 1, Used: message.Resources{MilliCPU: oneCore}, Running: map[string]int{"other": 1}}
			if i == 7 {
				r.Used.MilliCPU, r.Running = 2*oneCore, nil
			}
			b.receive(i, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &r}})
		}
		onLast := 0
		for i := range 32 {
			b.submit(fmt.Sprint("j", i), 0, 1, 100*time.Millisecond)
			offers := b.takeOffers()
			if len(offers) != 1 {
				t.Fatalf("enabled %t: %d offers of a task, want 1", enabled, len(offers))
			}
			if b.offeredTo[offers[0].Seq] == "a7" {
				onLast++
			}
			b.complete(offers[0], message.RunDone, "")
		}
		if want := map[bool]int{false: 0, true: 30}[enabled]; onLast != want {
			t.Errorf("enabled %t: %d of 32 tasks on the agent without the other route, want %d", enabled, onLast, want)
		}
		b.submit("all", 0, 80, 100*time.Millisecond)
		if offers := b.takeOffers(); len(offers) != 71 {
			t.Errorf("enabled %t: %d tasks placed on 71 free cores", enabled, len(offers))
		}
	}
}
