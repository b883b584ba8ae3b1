package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
)

// BenchmarkInspection reports how many bytes one inspection adds to the traffic of
// an entry within a second, and how many agents have answered by then.
func BenchmarkInspection(b *testing.B) {
	for _, agents := range []int{11, 100, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newFleet(agents, 1)
			f.run(3 * time.Second)
			entryMember := f.members[agents]
			measureSecond := func(before func()) (sent, received int) {
				entryMember.sent, entryMember.received = traffic{}, traffic{}
				before()
				f.run(time.Second)
				return entryMember.sent.bytes, entryMember.received.bytes
			}
			idleSent, idleReceived := measureSecond(func() {})
			sent, received := measureSecond(func() { f.step(entryMember, entry.InspectCall{Call: 1}) })
			answered := 0
			for _, a := range entryMember.entry.Status().Agents {
				if a.Report != nil && !a.ReportOverdue {
					answered++
				}
			}
			b.ReportMetric(float64(sent-idleSent), "B-out")
			b.ReportMetric(float64(received-idleReceived), "B-in")
			b.ReportMetric(float64(answered), "answers")
			b.ReportMetric(0, "ns/op")
		})
	}
}
