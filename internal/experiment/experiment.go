// Package experiment measures real entries and agents over loopback under load
// and faults. It measures at the system's interfaces: the stand-ins for upstreams
// and the log service and the clients of the load generator count what the system
// does.
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
	// DefaultLoad is the offered load as a share of the slots of all upstreams.
	DefaultLoad = 0.7
	// DefaultResubmitShare is the share of jobs that are submitted twice.
	DefaultResubmitShare = 0.05
)

const (
	// startTimeout limits the start of a cluster.
	startTimeout = 30 * time.Second
	// completionTimeout limits the time from the last arrival to the completion of
	// the run.
	completionTimeout = 60 * time.Second
	// readinessDelay is how long a stopping entry still accepts calls while its
	// readiness check fails, so that a load balancer notices first.
	readinessDelay = 300 * time.Millisecond
	// grace limits the duration of a planned stop.
	grace = 60 * time.Second
)

// ErrInvariant reports that a run broke an invariant. The report that is returned
// with it is complete.
var ErrInvariant = errors.New("an invariant was broken")

// Options describes a run. A zero value selects the default.
type Options struct {
	Scenario string
	// Faults are names from FaultNames. All of them are injected into the same run.
	// An element may hold several names, separated by commas.
	Faults []string
	// Policy names the placement policy.
	Policy   string
	Seed     uint64
	Duration time.Duration
	// Load is the offered load as a share of the slots of all upstreams.
	Load float64
	// Entries are HTTP host:port addresses of entries that are already running. If
	// it is set, the load goes to them instead of to a cluster in this process, and
	// no fault can be injected.
	Entries []string
	// SkipBaseline omits the baseline, the run without faults from which
	// Report.CompletedDuringFaultFraction is computed.
	SkipBaseline bool
	// ReportDir is the directory for the report and its plots. If it is empty, none
	// are written.
	ReportDir string
	// Progress receives a progress line every second. It may be nil.
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

// Run measures one run. If faults are injected, it also measures the baseline
// without faults, unless Options.SkipBaseline is set. The error is ErrInvariant if
// the run broke an invariant.
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
	if len(o.Entries) > 0 && !hasNoFault(chosen) {
		return Report{}, errors.New("faults cannot be injected into entries that are already running")
	}
	m, err := measureTarget(ctx, o, scenario, chosen)
	if err != nil {
		return Report{}, err
	}
	report := newReport(o, m)
	var baseline *measurement
	if !o.SkipBaseline && !hasNoFault(chosen) {
		b, err := measureOwnCluster(ctx, o, scenario, nil)
		if err != nil {
			return Report{}, errors.Wrap(err, "measure the baseline without faults")
		}
		baseline = &b
		report.addFaultComparison(m, b)
	}
	if o.ReportDir != "" {
		if err := writeReport(o.ReportDir, report, &m, baseline); err != nil {
			return report, errors.Wrap(err, "write the report")
		}
	}
	if report.invariantBroken(chosen) {
		return report, ErrInvariant
	}
	return report, nil
}

// measureTarget measures one run against the entries in Options.Entries, or
// against a cluster in this process if there are none.
func measureTarget(ctx context.Context, o Options, s Scenario, chosen []fault) (measurement, error) {
	if len(o.Entries) > 0 {
		return measureRunningEntries(ctx, o, s)
	}
	return measureOwnCluster(ctx, o, s, chosen)
}

// hasNoFault reports whether the chosen faults change neither the load nor the
// cluster.
func hasNoFault(chosen []fault) bool {
	for _, f := range chosen {
		if f.plan != nil || f.begin != nil {
			return false
		}
	}
	return true
}

// runner is one run in progress.
type runner struct {
	cluster *cluster.Cluster
	// window is the part of the run in which the faults are in effect.
	window window
	// restarted counts the processes that were restarted by planned stops.
	restarted atomic.Int64

	// routesMu guards routes, the routes that faults have added.
	routesMu sync.Mutex
	routes   []config.Route

	mu sync.Mutex
	// maxInForce is the longest time until a change was in force.
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

// measureOwnCluster starts a cluster in this process, measures one run against it
// and closes it.
func measureOwnCluster(ctx context.Context, o Options, s Scenario, chosen []fault) (measurement, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := cluster.Start(startCtx, cluster.Config{
		Entries: siteEntries, Agents: siteAgents, Domains: siteDomains, RackSize: siteRackSize,
		Slots: siteSlots, Connections: siteConnections, LinkDelay: s.LinkDelay,
		Placement: o.Policy, Seed: o.Seed, ReadinessDelay: readinessDelay, Grace: grace,
	})
	if err != nil {
		return measurement{}, err
	}
	defer c.Close()
	c.AwaitAgentConfirmation(ctx)
	r := &runner{cluster: c, window: faultWindow(o.Duration)}
	return r.run(ctx, o, s, chosen)
}

// run applies the load, injects the chosen faults and observes the processes
// until the load is answered and the faults have ended.
func (r *runner) run(ctx context.Context, o Options, s Scenario, chosen []fault) (measurement, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+completionTimeout)
	defer cancel()
	cfg := loadgen.Config{
		Seed: o.Seed, Duration: o.Duration, Mix: s.Mix, Load: o.Load,
		Slots: r.cluster.TotalSlots(), ResubmitShare: DefaultResubmitShare,
	}
	for _, f := range chosen {
		if f.plan != nil {
			f.plan(&cfg, r.window)
		}
	}
	target := loadgen.Target{Entries: r.cluster.EntryAddrs, ClientDelay: s.ClientDelay, Ledger: r.cluster.Ledger}

	monitorCtx, stopMonitors := context.WithCancel(ctx)
	defer stopMonitors()
	obs := newObserver(r.cluster)
	start := time.Now()
	var monitors, injections sync.WaitGroup
	monitors.Go(func() { obs.run(monitorCtx) })
	monitors.Go(func() { r.progress(monitorCtx, o.Progress, start) })
	for _, f := range chosen {
		injections.Go(func() { r.inject(ctx, start, f) })
	}
	result := loadgen.Run(ctx, target, loadgen.NewPlan(cfg))
	elapsed := time.Since(start)
	injections.Wait()
	stopMonitors()
	monitors.Wait()
	obs.observeAll(ctx)
	m := measurement{window: r.window, load: result, elapsed: elapsed, observed: obs.observed}
	m.counts = counts{ledger: r.cluster.Ledger.Counts(), maxInForce: r.maxInForce, restarted: r.restarted.Load()}
	return m, errors.Join(r.errs...)
}

// inject begins one fault at the start of the fault window and ends it at the end
// of the window.
func (r *runner) inject(ctx context.Context, start time.Time, f fault) {
	if f.begin != nil && sleep(ctx, time.Until(start.Add(r.window.start))) {
		r.recordError(f.name, f.begin(ctx, r))
	}
	if f.end != nil && sleep(ctx, time.Until(start.Add(r.window.end))) {
		r.recordError(f.name, f.end(ctx, r))
	}
}

// recordError adds an error of the named fault to the errors of the run. It
// ignores nil.
func (r *runner) recordError(name string, err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, errors.Wrapf(err, "fault %s", name))
}

// awaitInForce waits until a change is in force and updates maxInForce. It returns
// err, the error of publishing the change, if that is not nil.
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

// progress writes a progress line every second until ctx ends.
func (r *runner) progress(ctx context.Context, w io.Writer, start time.Time) {
	for sleep(ctx, time.Second) {
		counts := r.cluster.Ledger.Counts()
		fmt.Fprintf(w, "%4.0fs  %d tasks started, %d ended\n", time.Since(start).Seconds(), counts.Starts, counts.Answered)
	}
}

// sleep waits for d. It returns false if ctx ended first.
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
