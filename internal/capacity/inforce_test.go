package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/cluster"
	"github.com/dogwoodgauge/dogwoodgauge/internal/command"
)

const (
	// changesApplied is the number of changes that measureApplied publishes, and
	// changesByCommand the number that measureCommand publishes.
	changesApplied   = 20
	changesByCommand = 10
	// changeInterval is the time between two changes.
	changeInterval = 50 * time.Millisecond
	// inForceTimeout limits one measurement, including the start of its cluster.
	inForceTimeout = 2 * time.Minute
	// fullMesh is the number of agents up to which every agent reaches all others.
	// In larger fleets each agent reaches only the agents at most
	// neighbourDistance positions away, because the connections do not fit into one
	// process.
	fullMesh          = 100
	neighbourDistance = 15
)

// BenchmarkInForce reports the time from the acceptance of a change until every
// process of an idle fleet has applied it. It also reports the time from the call of
// the operators' command until the command reports that the change is in force. The
// entries and agents run in this process and use loopback sockets.
func BenchmarkInForce(b *testing.B) {
	for _, agents := range []int{11, 100, 300} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
			defer cancel()
			cfg := cluster.Config{
				Entries: 3, Agents: agents, Domains: 3, RackSize: 3, Slots: 8, Connections: 64, Seed: 1, PanicOnViolation: true,
			}
			if agents > fullMesh {
				cfg.NeighbourDistance = neighbourDistance
			}
			c, err := cluster.Start(ctx, cfg)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			c.AwaitAgentConfirmation(ctx)
			report(b, "applied", measureApplied(ctx, b, c))
			report(b, "command", measureCommand(b, c))
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			b.ReportMetric(float64(stats.Sys)/(1<<20), "MiB-sys")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// report reports the median and the longest of the times.
func report(b *testing.B, name string, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), name+"-median-s")
	b.ReportMetric(times[len(times)-1].Seconds(), name+"-worst-s")
}

// measureApplied appends changes to the log without sending them to any process. It
// returns the time until every process had applied each change.
func measureApplied(ctx context.Context, b *testing.B, c *cluster.Cluster) []time.Duration {
	b.Helper()
	domain := c.Domains()[0]
	var times []time.Duration
	for i := range changesApplied {
		publishChange := c.TakeOutDomain
		if i%2 == 1 {
			publishChange = c.BringBackDomain
		}
		change, err := publishChange(ctx, domain)
		if err != nil {
			b.Fatal(err)
		}
		d, err := c.AwaitAppliedEverywhere(ctx, change)
		if err != nil {
			b.Fatal(err)
		}
		times = append(times, d)
		time.Sleep(changeInterval)
	}
	return times
}

// measureCommand returns the durations of the commands "domain out" and
// "domain in".
func measureCommand(b *testing.B, c *cluster.Cluster) []time.Duration {
	b.Helper()
	var times []time.Duration
	for i := range changesByCommand {
		args := []string{
			"domain", []string{"out", "in"}[i%2], c.Domains()[1], "--json", "--author", "benchmark",
			"--log", strings.TrimPrefix(c.Log.URL(), "http://"),
		}
		for _, addr := range c.EntryAddrs() {
			args = append(args, "--entry", addr)
		}
		var out, errs bytes.Buffer
		start := time.Now()
		code := command.Main(args, command.Streams{Out: &out, Err: &errs})
		times = append(times, time.Since(start))
		var result struct {
			InForce bool `json:"in_force"`
		}
		if err := json.Unmarshal(out.Bytes(), &result); err != nil || code != command.CodeOK || !result.InForce {
			b.Fatalf("got exit code %d and output %s%s, want success with the change in force", code, &out, &errs)
		}
		time.Sleep(changeInterval)
	}
	return times
}
