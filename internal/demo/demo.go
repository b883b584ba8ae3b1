// Package demo runs a small cluster in one process over loopback and shows how it
// runs jobs while a failure domain is taken out and brought back.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/cluster"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
)

// Sizes and times of the demo. The demo takes the failure domain out at takeOutAt and
// brings it back at bringBackAt, both counted from the start of the load.
const (
	entries     = 3
	agents      = 11
	domains     = 3
	rackSize    = 3
	slots       = 8
	connections = 64
	linkDelay   = time.Millisecond
	clientDelay = time.Millisecond

	loadDuration  = 8 * time.Second
	takeOutAt     = 2 * time.Second
	bringBackAt   = 5 * time.Second
	offeredLoad   = 0.5
	resubmitShare = 0.3
)

// ErrInvariant reports that the run broke an invariant. The summary that was
// written is complete.
var ErrInvariant = errors.New("an invariant was broken")

// mix consists mostly of urgent jobs with one task. The rest are jobs with many
// parallel tasks.
var mix = loadgen.Mix{
	{
		Name: "check", Team: "desk", Class: job.Urgent, Weight: 85,
		MinTasks: 1, MaxTasks: 1, MinTaskDuration: 50 * time.Millisecond, MaxTaskDuration: 200 * time.Millisecond,
		Timeout: 5 * time.Second, Idempotent: true,
	},
	{
		Name: "close", Team: "training", Class: job.Normal, Weight: 12,
		MinTasks: 5, MaxTasks: 20, MinTaskDuration: 20 * time.Millisecond, MaxTaskDuration: 200 * time.Millisecond,
		Timeout: 10 * time.Second,
	},
	{
		Name: "audit", Team: "audit", Class: job.Batch, Weight: 3,
		MinTasks: 40, MaxTasks: 120, MinTaskDuration: 20 * time.Millisecond, MaxTaskDuration: 300 * time.Millisecond,
		Timeout: 20 * time.Second, Idempotent: true,
	},
}

// Options describes a run of the demo.
type Options struct {
	// JSON selects output as one JSON object instead of text.
	JSON bool
	Seed uint64
	Out  io.Writer
}

// Summary holds the results of a run, as counted by the stand-in upstreams and the
// clients.
type Summary struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks"`
	// Starts counts the task starts that the upstreams recorded.
	Starts int `json:"starts"`
	// Resubmissions counts the submissions after the first of each job.
	Resubmissions int `json:"resubmissions"`
	// Complete, Failed and Unanswered count the jobs by their outcome. NotRun and
	// OutcomeUnknown are parts of Failed.
	Complete       int `json:"complete"`
	Failed         int `json:"failed"`
	Unanswered     int `json:"unanswered"`
	NotRun         int `json:"not_run"`
	OutcomeUnknown int `json:"outcome_unknown"`

	// The following fields count violations of invariants. DuplicateStarts counts
	// the starts of a task after its first. PartialAnswers counts answers that are
	// neither complete nor failed. MisdeliveredAnswers counts answers with content
	// of another job or task. UntrueNotRun counts submissions and tasks that were
	// started although the caller was informed that they had not run and would not
	// run. LateDomainStarts counts starts in a failure domain after the time allowed
	// since it was taken out. CutOffRequests counts requests whose connection ended
	// before the answer.
	DuplicateStarts     int `json:"duplicate_starts"`
	PartialAnswers      int `json:"partial_answers"`
	MisdeliveredAnswers int `json:"misdelivered_answers"`
	UntrueNotRun        int `json:"untrue_not_run"`
	LateDomainStarts    int `json:"late_domain_starts"`
	CutOffRequests      int `json:"cut_off_requests"`

	// OutInForceSeconds is the time from the acceptance of the change that took the
	// failure domain out until every process had applied it. InInForceSeconds is the
	// same time for the change that brought the domain back.
	OutInForceSeconds float64 `json:"out_in_force_seconds"`
	InInForceSeconds  float64 `json:"in_in_force_seconds"`

	P50            float64 `json:"response_over_ideal_p50"`
	P99            float64 `json:"response_over_ideal_p99"`
	ElapsedSeconds float64 `json:"elapsed_seconds"`
}

// invariantBroken reports whether the run broke an invariant.
func (s *Summary) invariantBroken() bool {
	return s.DuplicateStarts+s.PartialAnswers+s.MisdeliveredAnswers+s.UntrueNotRun+
		s.LateDomainStarts+s.CutOffRequests > 0
}

// Run runs the demo until it is complete or ctx ends. The error is ErrInvariant if the
// run broke an invariant.
func Run(ctx context.Context, o Options) error {
	start := time.Now()
	d := &demo{options: o}
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.cluster.Close()
	if err := d.sendFirstJob(ctx); err != nil {
		return err
	}
	if err := d.sendJobs(ctx); err != nil {
		return err
	}
	d.summary.ElapsedSeconds = time.Since(start).Seconds()
	if err := d.writeSummary(); err != nil {
		return err
	}
	if d.summary.invariantBroken() {
		return ErrInvariant
	}
	return nil
}

// demo is one run of the demo in progress.
type demo struct {
	options Options
	cluster *cluster.Cluster
	result  loadgen.Result
	summary Summary
}

// printLine writes one line of text, or nothing if the output is JSON.
func (d *demo) printLine(format string, args ...any) {
	if !d.options.JSON {
		fmt.Fprintf(d.options.Out, format+"\n", args...)
	}
}

// start starts the cluster and waits until its agents accept jobs.
func (d *demo) start(ctx context.Context) error {
	d.printLine("Starting %d entries and %d agents with %d slots each in %d failure domains.", entries, agents, slots, domains)
	c, err := cluster.Start(ctx, cluster.Config{
		Entries: entries, Agents: agents, Domains: domains, RackSize: rackSize,
		Slots: slots, Connections: connections, LinkDelay: linkDelay, Seed: d.options.Seed,
	})
	if err != nil {
		return err
	}
	d.cluster = c
	c.AwaitAgentConfirmation(ctx)
	return nil
}

// target returns the cluster as the target of the load generator's clients.
func (d *demo) target() loadgen.Target {
	return loadgen.Target{Entries: d.cluster.EntryAddrs, ClientDelay: clientDelay, Ledger: d.cluster.Ledger}
}

// sendFirstJob sends a single job and waits for its answer.
func (d *demo) sendFirstJob(ctx context.Context) error {
	plan := loadgen.NewPlan(loadgen.Config{
		Seed: d.options.Seed, Duration: time.Minute, Mix: mix[1:2], Load: offeredLoad, Slots: d.cluster.TotalSlots(), MaxJobs: 1,
	})
	plan[0].At, plan[0].Source = 0, loadgen.Minted
	result := loadgen.Run(ctx, d.target(), plan)
	if len(result.Outcomes) != 1 || !result.Outcomes[0].Complete() {
		return errors.Errorf("the first job did not complete: outcomes %+v, client errors %v", result.Outcomes, result.Errors)
	}
	o := result.Outcomes[0]
	d.printLine("One job of %d tasks: complete after %s; its longest task and the round trip take %s.",
		o.Tasks, millis(o.Response), millis(o.IdealResponse))
	d.summary.Tasks, d.summary.Jobs, d.summary.Complete = o.Tasks, 1, 1
	return nil
}

func millis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// sendJobs sends many jobs while a failure domain is taken out and brought back.
func (d *demo) sendJobs(ctx context.Context) error {
	plan := loadgen.NewPlan(loadgen.Config{
		Seed: d.options.Seed, Duration: loadDuration, Mix: mix, Load: offeredLoad,
		Slots: d.cluster.TotalSlots(), ResubmitShare: resubmitShare,
	})
	d.printLine("Sending %d jobs in %s, %.0f%% of them twice through two entries.", len(plan), loadDuration, resubmitShare*100)
	var changes sync.WaitGroup
	var changeErr error
	changes.Go(func() { changeErr = d.changeDomain(ctx, time.Now()) })
	d.result = loadgen.Run(ctx, d.target(), plan)
	changes.Wait()
	if changeErr != nil {
		return changeErr
	}
	d.addResult(&d.result)
	return nil
}

// changeDomain takes the first failure domain out and brings it back.
func (d *demo) changeDomain(ctx context.Context, start time.Time) error {
	domain := d.cluster.Domains()[0]
	sleep(ctx, time.Until(start.Add(takeOutAt)))
	out, err := d.cluster.TakeOutDomain(ctx, domain)
	if err != nil {
		return errors.Wrap(err, "take the failure domain out")
	}
	took, err := d.cluster.AwaitInForce(ctx, out)
	if err != nil {
		return err
	}
	d.summary.OutInForceSeconds = took.Seconds()
	d.printLine("%s is out: in force everywhere after %s.", domain, millis(took))

	sleep(ctx, time.Until(start.Add(bringBackAt)))
	last := d.cluster.Ledger.LastStart(domain)
	in, err := d.cluster.BringBackDomain(ctx, domain)
	if err != nil {
		return errors.Wrap(err, "bring the failure domain back")
	}
	took, err = d.cluster.AwaitInForce(ctx, in)
	if err != nil {
		return err
	}
	d.summary.InInForceSeconds = took.Seconds()
	d.printLine("%s is back: in force everywhere after %s. %s", domain, millis(took), describeLastStart(last, out.AcceptedAt))
	return nil
}

// describeLastStart returns a sentence about the last task that started in a
// failure domain that was taken out at the given time.
func describeLastStart(last, out time.Time) string {
	if last.Before(out) {
		return "No task started there while it was out."
	}
	return fmt.Sprintf("The last start there was %s after it went out.", millis(last.Sub(out)))
}

// addResult adds the counts of the load generator and of the ledger to the summary.
func (d *demo) addResult(result *loadgen.Result) {
	s, c, ledger := &d.summary, result.Counts, d.cluster.Ledger.Counts()
	s.Jobs += c.Jobs
	s.Tasks += c.Tasks
	s.Starts = ledger.Starts
	s.Resubmissions = c.Resubmissions
	s.Complete += c.Complete
	s.Failed = c.Failed
	s.Unanswered = c.Unanswered
	s.NotRun = c.NotRun
	s.OutcomeUnknown = c.OutcomeUnknown
	s.DuplicateStarts = ledger.DuplicateStarts
	s.PartialAnswers = c.PartialAnswers
	s.MisdeliveredAnswers = c.MisdeliveredAnswers
	s.UntrueNotRun = ledger.UntrueNotRun
	s.LateDomainStarts = ledger.LateDomainStarts
	s.CutOffRequests = c.CutOffRequests
	all := result.Ratios(func(*loadgen.Outcome) bool { return true })
	s.P50, s.P99 = all.P50, all.P99
}

// writeSummary writes the summary as JSON or as text.
func (d *demo) writeSummary() error {
	if d.options.JSON {
		return json.NewEncoder(d.options.Out).Encode(d.summary)
	}
	return writeTable(d.options.Out, &d.summary, &d.result)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
