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

// Factors of the faults.
const (
	// burstFactor multiplies the offered load up to three times the capacity.
	burstFactor = 3 / DefaultLoad
	// maxBurst bounds the length of a burst.
	maxBurst = 5 * time.Second
	// stragglerFactor multiplies the duration of tasks on a slow upstream.
	stragglerFactor = 5
	// cancelShare is the share of jobs in flight that a wave cancels.
	cancelShare = 0.5
	// slowLog is the delay of a slow log service.
	slowLog = 500 * time.Millisecond
)

// window is the part of a run in which a fault holds.
type window struct{ start, end time.Duration }

func faultWindow(d time.Duration) window {
	return window{start: d * 3 / 10, end: d * 6 / 10}
}

func (w window) holds(at time.Duration) bool { return at >= w.start && at < w.end }

// fault is one entry of the list of faults. Its fields may be nil.
type fault struct {
	name string
	// plan changes the arrivals.
	plan func(cfg *loadgen.Config, w window)
	// begin and end change the cluster.
	begin, end step
	// cutsOff says that requests in flight may be cut off.
	cutsOff bool
}

var faults = []fault{
	{name: "none"},
	{name: "crash", begin: crash, end: restart, cutsOff: true},
	{name: "domain-out", begin: domainOut, end: domainIn},
	{name: "log-outage", begin: outage(true), end: outage(false)},
	{name: "log-slow", begin: logDelay(slowLog), end: logDelay(0)},
	{name: "lost-replies", begin: loseReplies(true), end: loseReplies(false)},
	{name: "partition", begin: partition, end: heal},
	{name: "pause", begin: pause, end: resume},
	{name: "straggler", begin: slow(stragglerFactor), end: slow(0)},
	{name: "burst", plan: planBurst},
	{name: "black-hole", begin: failAll(true), end: failAll(false)},
	{name: "never-runnable", plan: planNeverRunnable, begin: routeSpecialTasks},
	{name: "cancel-wave", plan: planCancel},
	{name: "wrong-sizes", plan: planMislabelled, begin: misdeclare, end: declareTruly},
	{name: "throttle", begin: throttle, end: unthrottle},
	{name: "rolling-restart", begin: rollingRestart},
}

// FaultNames lists the faults.
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
	length := min(w.end-w.start, maxBurst)
	cfg.Burst = loadgen.Burst{Start: w.start, Length: length, Factor: burstFactor}
}

func planCancel(cfg *loadgen.Config, w window) {
	cfg.Cancel = loadgen.CancelWave{At: w.start, Every: (w.end - w.start) / 4, Share: cancelShare}
}

// victim is the agent that faults of one worker hit.
func (r *runner) victim() *cluster.Agent { return r.cluster.Agents[0] }

// outDomain is the failure domain that faults of one domain hit.
func (r *runner) outDomain() string { return r.cluster.Domains()[0] }

func crash(_ context.Context, r *runner) error {
	r.victim().Kill()
	r.cluster.Entries[0].Kill()
	return nil
}

func restart(_ context.Context, r *runner) error {
	if err := r.victim().Start(); err != nil {
		return err
	}
	return r.cluster.Entries[0].Start()
}

func domainOut(ctx context.Context, r *runner) error {
	change, err := r.cluster.DomainOut(ctx, r.outDomain())
	return r.awaitInForce(ctx, change, err)
}

func domainIn(ctx context.Context, r *runner) error {
	change, err := r.cluster.DomainIn(ctx, r.outDomain())
	return r.awaitInForce(ctx, change, err)
}

// step is the begin or the end of a fault.
type step = func(ctx context.Context, r *runner) error

func logFault(edit func(f *logservice.Faults)) step {
	return func(_ context.Context, r *runner) error {
		r.cluster.Log.EditFaults(edit)
		return nil
	}
}

func outage(down bool) step {
	return logFault(func(f *logservice.Faults) { f.Outage = down })
}

func logDelay(d time.Duration) step {
	return logFault(func(f *logservice.Faults) { f.Delay = d })
}

// upstreamFault changes the faults of the victim's upstream.
func upstreamFault(edit func(f *upstream.Faults)) step {
	return func(_ context.Context, r *runner) error {
		r.victim().Upstream.EditFaults(edit)
		return nil
	}
}

func slow(factor float64) step {
	return upstreamFault(func(f *upstream.Faults) { f.SlowFactor = factor })
}

func failAll(fail bool) step {
	return upstreamFault(func(f *upstream.Faults) { f.FailAll = fail })
}

// loseReplies loses the replies of the log service and of one upstream.
func loseReplies(lose bool) step {
	return func(_ context.Context, r *runner) error {
		r.cluster.Log.EditFaults(func(f *logservice.Faults) { f.LoseReplies = lose })
		r.victim().Upstream.EditFaults(func(f *upstream.Faults) { f.DropAnswers = lose })
		return nil
	}
}

func partition(_ context.Context, r *runner) error {
	r.cluster.Isolate(r.outDomain())
	return nil
}

func heal(_ context.Context, r *runner) error {
	r.cluster.Heal()
	return nil
}

func pause(_ context.Context, r *runner) error {
	r.cluster.Pause(r.victim().ID)
	return nil
}

func resume(_ context.Context, r *runner) error {
	r.cluster.Resume(r.victim().ID)
	return nil
}

// specialLabel marks tasks that no upstream can run.
const specialLabel = "accelerator"

// planNeverRunnable adds jobs that no upstream can run once the routes are set.
func planNeverRunnable(cfg *loadgen.Config, _ window) {
	kind := cfg.Mix[0]
	kind.Name = "never-runnable"
	kind.Labels = label.Set{specialLabel: "yes"}
	kind.NeverRuns = true
	kind.Weight /= 10
	cfg.Mix = append(slices.Clone(cfg.Mix), kind)
}

// routeSpecialTasks sends special tasks to upstreams that do not exist.
func routeSpecialTasks(ctx context.Context, r *runner) error {
	special := label.Selector{{Key: specialLabel, Operator: label.Exists}}
	return r.addRoutes(ctx, config.Route{Name: "special", Tasks: special, Upstreams: special})
}

// addRoutes publishes routes beside those of other faults, and one for the rest.
func (r *runner) addRoutes(ctx context.Context, routes ...config.Route) error {
	r.routing.Lock()
	defer r.routing.Unlock()
	r.routes = append(r.routes, routes...)
	all := append(slices.Clone(r.routes), config.Route{Name: "rest"})
	change, err := r.cluster.SetRoutes(ctx, config.Routes{Routes: all})
	return r.awaitInForce(ctx, change, err)
}

// rollingRestart restarts every process by planned stops, a rack of agents at a
// time, then one entry after the other. It ends early with ctx.
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
