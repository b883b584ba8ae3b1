package experiment

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
)

// noopLedger discards every report. It serves runs against entries that are already
// running, because their upstreams do not record starts in this process.
type noopLedger struct{}

func (noopLedger) RecordNotRun(job.ID, int)          {}
func (noopLedger) RecordTaskNotRun(job.ID, int, int) {}

// measureRunningEntries sends the load to entries that are already running. In such
// a run only the clients count what happens: starts, messages and the invariants
// about them are not measured.
func measureRunningEntries(ctx context.Context, o Options, s Scenario) (measurement, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+completionTimeout)
	defer cancel()
	plan := loadgen.NewPlan(loadgen.Config{
		Seed: o.Seed, Duration: o.Duration, Mix: s.Mix, Load: o.Load,
		Slots: siteAgents * siteSlots, ResubmitShare: DefaultResubmitShare,
	})
	target := loadgen.Target{
		Entries:     func() []string { return o.Entries },
		ClientDelay: s.ClientDelay,
		Ledger:      noopLedger{},
	}
	start := time.Now()
	result := loadgen.Run(ctx, target, plan)
	if len(result.Outcomes) == 0 {
		return measurement{}, errors.New("no job was sent to the running entries")
	}
	return measurement{window: faultWindow(o.Duration), load: result, elapsed: time.Since(start)}, nil
}
