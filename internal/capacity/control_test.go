package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// cpuTime returns the CPU time, user and system, that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measureControl resets the counters and runs the fleet for the given number of
// seconds. It reports the control traffic, log reads and CPU time of one agent, and
// the bytes of the busiest process.
func measureControl(b *testing.B, f *fleet, agents int, seconds int) {
	b.Helper()
	for _, m := range f.members {
		m.sent, m.received, m.logReads = traffic{}, traffic{}, 0
	}
	start := cpuTime(b)
	f.run(time.Duration(seconds) * time.Second)
	spent := cpuTime(b) - start
	var sent, received traffic
	reads := 0
	for _, m := range f.members[:agents] {
		sent.frames += m.sent.frames
		sent.bytes += m.sent.bytes
		received.frames += m.received.frames
		received.bytes += m.received.bytes
		reads += m.logReads
	}
	busiest := 0
	for _, m := range f.members {
		busiest = max(busiest, m.sent.bytes, m.received.bytes)
	}
	b.ReportMetric(float64(busiest)/float64(seconds), "B-busiest/s")
	agentSeconds := float64(agents * seconds)
	b.ReportMetric(float64(sent.frames)/agentSeconds, "frames-out/s")
	b.ReportMetric(float64(sent.bytes)/agentSeconds, "B-out/s")
	b.ReportMetric(float64(received.bytes)/agentSeconds, "B-in/s")
	b.ReportMetric(float64(reads)/agentSeconds, "log-reads/s")
	b.ReportMetric(100*spent.Seconds()/float64(len(f.members)*seconds), "%core")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleAgent reports the control traffic, CPU time and heap of an agent
// while no job runs.
func BenchmarkIdleAgent(b *testing.B) {
	for _, agents := range []int{11, 50, 100, 200, 400, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			before := heapBytes()
			f := newFleet(agents, entryCount(agents))
			f.run(5 * time.Second)
			measureControl(b, f, agents, 10)
			b.ReportMetric((heapBytes()-before)/float64(len(f.members)), "heap-B/node")
			runtime.KeepAlive(f)
		})
	}
}

// BenchmarkLogOutage reports the control traffic and CPU time of an agent while the
// log service is down. It also reports the share of agents that may still start
// tasks after 10 s of the outage.
func BenchmarkLogOutage(b *testing.B) {
	for _, agents := range []int{11, 50, 100, 200, 400, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newFleet(agents, entryCount(agents))
			f.run(5 * time.Second)
			f.logDown = true
			f.run(5 * time.Second)
			measureControl(b, f, agents, 5)
			ableToStart := 0
			for _, m := range f.members[:agents] {
				if m.agent.Status().LeaseLeft > 0 {
					ableToStart++
				}
			}
			b.ReportMetric(100*float64(ableToStart)/float64(agents), "%able-to-start")
		})
	}
}

// entryCount returns the number of entries of a fleet with the given number of
// agents.
func entryCount(agents int) int { return 3 + agents/100 }

// BenchmarkMemberRestart reports the time in which one agent applies the records of
// another agent's restart: an eviction and a join.
func BenchmarkMemberRestart(b *testing.B) {
	for _, agents := range []int{11, 100, 400, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newFleet(agents, 3)
			f.deliverRecords(f.members[0], f.oldest, f.log, f.now)
			last := f.members[agents-1].ref
			first := f.members[0]
			bytes := 0
			b.ResetTimer()
			for range b.N {
				next := last
				next.Incarnation += 1000
				records := [][]byte{
					control.EncodeEvict(last, f.members[1].ref),
					control.EncodeJoin(control.Member{Ref: next, Addr: "10.9.0.1:7201", Role: control.RoleAgent, Domain: "domain-1", Worker: "worker"}),
				}
				bytes = len(records[0]) + len(records[1])
				f.now += time.Millisecond
				f.deliverRecords(first, first.core.Offset(), records, f.now)
				last = next
			}
			b.ReportMetric(float64(bytes), "record-B")
		})
	}
}

// BenchmarkSnapshot reports the size of a snapshot record of a fleet with the
// given number of agents and 110 teams.
func BenchmarkSnapshot(b *testing.B) {
	for _, agents := range []int{11, 100, 400, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			const teams = 110
			state := control.NewState()
			f := newFleet(agents, entryCount(agents))
			state.Apply(f.oldest, f.log[0])
			var edits []config.Edit
			for i := range teams {
				team := config.Team{Name: fmt.Sprintf("team-%03d", i), Quota: 400, Class: job.Urgent}
				edits = append(edits, config.Edit{Put: &config.Object{Team: &team}})
			}
			change := control.Change{ID: "teams", From: state.Config().Revision(), Author: "ana", Edits: edits}
			if effect := state.Apply(state.Next(), control.EncodeChange(change)); effect.Rejected != "" {
				b.Fatal(effect.Rejected)
			}
			for range b.N {
				b.ReportMetric(float64(len(state.SnapshotRecord())), "record-B")
			}
		})
	}
}
