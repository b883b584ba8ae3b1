package leasemodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// upstreamDomain returns the failure domain of an upstream.
func (sim *simulation) upstreamDomain(index int) string {
	if sim.domains > 0 {
		index %= sim.domains
	}
	return fmt.Sprintf("z%d", index)
}

// dispatcherDomain returns the failure domain of a dispatcher.
func (sim *simulation) dispatcherDomain(id node.ID) string {
	if sim.domains == 0 {
		return "z0"
	}
	var index int
	if _, err := fmt.Sscanf(string(id), "d%d", &index); err != nil {
		sim.t.Fatal(err)
	}
	return fmt.Sprintf("z%d", index%sim.domains)
}

// unevenResult is the result of the uneven load.
type unevenResult struct {
	outcomes
	refusedOffers, starts int
	// started and startedFast count the runs of each kind on all and on fast upstreams.
	started, startedFast map[string]int
}

func (r *unevenResult) add(other unevenResult) {
	r.outcomes.add(&other.outcomes)
	r.refusedOffers += other.refusedOffers
	r.starts += other.starts
	for kind := range other.started {
		if r.started == nil {
			r.started, r.startedFast = map[string]int{}, map[string]int{}
		}
		r.started[kind] += other.started[kind]
		r.startedFast[kind] += other.startedFast[kind]
	}
}

func (r unevenResult) fastShare(kind string) float64 {
	return float64(r.startedFast[kind]) / float64(max(r.started[kind], 1))
}

// means returns the mean response time in seconds and the share of the jobs on time, each
// with the square of its standard error.
func (r unevenResult) means() (response, responseError, onTime, onTimeError float64) {
	n := float64(max(r.onTime+r.late+r.refused+r.lost, 1))
	response, onTime = r.response.Seconds()/n, r.onTimeShare()
	return response, (r.squaredResponse/n - response*response) / n, onTime, onTime * (1 - onTime) / n
}

// runUneven runs the uneven load: 4 dispatchers and 8 agents in 2 failure domains. On a
// quarter of the upstreams, one in each domain, tasks take 0.55 of their duration, on the
// others 1.2. 3% of the tasks take 7 times as long, wherever they run. The jobs are those of
// the users, with estimates that are off by up to 0.4; utilisation is that of all upstreams
// together, slowdowns and long tasks included.
func runUneven(t testing.TB, seed uint64, learn bool, utilisation float64) unevenResult {
	const dispatchers, agents, domains, fast = 4, 8, 2, 2
	sim := newFleet(t, seed, 0, agents, slotsPerAgent*taskCPU, 0)
	sim.domains, sim.learnSpeed, sim.dispatcherCount = domains, learn, dispatchers
	for i := range dispatchers {
		sim.startDispatcher(node.ID(fmt.Sprintf("d%d", i)))
	}
	l := newLoadOn(sim)
	l.rnd, l.longShare = rand.New(rand.NewPCG(seed, 2)), 0.03
	duration := sim.duration
	slowdown := func(u string) float64 {
		var i int
		if _, err := fmt.Sscanf(u, "u%d", &i); err != nil {
			t.Fatal(err)
		}
		if i < fast {
			return 0.55
		}
		return 1.2
	}
	sim.duration = func(a lessee.StartRun) time.Duration {
		d := float64(duration(a)) * slowdown(a.Upstream)
		return time.Duration(d)
	}
	r := unevenResult{started: map[string]int{}, startedFast: map[string]int{}}
	sim.onStart = func(u *upstream, a lessee.StartRun) {
		var call uint64
		if _, err := fmt.Sscanf(a.Name.Job, "%x", &call); err != nil {
			t.Fatal(err)
		}
		kind := l.jobs[call].kind
		r.started[kind]++
		if u.index < fast {
			r.startedFast[kind]++
		}
	}
	// 100 upstreams do the work of 108 of speed 1, and long tasks add 18% to the work.
	const perUtilisation = (0.25/0.55 + 0.75/1.2) / 1.18
	l.countFrom = sim.now + 3*time.Second // The speeds are learned by then.
	starts := sim.starts
	for _, o := range l.run(loadDuration+3*time.Second, jobKindsAtLoad(utilisation*perUtilisation, agents)) {
		r.outcomes.add(o)
	}
	r.refusedOffers, r.starts = sim.refusedOffers, sim.starts-starts
	return r
}

// TestUnevenUpstreams compares placement that learns the speeds with placement that does not,
// under the load of runUneven at two utilisations, over the same jobs. It guards against a
// rule that trades response times for answers within the objective, or sends work to fast
// upstreams that are full. At half load the rule must be better by more than two standard
// errors of the difference, and near full load not worse by more than them.
func TestUnevenUpstreams(t *testing.T) {
	t.Parallel()
	for utilisation, want := range map[float64]float64{0.5: 2, 0.95: -2} {
		t.Run(fmt.Sprint(utilisation), func(t *testing.T) {
			t.Parallel()
			var results [2]unevenResult
			for i, learn := range []bool{false, true} {
				r := &results[i]
				for seed := range uint64(2) {
					r.add(runUneven(t, seed+1, learn, utilisation))
				}
				response, _, onTime, _ := r.means()
				t.Logf("learn %v: %d on time, %d late, %d refused, %d lost; mean response %.3f s, on time %.4f, refusals a start %.3f, on fast upstreams: %.2f of the long tasks, %.2f of the short ones",
					learn, r.onTime, r.late, r.refused, r.lost, response, onTime, float64(r.refusedOffers)/float64(r.starts), r.fastShare("closeout"), r.fastShare("check"))
			}
			before, beforeError, onTimeBefore, onTimeErrorBefore := results[0].means()
			after, afterError, onTimeAfter, onTimeErrorAfter := results[1].means()
			if gain := (before - after) / math.Sqrt(beforeError+afterError); gain < want {
				t.Errorf("response times: got a gain of %.1f standard errors, want %.0f", gain, want)
			}
			if gain := (onTimeAfter - onTimeBefore) / math.Sqrt(onTimeErrorBefore+onTimeErrorAfter); gain < want {
				t.Errorf("jobs on time: got a gain of %.1f standard errors, want %.0f", gain, want)
			}
			if long := results[1].fastShare("closeout"); want > 0 && (long <= results[1].fastShare("check") || long <= results[0].fastShare("closeout")) {
				t.Errorf("got %.2f of the long tasks on fast upstreams, want more than of the short ones and than without the speeds", long)
			}
		})
	}
}
