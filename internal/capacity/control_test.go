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

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measure resets the counters, runs the fleet and reports what one agent spends
// on control.
func measure(b *testing.B, f *fleet, agents int, seconds int) {
	b.Helper()
	for _, m := range f.members {
		m.sent, m.got, m.reads = traffic{}, traffic{}, 0
	}
	start := processorTime(b)
	f.run(time.Duration(seconds) * time.Second)
	spent := processorTime(b) - start
	var sent, got traffic
	reads := 0
	for _, m := range f.members[:agents] {
		sent.frames += m.sent.frames
		sent.bytes += m.sent.bytes
		got.frames += m.got.frames
		got.bytes += m.got.bytes
		reads += m.reads
	}
	busiest := 0
	for _, m := range f.members {
		busiest = max(busiest, m.sent.bytes, m.got.bytes)
	}
	b.ReportMetric(float64(busiest)/float64(seconds), "B-busiest/s")
	each := float64(agents * seconds)
	b.ReportMetric(float64(sent.frames)/each, "frames-out/s")
	b.ReportMetric(float64(sent.bytes)/each, "B-out/s")
	b.ReportMetric(float64(got.bytes)/each, "B-in/s")
	b.ReportMetric(float64(reads)/each, "log-reads/s")
	b.ReportMetric(100*spent.Seconds()/float64(len(f.members)*seconds), "%core")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleAgent reports what an agent spends on control while no job runs.
func BenchmarkIdleAgent(b *testing.B) {
	for _, agents := range []int{11, 50, 100, 200, 400, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			before := heapBytes()
			f := newFleet(agents, entriesFor(agents))
			f.run(5 * time.Second)
			measure(b, f, agents, 10)
			b.ReportMetric((heapBytes()-before)/float64(len(f.members)), "heap-B/node")
			runtime.KeepAlive(f)
		})
	}
}

// BenchmarkLogOutage reports the same while the log service is down, and the
// share of agents that may still start tasks after 10 s of the outage.
func BenchmarkLogOutage(b *testing.B) {
	for _, agents := range []int{11, 50, 100, 200, 400, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newFleet(agents, entriesFor(agents))
			f.run(5 * time.Second)
			f.logDown = true
			f.run(5 * time.Second)
			measure(b, f, agents, 5)
			able := 0
			for _, m := range f.members[:agents] {
				if m.agent.Status().LeaseLeft > 0 {
					able++
				}
			}
			b.ReportMetric(100*float64(able)/float64(agents), "%able-to-start")
		})
	}
}

// entriesFor returns the number of entries beside the given number of agents.
func entriesFor(agents int) int { return 3 + agents/100 }

// BenchmarkMemberRestart reports the time in which one agent takes in the
// restart of another: an eviction and a join.
func BenchmarkMemberRestart(b *testing.B) {
	for _, agents := range []int{11, 100, 400, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newFleet(agents, 3)
			f.deliver(f.members[0], f.oldest, f.log, f.now)
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
				f.deliver(first, first.core.Offset(), records, f.now)
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
			f := newFleet(agents, entriesFor(agents))
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
