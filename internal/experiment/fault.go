package experiment

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/internal/cluster"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/logservice"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

// Magnitudes of the faults.
const (
	// burstFactor raises the default load to three times the capacity of the slots.
	burstFactor = 3 / DefaultLoad
	// maxBurstLength limits the length of a burst.
	maxBurstLength = 5 * time.Second
	// stragglerFactor multiplies the duration of tasks on a slow upstream.
	stragglerFactor = 5
	// cancelShare is the share of the jobs in flight that a wave of cancellations
	// cancels.
	cancelShare = 0.5
	// slowLogDelay is the delay that a slow log service adds to each request.
	slowLogDelay = 500 * time.Millisecond
)

// window is the part of a run in which the faults are in effect, as times since
// its start.
type window struct{ start, end time.Duration }

// faultWindow returns the fault window of a run of length d.
func faultWindow(d time.Duration) window {
	return window{start: d * 3 / 10, end: d * 6 / 10}
}

func (w window) contains(at time.Duration) bool { return at >= w.start && at < w.end }

// fault is a named fault. Its function fields may be nil.
type fault struct {
	name string
	// plan changes the load before the run starts.
	plan func(cfg *loadgen.Config, w window)
	// begin and end change the cluster at the start and the end of the fault window.
	begin, end faultAction
	// cutsOff is true if the fault may cut off requests in flight.
	cutsOff bool
}

var faults = []fault{
	{name: "none"},
	{name: "crash", begin: crash, end: restart, cutsOff: true},
	{name: "domain-out", begin: domainOut, end: domainIn},
	{name: "log-outage", begin: logOutage(true), end: logOutage(false)},
	{name: "log-slow", begin: logDelay(slowLogDelay), end: logDelay(0)},
	{name: "lost-replies", begin: loseReplies(true), end: loseReplies(false)},
	{name: "partition", begin: partition, end: heal},
	{name: "pause", begin: pause, end: resume},
	{name: "straggler", begin: slowUpstream(stragglerFactor), end: slowUpstream(0)},
	{name: "burst", plan: planBurst},
	{name: "black-hole", begin: failAllTasks(true), end: failAllTasks(false)},
	{name: "never-runnable", plan: planNeverRunnable, begin: routeSpecialTasks},
	{name: "cancel-wave", plan: planCancel},
	{name: "wrong-sizes", plan: planMislabelled, begin: declareWrongSlots, end: declareTrueSlots},
	{name: "throttle", begin: throttle, end: unthrottle},
	{name: "rolling-restart", begin: rollingRestart},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	names := make([]string, len(faults))
	for i := range faults {
		names[i] = faults[i].name
	}
	return names
}

func findFaults(names []string) ([]fault, error) {
	var found []fault
	for _, name := range names {
		n := len(found)
		for _, f := range faults {
			if f.name == name {
				found = append(found, f)
			}
		}
		if len(found) == n {
			return nil, errors.Errorf("unknown fault %q; the faults are %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	return found, nil
}

func planBurst(cfg *loadgen.Config, w window) {
	length := min(w.end-w.start, maxBurstLength)
	cfg.Burst = loadgen.Burst{Start: w.start, Length: length, Factor: burstFactor}
}

func planCancel(cfg *loadgen.Config, w window) {
	cfg.Cancel = loadgen.CancelWave{At: w.start, Every: (w.end - w.start) / 4, Share: cancelShare}
}

// faultedAgent returns the agent that is hit by the faults of a single worker.
func (r *runner) faultedAgent() *cluster.Agent { return r.cluster.Agents[0] }

// faultedDomain returns the failure domain that is hit by the faults of a single
// domain.
func (r *runner) faultedDomain() string { return r.cluster.Domains()[0] }

func crash(_ context.Context, r *runner) error {
	r.faultedAgent().Kill()
	r.cluster.Entries[0].Kill()
	return nil
}

func restart(_ context.Context, r *runner) error {
	if err := r.faultedAgent().Start(); err != nil {
		return err
	}
	return r.cluster.Entries[0].Start()
}

func domainOut(ctx context.Context, r *runner) error {
	change, err := r.cluster.TakeOutDomain(ctx, r.faultedDomain())
	return r.awaitInForce(ctx, change, err)
}

func domainIn(ctx context.Context, r *runner) error {
	change, err := r.cluster.BringBackDomain(ctx, r.faultedDomain())
	return r.awaitInForce(ctx, change, err)
}

// faultAction begins or ends a fault.
type faultAction = func(ctx context.Context, r *runner) error

// logFault changes the faults of the log service.
func logFault(edit func(f *logservice.Faults)) faultAction {
	return func(_ context.Context, r *runner) error {
		r.cluster.Log.EditFaults(edit)
		return nil
	}
}

func logOutage(down bool) faultAction {
	return logFault(func(f *logservice.Faults) { f.Outage = down })
}

func logDelay(d time.Duration) faultAction {
	return logFault(func(f *logservice.Faults) { f.Delay = d })
}

// upstreamFault changes the faults of the faulted agent's local upstream.
func upstreamFault(edit func(f *upstream.Faults)) faultAction {
	return func(_ context.Context, r *runner) error {
		r.faultedAgent().Upstream.EditFaults(edit)
		return nil
	}
}

func slowUpstream(factor float64) faultAction {
	return upstreamFault(func(f *upstream.Faults) { f.SlowFactor = factor })
}

func failAllTasks(fail bool) faultAction {
	return upstreamFault(func(f *upstream.Faults) { f.FailAll = fail })
}

// loseReplies makes the log service and the faulted agent's local upstream drop
// their replies, or stop doing so.
func loseReplies(lose bool) faultAction {
	return func(_ context.Context, r *runner) error {
		r.cluster.Log.EditFaults(func(f *logservice.Faults) { f.LoseReplies = lose })
		r.faultedAgent().Upstream.EditFaults(func(f *upstream.Faults) { f.DropAnswers = lose })
		return nil
	}
}

func partition(_ context.Context, r *runner) error {
	r.cluster.Isolate(r.faultedDomain())
	return nil
}

func heal(_ context.Context, r *runner) error {
	r.cluster.Heal()
	return nil
}

func pause(_ context.Context, r *runner) error {
	r.cluster.Pause(r.faultedAgent().ID)
	return nil
}

func resume(_ context.Context, r *runner) error {
	r.cluster.Resume(r.faultedAgent().ID)
	return nil
}

// specialLabel is the label of tasks that no upstream can run.
const specialLabel = "accelerator"

// planNeverRunnable adds jobs of a new type. Once routeSpecialTasks has published its
// route, no upstream can run them.
func planNeverRunnable(cfg *loadgen.Config, _ window) {
	jobType := cfg.Mix[0]
	jobType.Name = "never-runnable"
	jobType.Labels = label.Set{specialLabel: "yes"}
	jobType.NeverRuns = true
	jobType.Weight /= 10
	cfg.Mix = append(slices.Clone(cfg.Mix), jobType)
}

// routeSpecialTasks routes tasks with specialLabel to upstreams with that label,
// of which there are none.
func routeSpecialTasks(ctx context.Context, r *runner) error {
	special := label.Selector{{Key: specialLabel, Operator: label.Exists}}
	return r.addRoutes(ctx, config.Route{Name: "special", Tasks: special, Upstreams: special})
}

// addRoutes publishes the routes together with those that other faults have added,
// because publishing replaces all routes. A last route covers the remaining tasks.
func (r *runner) addRoutes(ctx context.Context, routes ...config.Route) error {
	r.routesMu.Lock()
	defer r.routesMu.Unlock()
	r.routes = append(r.routes, routes...)
	all := append(slices.Clone(r.routes), config.Route{Name: "rest"})
	change, err := r.cluster.SetRoutes(ctx, config.Routes{Routes: all})
	return r.awaitInForce(ctx, change, err)
}

// rollingRestart restarts every process by planned stops: first the agents, one
// rack at a time, then the entries, one at a time. It returns early if ctx ends.
func rollingRestart(ctx context.Context, r *runner) error {
	agents := r.cluster.Agents
	for len(agents) > 0 && ctx.Err() == nil {
		rack := agents[:min(siteRackSize, len(agents))]
		agents = agents[len(rack):]
		if err := restartRack(rack); err != nil {
			return err
		}
		r.restarted.Add(int64(len(rack)))
	}
	for _, e := range r.cluster.Entries {
		if ctx.Err() != nil {
			return nil
		}
		if err := e.Stop(); err != nil {
			return errors.Wrapf(err, "planned stop of %s", e.ID)
		}
		if err := e.Start(); err != nil {
			return err
		}
		r.restarted.Add(1)
	}
	return nil
}

// restartRack restarts the agents of a rack concurrently by planned stops. Their
// local upstreams keep running.
func restartRack(rack []*cluster.Agent) error {
	errs := make([]error, len(rack))
	var wait sync.WaitGroup
	for i, a := range rack {
		wait.Go(func() {
			if err := a.Stop(); err != nil {
				errs[i] = errors.Wrapf(err, "planned stop of %s", a.ID)
				return
			}
			errs[i] = a.StartAgent()
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}
