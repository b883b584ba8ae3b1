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
	// changesApplied and changesByCommand are the changes of one measurement.
	changesApplied   = 20
	changesByCommand = 10
	// changePause is the time between two changes.
	changePause = 50 * time.Millisecond
	// inForceTime bounds one measurement with the start of its fleet.
	inForceTime = 2 * time.Minute
	// fullMesh is the number of agents up to which all may be connected to all;
	// beyond it each reaches neighbours on both sides.
	fullMesh   = 100
	neighbours = 15
)

// BenchmarkInForce reports the time from an accepted append until every process
// of an idle fleet has the change, and the time that the operators' command
// takes from its call until it says that the change is in force. The processes
// run over loopback sockets in this process.
func BenchmarkInForce(b *testing.B) {
	for _, agents := range []int{11, 100, 300} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			ctx, cancel := context.WithTimeout(context.Background(), inForceTime)
			defer cancel()
			cfg := cluster.Config{
				Entries: 3, Agents: agents, Domains: 3, RackSize: 3, Slots: 8, Connections: 64, Seed: 1, PanicOnViolation: true,
			}
			if agents > fullMesh {
				cfg.Neighbours = neighbours
			}
			c, err := cluster.Start(ctx, cfg)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			c.Settle(ctx)
			report(b, "applied", applied(ctx, b, c))
			report(b, "command", byCommand(b, c))
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			b.ReportMetric(float64(stats.Sys)/(1<<20), "MiB-sys")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func report(b *testing.B, name string, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), name+"-median-s")
	b.ReportMetric(times[len(times)-1].Seconds(), name+"-worst-s")
}

// applied measures changes that are appended and handed to nobody.
func applied(ctx context.Context, b *testing.B, c *cluster.Cluster) []time.Duration {
	b.Helper()
	domain := c.Domains()[0]
	var times []time.Duration
	for i := range changesApplied {
		move := c.DomainOut
		if i%2 == 1 {
			move = c.DomainIn
		}
		change, err := move(ctx, domain)
		if err != nil {
			b.Fatal(err)
		}
		d, err := c.AwaitEverywhere(ctx, change)
		if err != nil {
			b.Fatal(err)
		}
		times = append(times, d)
		time.Sleep(changePause)
	}
	return times
}

// byCommand measures the commands domain out and domain in.
func byCommand(b *testing.B, c *cluster.Cluster) []time.Duration {
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
			b.Fatalf("code %d, output %s%s", code, &out, &errs)
		}
		time.Sleep(changePause)
	}
	return times
}
