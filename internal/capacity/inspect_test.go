package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
)

// BenchmarkInspection reports what one inspection adds to the traffic of an entry
// and how many agents have answered it.
func BenchmarkInspection(b *testing.B) {
	for _, agents := range []int{11, 100, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newFleet(agents, 1)
			f.run(3 * time.Second)
			via := f.members[agents]
			second := func(before func()) (sent, got int) {
				via.sent, via.got = traffic{}, traffic{}
				before()
				f.run(time.Second)
				return via.sent.bytes, via.got.bytes
			}
			idleSent, idleGot := second(func() {})
			sent, got := second(func() { f.step(via, entry.InspectCall{Call: 1}) })
			answered := 0
			for _, a := range via.entry.Status().Agents {
				if a.Report != nil && !a.ReportOverdue {
					answered++
				}
			}
			b.ReportMetric(float64(sent-idleSent), "B-out")
			b.ReportMetric(float64(got-idleGot), "B-in")
			b.ReportMetric(float64(answered), "answers")
			b.ReportMetric(0, "ns/op")
		})
	}
}
