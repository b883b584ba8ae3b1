package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// FuzzMessage checks that no message of an agent makes the dispatcher panic, while it has
// running and waiting tasks there.
func FuzzMessage(f *testing.F) {
	for _, m := range []message.Message{
		{Heartbeat: &message.Heartbeat{Timestamp: 1, IdleInterval: -1, WantSite: true, Capacity: &message.CapacityReport{Version: 9, InfoVersion: 7}}},
		{Heartbeat: &message.Heartbeat{Timestamp: 1, Crashes: []message.Crash{{}, {Number: 1 << 63, Age: -1, Runs: []message.CrashedRun{
			{Age: 1 << 62}, {Age: -1 << 62}, {Task: message.TaskName{Job: "j", Step: -1, Index: -1}},
		}}}}},
		{RunCompletion: &message.RunCompletion{Seq: 1, Result: message.RunLost, Reason: message.LostUpstreamCrashed}},
		{RunCompletion: &message.RunCompletion{Seq: 1, Result: message.RunRefused, Reason: message.RefusedStale}},
		{RunCompletion: &message.RunCompletion{Seq: 1, Result: message.RunRefused, Reason: message.RefusedNoCapacity, MayHaveRun: true}},
		{RunCompletion: &message.RunCompletion{Seq: 1, Result: message.RunLost, Reason: message.LostForgotten, MayHaveRun: true}},
		{RunCompletion: &message.RunCompletion{Seq: 1, Result: message.RunDone}},
		{RunCompletion: &message.RunCompletion{Seq: 1, Result: message.RunRefused, Reason: message.RefusedCancelled}},
		{Heartbeat: &message.Heartbeat{Timestamp: 1, Cancelled: []string{"", "j", "j"}}},
		{Offer: &message.Offer{Seq: 1}},
		{},
	} {
		raw, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m message.Message
		if json.Unmarshal(raw, &m) != nil {
			return
		}
		b := newTestBed(t)
		b.connectAgents(2, 1)
		b.submit("j", 0, 4, time.Second)
		b.receive(0, m)
		b.receive(0, m)
		b.advance(time.Second)
		b.step(step.PeerReset{Ref: ref(0)})
	})
}
