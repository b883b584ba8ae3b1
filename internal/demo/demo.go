// Package demo runs a small cluster in one process over loopback and shows jobs
// going through it while a failure domain is taken out and brought back.
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

// Sizes and times of the demo.
const (
	entries     = 3
	agents      = 11
	domains     = 3
	rackSize    = 3
	slots       = 8
	connections = 64
	linkDelay   = time.Millisecond
	clientDelay = time.Millisecond

	loadTime      = 8 * time.Second
	outAt         = 2 * time.Second
	inAt          = 5 * time.Second
	load          = 0.5
	resubmitShare = 0.3

	startTimeout = 15 * time.Second
	runTimeout   = 40 * time.Second
)

// ErrInvariant says that the run broke an invariant. The summary is complete.
var ErrInvariant = errors.New("an invariant was broken")

// mix is mostly one-task urgent jobs beside parallel ones.
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
	// JSON writes one JSON object in place of the text.
	JSON bool
	Seed uint64
	Out  io.Writer
}

// Summary is the outcome of a run, counted by the stand-in upstreams and the
// clients.
type Summary struct {
	Jobs           int `json:"jobs"`
	Tasks          int `json:"tasks"`
	Starts         int `json:"starts"`
	Resubmissions  int `json:"resubmissions"`
	Complete       int `json:"complete"`
	Failed         int `json:"failed"`
	Unanswered     int `json:"unanswered"`
	NotRun         int `json:"not_run"`
	OutcomeUnknown int `json:"outcome_unknown"`

	DuplicateStarts     int `json:"duplicate_starts"`
	PartialAnswers      int `json:"partial_answers"`
	MisdeliveredAnswers int `json:"misdelivered_answers"`
	UntrueNotRun        int `json:"untrue_not_run"`
	LateDomainStarts    int `json:"late_domain_starts"`
	CutOffRequests      int `json:"cut_off_requests"`

	// OutInForceSeconds and InInForceSeconds are the times from the acceptance
	// of the two changes until every process had them.
	OutInForceSeconds float64 `json:"out_in_force_seconds"`
	InInForceSeconds  float64 `json:"in_in_force_seconds"`

	P50            float64 `json:"response_over_ideal_p50"`
	P99            float64 `json:"response_over_ideal_p99"`
	ElapsedSeconds float64 `json:"elapsed_seconds"`
}

// broken reports whether an invariant was broken.
func (s *Summary) broken() bool {
	return s.DuplicateStarts+s.PartialAnswers+s.MisdeliveredAnswers+s.UntrueNotRun+
		s.LateDomainStarts+s.CutOffRequests > 0
}

// Run runs the demo. The error is ErrInvariant when an invariant was broken.
func Run(ctx context.Context, o Options) error {
	start := time.Now()
	d := &demo{options: o}
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.cluster.Close()
	if err := d.firstJob(ctx); err != nil {
		return err
	}
	if err := d.load(ctx); err != nil {
		return err
	}
	d.summary.ElapsedSeconds = time.Since(start).Seconds()
	if err := d.write(); err != nil {
		return err
	}
	if d.summary.broken() {
		return ErrInvariant
	}
	return nil
}

// demo is one run in progress.
type demo struct {
	options Options
	cluster *cluster.Cluster
	result  loadgen.Result
	summary Summary
}

// say writes a line of the text form.
func (d *demo) say(format string, args ...any) {
	if !d.options.JSON {
		fmt.Fprintf(d.options.Out, format+"\n", args...)
	}
}

func (d *demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d.say("Starting %d entries and %d agents with %d slots each in %d failure domains.", entries, agents, slots, domains)
	c, err := cluster.Start(ctx, cluster.Config{
		Entries: entries, Agents: agents, Domains: domains, RackSize: rackSize,
		Slots: slots, Connections: connections, LinkDelay: linkDelay, Seed: d.options.Seed,
	})
	if err != nil {
		return err
	}
	d.cluster = c
	c.Settle(ctx)
	return nil
}

// target is the cluster as the clients see it.
func (d *demo) target() loadgen.Target {
	return loadgen.Target{Entries: d.cluster.EntryAddrs, ClientDelay: clientDelay, Ledger: d.cluster.Ledger}
}

// firstJob sends one job by itself.
func (d *demo) firstJob(ctx context.Context) error {
	plan := loadgen.NewPlan(loadgen.Config{
		Seed: d.options.Seed, Duration: time.Minute, Mix: mix[1:2], Load: load, Slots: d.cluster.Slots(), MaxJobs: 1,
	})
	plan[0].At, plan[0].Source = 0, loadgen.Minted
	result := loadgen.Run(ctx, d.target(), plan)
	if len(result.Outcomes) != 1 || !result.Outcomes[0].Complete() {
		return errors.Errorf("the first job did not complete: %+v, %v", result.Outcomes, result.Errors)
	}
	o := result.Outcomes[0]
	d.say("One job of %d tasks: complete after %s; its longest task and the round trip take %s.",
		o.Tasks, millis(o.Response), millis(o.IdealResponse))
	d.summary.Tasks, d.summary.Jobs, d.summary.Complete = o.Tasks, 1, 1
	return nil
}

func millis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// load sends many jobs while a failure domain goes out and comes back.
func (d *demo) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	plan := loadgen.NewPlan(loadgen.Config{
		Seed: d.options.Seed, Duration: loadTime, Mix: mix, Load: load,
		Slots: d.cluster.Slots(), ResubmitShare: resubmitShare,
	})
	d.say("Sending %d jobs in %s, %.0f%% of them twice through two entries.", len(plan), loadTime, resubmitShare*100)
	var changes sync.WaitGroup
	var changeErr error
	changes.Go(func() { changeErr = d.changes(ctx, time.Now()) })
	d.result = loadgen.Run(ctx, d.target(), plan)
	changes.Wait()
	if changeErr != nil {
		return changeErr
	}
	d.add(&d.result)
	return nil
}

// changes takes a failure domain out and brings it back.
func (d *demo) changes(ctx context.Context, start time.Time) error {
	domain := d.cluster.Domains()[0]
	sleep(ctx, time.Until(start.Add(outAt)))
	out, err := d.cluster.DomainOut(ctx, domain)
	if err != nil {
		return errors.Wrap(err, "take the domain out")
	}
	took, err := d.cluster.AwaitInForce(ctx, out)
	if err != nil {
		return err
	}
	d.summary.OutInForceSeconds = took.Seconds()
	d.say("%s is out: in force everywhere after %s.", domain, millis(took))

	sleep(ctx, time.Until(start.Add(inAt)))
	last := d.cluster.Ledger.LastStart(domain)
	in, err := d.cluster.DomainIn(ctx, domain)
	if err != nil {
		return errors.Wrap(err, "bring the domain back")
	}
	took, err = d.cluster.AwaitInForce(ctx, in)
	if err != nil {
		return err
	}
	d.summary.InInForceSeconds = took.Seconds()
	d.say("%s is back: in force everywhere after %s. %s", domain, millis(took), lastStart(last, out.Accepted))
	return nil
}

// lastStart says when the last task started in a domain that is out.
func lastStart(last, out time.Time) string {
	if last.Before(out) {
		return "No task started there while it was out."
	}
	return fmt.Sprintf("The last start there was %s after it went out.", millis(last.Sub(out)))
}

// add fills in the summary.
func (d *demo) add(result *loadgen.Result) {
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

func (d *demo) write() error {
	if d.options.JSON {
		return json.NewEncoder(d.options.Out).Encode(d.summary)
	}
	return writeTable(d.options.Out, &d.summary, &d.result)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
