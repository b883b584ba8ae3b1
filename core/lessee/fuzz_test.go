package lessee

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// FuzzMessage checks that no message of a dispatcher makes the agent panic, while a run of
// that dispatcher is active.
func FuzzMessage(f *testing.F) {
	for _, m := range []message.Message{
		{Heartbeat: &message.Heartbeat{Timestamp: -1, EchoedTimestamp: 1 << 62, WantReply: true, FirstWaiting: &message.WaitingTask{}}},
		{Offer: &message.Offer{Seq: 9, EchoedTimestamp: 1, EchoAge: -1 << 63, Demand: message.Resources{MilliCPU: -1}}},
		{Offer: &message.Offer{Seq: 9, EchoedTimestamp: 1, FirstSentAt: -1 << 63}},
		{Offer: &message.Offer{Seq: 9, EchoedTimestamp: 1 << 62, EchoAge: 1 << 62, FirstSentAt: 1<<63 - 1}},
		{RevokeOffer: &message.RevokeOffer{Seq: 1}},
		{Heartbeat: &message.Heartbeat{KnownCrash: 1 << 63}},
		{Heartbeat: &message.Heartbeat{Timestamp: 1, Cancelled: []string{"", "j", "j"}}},
		{RunCompletion: &message.RunCompletion{}},
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
		b.open()
		b.startRun(d0, "j")
		b.step(received(d0, m))
		b.step(received(d0, m))
		for range 20 {
			b.now += 100 * time.Millisecond
			b.step(step.Tick{})
		}
	})
}
