package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// The routes of the second deployment of docs/design/contention.md, at a twelfth of its load.
// They use 0.7 of the capacity of simAgents, with the tasks that take 7 times as long.
var simRoutes = []simRoute{{8, 32, 60, 17.2}, {2, 8, 200, 50}, {4, 16, 900, 3.1}}

const (
	simAgents, simAgentCores, simTaskCPU = 5, 65, 5000
	usualLoad, usefulFactor              = 0.7, 3
	simSeeds                             = 4
)

type simRoute struct {
	meanTasks, maxTasks, millis int
	jobsPerSecond               float64
}

// simJob is a job with what the dispatcher does not know of it.
type simJob struct {
	at, objective   time.Duration
	tasks           []time.Duration
	priority        int
	spent, answered time.Duration
	answer          Answer
}

func (j *simJob) value() float64 {
	switch took := j.answered - j.at; {
	case j.answer.Outcome != Completed || took > usefulFactor*j.objective:
		return 0
	case took > j.objective:
		return 0.2
	default:
		return 1
	}
}

type simEvent struct {
	at  time.Duration
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// sim runs a dispatcher with agents whose messages take no time.
type sim struct {
	t     *testing.T
	core  *Core
	rand  *rand.Rand
	now   time.Duration
	queue simQueue
	jobs  []*simJob
	runs  map[uint64]time.Duration
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.queue, simEvent{s.now + d, run}) }

func (s *sim) step(event step.Event) {
	for _, action := range slices.Clone(s.core.Step(clock.Now{Mono: s.now}, event)) {
		switch a := action.(type) {
		case Answer:
			s.jobs[a.Call].answer, s.jobs[a.Call].answered = a, s.now
		case step.LogEvent:
			s.checkLog(a)
		case step.Send:
			if o := a.Message.Offer; o != nil {
				s.start(a, o)
			} else if r := a.Message.RevokeOffer; r != nil {
				s.after(time.Millisecond, func() { s.end(a, r.Seq, message.RunStopped) })
			}
		}
	}
}

// checkLog checks that the line of a predicted end states what the prediction was made from.
func (s *sim) checkLog(e step.LogEvent) {
	if e.Event != "job_ended" || !slices.Contains(e.Fields, any(reasonPredicted)) {
		return
	}
	for _, name := range []string{"predicted_start_ms", "ahead_core_ms", "rate_mcpu", "limit_ms"} {
		if !slices.Contains(e.Fields, any(name)) {
			s.t.Errorf("job %s: no %s in %v", e.Job, name, e.Fields)
		}
	}
}

func (s *sim) start(a step.Send, o *message.Offer) {
	var call int
	fmt.Sscanf(o.Task.Job, "%x", &call)
	took := s.jobs[call].tasks[o.Task.Index]
	s.runs[o.Seq] = s.now
	s.after(took, func() { s.end(a, o.Seq, message.RunDone) })
}

func (s *sim) end(a step.Send, seq uint64, result message.RunResult) {
	startedAt, ok := s.runs[seq]
	if !ok {
		return
	}
	delete(s.runs, seq)
	if t, open := s.core.openOffers[seq]; open {
		s.jobs[t.job.call].spent += s.now - startedAt
	}
	s.step(step.Received{Envelope: message.Envelope{From: a.To, Messages: []message.Message{{RunCompletion: &message.RunCompletion{Seq: seq, Result: result}}}}})
}

// submit submits a job whose estimate is off by up to estimateError.
func (s *sim) submit(priority int) {
	r := simRoutes[priority]
	longest := time.Duration(float64(r.millis)*(0.5+s.rand.Float64())) * time.Millisecond
	route := &site.Route{Name: fmt.Sprint("r", priority), Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1.6, Margin: 60 * time.Millisecond}
	j := &simJob{at: s.now, priority: priority}
	s.jobs = append(s.jobs, j)
	for range min(1+int(s.rand.ExpFloat64()*(float64(r.meanTasks)-0.5)), r.maxTasks) {
		j.tasks = append(j.tasks, longest)
		if s.rand.Float64() < 0.03 {
			j.tasks[len(j.tasks)-1] *= 7
		}
	}
	j.objective = route.Objective(slices.Max(j.tasks))
	s.step(Submit{Call: uint64(len(s.jobs) - 1), Job: Job{
		ID: fmt.Sprintf("%016x", len(s.jobs)-1), Route: route, Wait: max(1500*time.Millisecond+time.Duration(s.rand.Float64()*1.5*float64(time.Second)), 2*j.objective),
		Steps: []Step{{Count: len(j.tasks), Demand: message.Resources{MilliCPU: simTaskCPU}, Estimate: time.Duration(float64(longest) * (1 + estimateError*(2*s.rand.Float64()-1)))}},
	}})
}

// arrive submits jobs of a priority until the end, at load times the usual rate.
func (s *sim) arrive(priority int, end time.Duration, load func(now time.Duration) float64) {
	gap := s.rand.ExpFloat64() / (simRoutes[priority].jobsPerSecond * load(s.now))
	s.after(time.Duration(gap*float64(time.Second)), func() {
		if s.now < end {
			s.submit(priority)
			s.arrive(priority, end, load)
		}
	})
}

func simulate(t *testing.T, cfg Config, seed uint64, seconds int, load func(priority int, now time.Duration) float64) *sim {
	s := &sim{t: t, core: New(cfg), rand: rand.New(rand.NewPCG(1, seed)), now: time.Millisecond, runs: map[uint64]time.Duration{}}
	s.step(SiteChanged{State: &site.State{Revision: 1, Configured: true}})
	for i := range simAgents {
		s.step(AgentConnected{Agent: ref(i), Domain: "z0"})
		report := &message.CapacityReport{Version: 1, Ready: true, InfoVersion: 1, Info: &message.UpstreamInfo{Service: "s", Domain: "z0", Capacity: message.Resources{MilliCPU: simAgentCores * oneCore}}}
		var beat func()
		beat = func() {
			s.step(step.Received{Envelope: message.Envelope{From: ref(i), Messages: []message.Message{{Heartbeat: &message.Heartbeat{Timestamp: s.now, Revision: 1, Capacity: report}}}}})
			report = nil
			s.after(100*time.Millisecond, beat)
		}
		beat()
	}
	end := time.Duration(seconds) * time.Second
	for p := range simRoutes {
		s.arrive(p, end, func(now time.Duration) float64 { return load(p, now) })
	}
	for len(s.queue) > 0 && s.now < end+8*time.Second {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// result summarises a simulation.
type result struct {
	value float64
	// byRoute is the value by route, told90 the time within which nine of ten callers whose
	// jobs were not completed knew it, and wasted the share of the time of runs that was spent
	// on jobs without value.
	byRoute  [3]float64
	told90   time.Duration
	wasted   float64
	unserved int
}

func (s *sim) result() result {
	var r result
	var told []time.Duration
	var all, wasted time.Duration
	var count [3]float64
	for _, j := range s.jobs {
		r.value += j.value() / float64(len(s.jobs))
		r.byRoute[j.priority] += j.value()
		count[j.priority]++
		all += j.spent
		if j.value() == 0 {
			wasted += j.spent
		}
		if j.answer.Outcome != Completed {
			told = append(told, j.answered-j.at)
		}
	}
	for p := range count {
		r.byRoute[p] /= count[p]
	}
	slices.SortFunc(told, cmp.Compare)
	if r.unserved = len(told); r.unserved > 0 {
		r.told90 = told[len(told)*9/10]
	}
	r.wasted = float64(wasted) / float64(all)
	return r
}

// add adds the result of one of simSeeds simulations to their mean.
func (r *result) add(o result) {
	r.value += o.value / simSeeds
	for p := range r.byRoute {
		r.byRoute[p] += o.byRoute[p] / simSeeds
	}
	r.told90 += o.told90 / simSeeds
	r.wasted += o.wasted / simSeeds
	r.unserved += o.unserved
}

// TestBurstsAboveCapacity guards against callers that wait for seconds to be refused, and
// capacity spent on answers of no use: 4 s of all routes at 2.4 times the capacity, then 4 s of
// the medium route at 5 times its usual load.
func TestBurstsAboveCapacity(t *testing.T) {
	compareInBurst(t, func(priority int, now time.Duration) float64 {
		switch at := now.Seconds(); {
		case at >= 3 && at < 7:
			return 2.4 / usualLoad
		case at >= 12 && at < 16 && priority == 1:
			return 5
		default:
			return 1
		}
	})
}

// TestUrgentBurstAfterLongTasks guards against urgent jobs refused by the rate at which long
// tasks were placed: the long route at 6 times its usual load, in its second half the urgent one
// at 4 times.
func TestUrgentBurstAfterLongTasks(t *testing.T) {
	compareInBurst(t, func(priority int, now time.Duration) float64 {
		switch at := now.Seconds(); {
		case at >= 3 && at < 9 && priority == 2:
			return 6
		case at >= 6 && at < 9 && priority == 0:
			return 4
		default:
			return 1
		}
	})
}

// compareInBurst compares prediction with today's rule and with useful_factor alone.
func compareInBurst(t *testing.T, load func(priority int, now time.Duration) float64) {
	var results [3]result
	for i, cfg := range []Config{{}, {UsefulFactor: usefulFactor}, {UsefulFactor: usefulFactor, Predict: true}} {
		cfg.Domain = "z0"
		for seed := range uint64(simSeeds) {
			results[i].add(simulate(t, cfg, 1+seed, 20, load).result())
		}
		t.Logf("useful_factor=%v predict=%v: %+v", cfg.UsefulFactor, cfg.Predict, results[i])
	}
	today, useful, predicted := results[0], results[1], results[2]
	if best := max(today.value, useful.value); predicted.value < best {
		t.Errorf("got value %.3f with prediction, want at least %.3f as without it", predicted.value, best)
	}
	for p := range simRoutes {
		if predicted.byRoute[p] < today.byRoute[p] {
			t.Errorf("priority %d: got value %.3f with prediction, want at least today's %.3f", p, predicted.byRoute[p], today.byRoute[p])
		}
	}
	if predicted.told90 > today.told90/2 {
		t.Errorf("got %v until 9 of 10 callers knew, want at most half of today's %v", predicted.told90, today.told90)
	}
	if predicted.wasted > today.wasted/2 {
		t.Errorf("got %.3f of the capacity spent in vain, want at most half of today's %.3f", predicted.wasted, today.wasted)
	}
}

// TestNoRefusalBelowCapacity guards against refusals at the usual load, 0.7 of the capacity,
// where tasks wait now and then, and a backlog may last for a second.
func TestNoRefusalBelowCapacity(t *testing.T) {
	for seed := range uint64(simSeeds) {
		s := simulate(t, Config{Domain: "z0", UsefulFactor: usefulFactor, Predict: true}, 1+seed, 20, func(int, time.Duration) float64 { return 1 })
		for _, j := range s.jobs {
			if j.answer.Outcome == Refused {
				t.Errorf("seed %d, job of priority %d: got %+v after %v, want none refused", 1+seed, j.priority, j.answer, j.answered-j.at)
			}
		}
	}
}

// TestAnswerOfNoUse guards against a partly placed job that holds capacity and its caller until
// the deadline: it is interrupted, and its runs are revoked, once its answer can be of no use
// even if its estimate is too short. A job whose tasks have all been placed is waited for.
func TestAnswerOfNoUse(t *testing.T) {
	b := newTestBed(t)
	b.core.cfg.UsefulFactor = usefulFactor
	b.connectAgents(1, 2)
	placed := b.submit("placed", 0, 1, 100*time.Millisecond)
	partly := b.submit("partly", 0, 2, 100*time.Millisecond)
	waits := b.submit("waits", 0, 1, 100*time.Millisecond)
	submitted := b.now
	endedAt := map[uint64]time.Duration{}
	for range 16 {
		b.advance(50 * time.Millisecond)
		b.sendHeartbeats(1)
		for call := range b.answers {
			if endedAt[call] == 0 {
				endedAt[call] = b.now - submitted
			}
		}
	}
	// Useful until 3 times 220 ms, or 3 times 327 ms with the longest task that the estimate
	// allows, less 60 ms.
	if a := b.answers[waits]; a.Outcome != Refused || a.Reason != reasonNoUse || endedAt[waits] > 700*time.Millisecond {
		t.Errorf("job without a run: got %+v after %v, want a refusal after 600 ms", a, endedAt[waits])
	}
	if a, ok := b.answers[partly]; ok {
		t.Errorf("partly placed job: got %+v after %v, want none before 920 ms", a, endedAt[partly])
	}
	b.advance(250 * time.Millisecond)
	if a := b.answers[partly]; a.Outcome != Interrupted || a.Reason != reasonNoUse || len(b.revoked) != 1 {
		t.Errorf("partly placed job: got %+v and %d revoked runs, want it interrupted after 920 ms and its run revoked", a, len(b.revoked))
	}
	b.complete(b.offers[0], message.RunDone, "")
	if a := b.answers[placed]; a.Outcome != Completed {
		t.Errorf("placed job: got %+v, want its late answer delivered", a)
	}
}

// TestCrashedJobLeavesBacklog guards against demand that stays in the sums for ever, and refuses
// later jobs, when a job that waits becomes a suspect of a crash.
func TestCrashedJobLeavesBacklog(t *testing.T) {
	b := newTestBed(t)
	b.core.cfg.Predict = true
	b.connectAgents(1, 1)
	b.submit("running", 0, 1, 100*time.Millisecond)
	waits := b.submit("waits", 0, 1, 100*time.Millisecond)
	b.core.jobs[waits].crashed = true
	b.step(CallerGone{Call: waits})
	if n := b.core.backlogs.byService["s"].Total(); n != 0 {
		t.Errorf("got %d core milliseconds of waiting demand without waiting jobs, want 0", n)
	}
}
