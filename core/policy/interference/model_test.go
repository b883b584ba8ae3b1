package interference

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// model simulates a fleet of upstreams that run the tasks of some routes, with an Observer at
// each upstream and one Detector whose findings set the prices of placements.
type model struct {
	rng    *rand.Rand
	routes []modelRoute
	agents []*modelAgent
	queue  []*modelTask
	now    time.Duration
	d      *Detector
	// interfering are the two routes whose runs take 1.3 times as long beside each other.
	interfering []int
	// fullFactor is by how much runs take longer on a full upstream; the effect begins at a
	// load of 0.8.
	fullFactor float64
	// unsteady makes route-2 come in bursts that fill the upstreams, and each upstream take 1.5
	// times as long for 4 s of every 12 s.
	unsteady bool
	separate bool
	done     int
	offers   int
	begun    []Finding
	ended    []Finding
}

type modelRoute struct {
	jobsPerSecond float64
	tasks         int
	duration      time.Duration
	// companion is the route of which each job of this one brings a job along, placed on the
	// same upstreams, or zero.
	companion int
}

type modelTask struct {
	route     int
	job       string
	estimate  float64 // relative to the duration
	remaining float64 // seconds on a healthy upstream
	startedAt time.Duration
	run       *Run
	mate      *modelTask
}

type modelAgent struct {
	slowdown float64
	observer *Observer
	runs     []*modelTask
	counts   []int
}

const (
	modelStep       = 5 * time.Millisecond
	modelCapacity   = 10 // tasks per upstream
	reportInterval  = 6 * time.Second
	modelAgentCount = 30
)

// newModel returns a fleet of which a quarter takes 0.55 of the usual time and the rest 1.2.
// Load is the share of its capacity that five routes ask for.
func newModel(seed uint64, load float64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 6)), d: NewDetector(), fullFactor: 1.5,
		routes: []modelRoute{
			{tasks: 4, duration: 51 * time.Millisecond},
			{tasks: 2, duration: 170 * time.Millisecond},
			{tasks: 4, duration: 760 * time.Millisecond},
			{tasks: 1, duration: 100 * time.Millisecond, companion: 4},
			{duration: 100 * time.Millisecond},
		},
	}
	// Each route asks for the same capacity. The mean slowdown is 1.04.
	for i := range m.routes {
		r := &m.routes[i]
		r.jobsPerSecond = load * modelCapacity * modelAgentCount / 5 / (float64(r.tasks) * r.duration.Seconds() * 1.04)
	}
	m.routes[4].jobsPerSecond = 0 // They come with jobs of route 3.
	for i := range modelAgentCount {
		a := &modelAgent{slowdown: 1.2, observer: NewObserver(), counts: make([]int, len(m.routes))}
		if i%4 == 0 {
			a.slowdown = 0.55
		}
		m.agents = append(m.agents, a)
	}
	return m
}

func routeName(i int) string { return fmt.Sprintf("route-%d", i) }

func (m *model) run(d time.Duration) {
	for end := m.now + d; m.now < end; m.now += modelStep {
		m.arrive()
		m.place()
		for i, a := range m.agents {
			m.advance(a, m.unsteady && (m.now+time.Duration(i)*time.Second)%(12*time.Second) < 4*time.Second)
			if (m.now+time.Duration(i)*reportInterval/modelAgentCount)%reportInterval < modelStep {
				if r := a.observer.Report(m.now); r != nil {
					m.d.Add(m.now, node.ID(fmt.Sprint(i)), r)
				}
			}
		}
		begun, ended := m.d.Evaluate(m.now)
		m.begun, m.ended = append(m.begun, begun...), append(m.ended, ended...)
	}
}

func (m *model) arrive() {
	for i, r := range m.routes {
		rate := r.jobsPerSecond
		if m.unsteady && i == 2 {
			rate *= 3
			if m.now%(6*time.Second) > 2*time.Second {
				rate = 0
			}
		}
		for p := rate * modelStep.Seconds(); m.rng.Float64() < p; p-- {
			job, estimate := fmt.Sprint(m.now, i, p), 0.6+0.8*m.rng.Float64()
			for range r.tasks {
				t := m.task(i, job, estimate)
				if r.companion > 0 {
					t.mate = m.task(r.companion, job, 0.6+0.8*m.rng.Float64())
				}
				m.queue = append(m.queue, t)
			}
		}
	}
}

func (m *model) task(route int, job string, estimate float64) *modelTask {
	seconds := m.routes[route].duration.Seconds()
	if m.rng.Float64() < 0.03 {
		seconds *= 7
	}
	return &modelTask{route: route, job: job, estimate: estimate, remaining: seconds}
}

// place starts the queued tasks in order, each on the upstream with the most free capacity,
// less the price. The noise stands for dispatchers that do not know of each other's offers.
func (m *model) place() {
	for len(m.queue) > 0 {
		t := m.queue[0]
		need := 1
		if t.mate != nil {
			need = 2
		}
		var best *modelAgent
		bestScore := 0.0
		for _, a := range m.agents {
			if len(a.runs)+need > modelCapacity {
				continue
			}
			score := 1 - float64(len(a.runs))/modelCapacity + 0.3*m.rng.Float64()
			if m.separate && m.offers%16 != 0 {
				score -= m.d.Price(routeName(t.route), func(route string) bool { return a.counts[route[len(route)-1]-'0'] > 0 })
			}
			if best == nil || score > bestScore {
				best, bestScore = a, score
			}
		}
		if best == nil {
			return
		}
		m.queue = m.queue[1:]
		m.start(best, t)
		if t.mate != nil {
			m.start(best, t.mate)
		}
	}
}

func (m *model) start(a *modelAgent, t *modelTask) {
	m.offers++
	t.startedAt = m.now
	t.run = a.observer.Start(m.now, routeName(t.route), t.job)
	a.runs = append(a.runs, t)
	a.counts[t.route]++
	a.observer.SetLoad(m.now, float64(len(a.runs))/modelCapacity)
}

func (m *model) interferes(a *modelAgent, route int) bool {
	i := slices.Index(m.interfering, route)
	return i >= 0 && a.counts[m.interfering[1-i]] > 0
}

// advance lets the runs of an upstream progress for one step.
func (m *model) advance(a *modelAgent, slow bool) {
	slowdown := a.slowdown * (1 + (m.fullFactor-1)*max(0, float64(len(a.runs))/modelCapacity-0.8)/0.2)
	if slow {
		slowdown *= 1.5
	}
	end := m.now + modelStep
	kept := a.runs[:0]
	for _, t := range a.runs {
		factor := slowdown
		if m.interferes(a, t.route) {
			factor *= 1.3
		}
		t.remaining -= modelStep.Seconds() / factor
		if t.remaining > 0 {
			kept = append(kept, t)
			continue
		}
		took := float64(end-t.startedAt) / float64(m.routes[t.route].duration)
		a.observer.End(end, t.run, took/t.estimate)
		a.counts[t.route]--
		m.done++
	}
	a.runs = kept
	a.observer.SetLoad(end, float64(len(a.runs))/modelCapacity)
}
