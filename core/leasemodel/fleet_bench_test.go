package leasemodel

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFleet compares rates of heartbeats to dispatchers without runs, in a fleet of 35
// dispatchers and 160 agents at several loads. At the first rate, every agent sends every
// heartbeat to every dispatcher.
//
//	go test ./core/leasemodel -run XXX -bench Fleet -benchtime 1x
func BenchmarkFleet(b *testing.B) {
	const dispatchers, agents, seconds = 35, 160, 3
	for _, rate := range []float64{1000, 20, 5} {
		for _, share := range []float64{0.3, 0.6, 0.95} {
			b.Run(fmt.Sprintf("rate=%v/load=%v", rate, share), func(b *testing.B) {
				for range b.N {
					l := newLoadOn(newFleet(b, 1, dispatchers, agents, slotsPerAgent*taskCPU, rate))
					startsBefore, sentBefore := l.sim.starts, total(l.sim.sent)
					kinds := jobKindsAtLoad(share, agents)
					l.run(seconds*time.Second, kinds)
					starts := float64(l.sim.starts - startsBefore)
					b.ReportMetric(float64(total(l.sim.sent)-sentBefore)/starts, "messages/start")
					b.ReportMetric(float64(l.sim.refusedOffers)/starts, "refusals/start")
					for _, k := range kinds {
						b.ReportMetric(l.outcomes[k.name].onTimeShare(), k.name+"-on-time")
					}
				}
			})
		}
	}
}
