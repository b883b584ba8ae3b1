// Package experiment measures real entries and agents over loopback under load
// and faults, at the interfaces: stand-in upstreams, log and clients count what
// the system does.
package experiment

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/internal/cluster"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
)

// Defaults of Options.
const (
	DefaultScenario = "pettigrew"
	DefaultDuration = 20 * time.Second
	// DefaultLoad is the offered work as a share of the slots.
	DefaultLoad = 0.7
	// DefaultResubmit is the share of jobs that are submitted twice.
	DefaultResubmit = 0.05
)

const (
	// startTimeout bounds the start of a cluster.
	startTimeout = 30 * time.Second
	// drainTime bounds what follows the last arrival.
	drainTime = 60 * time.Second
	// readinessDelay is the time that an entry which stops gives the balancer.
	readinessDelay = 300 * time.Millisecond
	// grace bounds a planned stop.
	grace = 60 * time.Second
)

// ErrInvariant says that a run broke an invariant. The report is complete.
var ErrInvariant = errors.New("an invariant was broken")

// Options describes a run. Zero values take the defaults.
type Options struct {
	Scenario string
	// Faults are names from FaultNames, all in the same run. An element may hold
	// several, separated by commas.
	Faults []string
	// Policy names the placement policy.
	Policy   string
	Seed     uint64
	Duration time.Duration
	// Load is the offered work as a share of the slots.
	Load float64
	// Entries are HTTP host:port addresses of entries that run already, to be
	// used in place of a cluster of this process. No fault can be made then.
	Entries []string
	// SkipBaseline leaves out the run without faults that
	// CompletedDuringFaultFraction needs.
	SkipBaseline bool
	// ReportDir receives the report and plots. Empty writes none.
	ReportDir string
	// Progress receives a line every second. It may be nil.
	Progress io.Writer
}

func (o *Options) setDefaults() {
	if o.Scenario == "" {
		o.Scenario = DefaultScenario
	}
	o.Faults = splitNames(o.Faults)
	if len(o.Faults) == 0 {
		o.Faults = []string{"none"}
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Load == 0 {
		o.Load = DefaultLoad
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
}

// splitNames splits each element at its commas.
func splitNames(list []string) []string {
	var names []string
	for _, x := range list {
		names = append(names, strings.Split(x, ",")...)
	}
	return names
}

// Run makes one run, and one without faults to compare with when there are
// faults. The error is ErrInvariant when the run broke an invariant.
func Run(ctx context.Context, o Options) (Report, error) {
	o.setDefaults()
	scenario, ok := findScenario(o.Scenario)
	if !ok {
		return Report{}, errors.Errorf("unknown scenario %q; the scenarios are %s",
			o.Scenario, strings.Join(ScenarioNames(), ", "))
	}
	chosen, err := findFaults(o.Faults)
	if err != nil {
		return Report{}, err
	}
	if len(o.Entries) > 0 && !isNone(chosen) {
		return Report{}, errors.New("faults need a cluster of this process")
	}
	m, err := measureOnce(ctx, o, scenario, chosen)
	if err != nil {
		return Report{}, err
	}
	report := newReport(o, m)
	var baseline *measurement
	if !o.SkipBaseline && !isNone(chosen) {
		b, err := measure(ctx, o, scenario, nil)
		if err != nil {
			return Report{}, errors.Wrap(err, "run without faults")
		}
		baseline = &b
		report.compare(m, b)
	}
	if o.ReportDir != "" {
		if err := writeReport(o.ReportDir, report, &m, baseline); err != nil {
			return report, errors.Wrap(err, "write the report")
		}
	}
	if report.broken(chosen) {
		return report, ErrInvariant
	}
	return report, nil
}

func measureOnce(ctx context.Context, o Options, s Scenario, chosen []fault) (measurement, error) {
	if len(o.Entries) > 0 {
		return measureRunning(ctx, o, s)
	}
	return measure(ctx, o, s, chosen)
}

func isNone(chosen []fault) bool {
	for _, f := range chosen {
		if f.plan != nil || f.begin != nil {
			return false
		}
	}
	return true
}

// runner is one run in progress.
type runner struct {
	cluster   *cluster.Cluster
	window    window
	restarted atomic.Int64

	// routing guards routes, those that faults have added.
	routing sync.Mutex
	routes  []config.Route

	mu         sync.Mutex
	maxInForce time.Duration
	errs       []error
}

// measurement is the outcome of one run.
type measurement struct {
	window   window
	load     loadgen.Result
	elapsed  time.Duration
	observed observed
	counts   counts
}

func measure(ctx context.Context, o Options, s Scenario, chosen []fault) (measurement, error) {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := cluster.Start(starting, cluster.Config{
		Entries: siteEntries, Agents: siteAgents, Domains: siteDomains, RackSize: siteRackSize,
		Slots: siteSlots, Connections: siteConnections, LinkDelay: s.LinkDelay,
		Placement: o.Policy, Seed: o.Seed, ReadinessDelay: readinessDelay, Grace: grace,
	})
	if err != nil {
		return measurement{}, err
	}
	defer c.Close()
	c.Settle(ctx)
	r := &runner{cluster: c, window: faultWindow(o.Duration)}
	return r.run(ctx, o, s, chosen)
}

func (r *runner) run(ctx context.Context, o Options, s Scenario, chosen []fault) (measurement, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+drainTime)
	defer cancel()
	cfg := loadgen.Config{
		Seed: o.Seed, Duration: o.Duration, Mix: s.Mix, Load: o.Load,
		Slots: r.cluster.Slots(), ResubmitShare: DefaultResubmit,
	}
	for _, f := range chosen {
		if f.plan != nil {
			f.plan(&cfg, r.window)
		}
	}
	target := loadgen.Target{Entries: r.cluster.EntryAddrs, ClientDelay: s.ClientDelay, Ledger: r.cluster.Ledger}

	background, stop := context.WithCancel(ctx)
	defer stop()
	watch := newObserver(r.cluster)
	start := time.Now()
	var helpers, script sync.WaitGroup
	helpers.Go(func() { watch.run(background) })
	helpers.Go(func() { r.progress(background, o.Progress, start) })
	for _, f := range chosen {
		script.Go(func() { r.inject(ctx, start, f) })
	}
	result := loadgen.Run(ctx, target, loadgen.NewPlan(cfg))
	elapsed := time.Since(start)
	script.Wait()
	stop()
	helpers.Wait()
	watch.look(ctx)
	m := measurement{window: r.window, load: result, elapsed: elapsed, observed: watch.observed}
	m.counts = counts{ledger: r.cluster.Ledger.Counts(), maxInForce: r.maxInForce, restarted: r.restarted.Load()}
	return m, errors.Join(r.errs...)
}

// inject makes one fault at its time.
func (r *runner) inject(ctx context.Context, start time.Time, f fault) {
	if f.begin != nil && sleep(ctx, time.Until(start.Add(r.window.start))) {
		r.note(f.name, f.begin(ctx, r))
	}
	if f.end != nil && sleep(ctx, time.Until(start.Add(r.window.end))) {
		r.note(f.name, f.end(ctx, r))
	}
}

func (r *runner) note(name string, err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, errors.Wrapf(err, "fault %s", name))
}

// awaitInForce waits until a change is in force and notes how long it took.
func (r *runner) awaitInForce(ctx context.Context, change cluster.Change, err error) error {
	if err != nil {
		return err
	}
	d, err := r.cluster.AwaitInForce(ctx, change)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxInForce = max(r.maxInForce, d)
	return nil
}

// progress writes a line every second.
func (r *runner) progress(ctx context.Context, w io.Writer, start time.Time) {
	for sleep(ctx, time.Second) {
		counts := r.cluster.Ledger.Counts()
		fmt.Fprintf(w, "%4.0fs  %d tasks started, %d ended\n", time.Since(start).Seconds(), counts.Starts, counts.Answered)
	}
}

// sleep reports false when ctx ended before d had passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
