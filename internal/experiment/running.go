package experiment

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
)

// unheard is a ledger for processes whose upstreams count nothing.
type unheard struct{}

func (unheard) RecordNotRun(job.ID, int)          {}
func (unheard) RecordTaskNotRun(job.ID, int, int) {}

// measureRunning sends the load to entries that run already. Only the client
// counts: starts, messages and the promises about them are not measured.
func measureRunning(ctx context.Context, o Options, s Scenario) (measurement, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+drainTime)
	defer cancel()
	plan := loadgen.NewPlan(loadgen.Config{
		Seed: o.Seed, Duration: o.Duration, Mix: s.Mix, Load: o.Load,
		Slots: siteAgents * siteSlots, ResubmitShare: DefaultResubmit,
	})
	target := loadgen.Target{
		Entries:     func() []string { return o.Entries },
		ClientDelay: s.ClientDelay,
		Ledger:      unheard{},
	}
	start := time.Now()
	result := loadgen.Run(ctx, target, plan)
	if len(result.Outcomes) == 0 {
		return measurement{}, errors.New("no job was sent")
	}
	return measurement{window: faultWindow(o.Duration), load: result, elapsed: time.Since(start)}, nil
}
