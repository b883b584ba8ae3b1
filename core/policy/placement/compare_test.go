package placement

import (
	"flag"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/slots"
)

// standard models 11 executors with 8 slots each, at 70% load, that send load
// reports every 100 ms.
func standard(policy string) modelConfig {
	return modelConfig{
		policy: policy, seed: 1, nodes: 11, slots: 8, load: 0.7,
		report: 100 * time.Millisecond, delay: 1500 * time.Microsecond,
		jobSize: 20, length: 120 * time.Second,
		reserve: slots.DefaultReserve, refuseWhenFull: true,
	}
}

// modelSeed selects the workload of BenchmarkModel.
var modelSeed = flag.Uint64("model.seed", 1, "seed of the queueing model in BenchmarkModel")

// BenchmarkModel reports the ratio of response time to service time: p50, p99 and
// p99.9 for urgent tasks, the mean for the others. It also reports which shares of
// the tasks were sent to another process, refused, shed and lost.
func BenchmarkModel(b *testing.B) {
	cases := []struct {
		name   string
		change func(*modelConfig)
	}{
		{"lag=20ms", func(c *modelConfig) { c.report = 20 * time.Millisecond }},
		{"lag=100ms", func(*modelConfig) {}},
		{"lag=1s", func(c *modelConfig) { c.report = time.Second }},
		{"nodes=110", func(c *modelConfig) { c.nodes, c.length = 110, 20*time.Second }},
		{"nodes=110,fan-out=32", func(c *modelConfig) { c.nodes, c.length, c.fanOut = 110, 20*time.Second, FanOut }},
		{"nodes=110,fan-out=8", func(c *modelConfig) { c.nodes, c.length, c.fanOut = 110, 20*time.Second, 8 }},
		{"no-reserve", func(c *modelConfig) { c.reserve = slots.Reserve{} }},
		{"no-bounce", func(c *modelConfig) { c.refuseWhenFull = false }},
		{"straggler=4", func(c *modelConfig) { c.slow = 4 }},
		{"domain-returns", func(c *modelConfig) { c.inServiceAt = 60 * time.Second }},
		{"domain-returns,ramp", func(c *modelConfig) { c.inServiceAt, c.ramp = 60*time.Second, true }},
		{"burst=2,shed", func(c *modelConfig) { c.burst, c.length, c.shed = 2, 30*time.Second, true }},
		{"burst=3", func(c *modelConfig) { c.burst, c.length = 3, 30*time.Second }},
		{"burst=3,shed", func(c *modelConfig) { c.burst, c.length, c.shed = 3, 30*time.Second, true }},
		{"black-hole", func(c *modelConfig) { c.failsAll = true }},
		{"black-hole,detect", func(c *modelConfig) { c.failsAll, c.detect = true, true }},
	}
	for _, tt := range cases {
		for _, name := range Names {
			b.Run(tt.name+"/"+name, func(b *testing.B) {
				cfg := standard(name)
				cfg.seed = *modelSeed
				tt.change(&cfg)
				var r *modelResult
				for b.Loop() {
					r = runModel(cfg)
				}
				reportModel(b, r)
			})
		}
	}
}

func reportModel(b *testing.B, r *modelResult) {
	tasks := float64(r.tasks)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(quantile(r.ratios, 0.5), "p50")
	b.ReportMetric(quantile(r.ratios, 0.99), "p99")
	b.ReportMetric(quantile(r.ratios, 0.999), "p99.9")
	b.ReportMetric(r.normalSum/float64(r.completed-len(r.ratios)), "normal-mean")
	b.ReportMetric(quantile(r.afterBurst, 0.99), "after-p99")
	b.ReportMetric(float64(r.shed[job.Urgent])/tasks, "shed-urgent/task")
	b.ReportMetric(float64(r.shed[job.Normal])/tasks, "shed-normal/task")
	b.ReportMetric(float64(r.refusedOnReturn), "refused-on-return")
	b.ReportMetric(float64(r.lost)/tasks, "lost/task")
	b.ReportMetric(float64(r.remote)/tasks, "remote/task")
	b.ReportMetric(float64(r.refused)/tasks, "refused/task")
}

// TestDefaultBeatsBaselines runs every policy on the same seed. The default must
// not have a higher p99 or more refusals than the baselines, except two-choices.
func TestDefaultBeatsBaselines(t *testing.T) {
	got := make(map[string]*modelResult)
	for _, name := range Names {
		r := runModel(standard(name))
		if r.completed != r.tasks {
			t.Errorf("%s: %d of %d tasks completed, want all", name, r.completed, r.tasks)
		}
		got[name] = r
	}
	best := got[Default]
	for _, name := range []string{Random, RoundRobin, LeastLoad} {
		if a, b := quantile(best.ratios, 0.99), quantile(got[name].ratios, 0.99); a > b {
			t.Errorf("p99 of the default is %.3f, higher than that of %s: %.3f", a, name, b)
		}
		if a, b := best.refused, got[name].refused; a > b {
			t.Errorf("the default has %d refusals, more than %s: %d", a, name, b)
		}
	}
	if p := quantile(best.ratios, 0.99); p > 1.25 {
		t.Errorf("p99 is %.3f of the ideal, want at most 1.25", p)
	}
}

// TestModelIsDeterministic checks that two runs with one seed give the same result.
func TestModelIsDeterministic(t *testing.T) {
	cfg := standard(Default)
	cfg.length = 10 * time.Second
	a, b := runModel(cfg), runModel(cfg)
	if a.normalSum != b.normalSum || a.remote != b.remote || a.refused != b.refused {
		t.Error("two runs of one seed differ")
	}
}
