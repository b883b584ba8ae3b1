package leasemodel

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// loadKind is one kind of job of a load.
type loadKind struct {
	name     string
	priority int
	// rate is in jobs a second.
	rate  float64
	tasks int
	work  time.Duration
}

// load plays jobs that come at random, whatever becomes of earlier ones, on a whole
// fleet of both roles.
type load struct {
	w        *world
	jobs     map[uint64]loadJob
	outcomes map[string]*outcomes
}

type loadJob struct {
	kind      string
	objective time.Duration
}

// outcomes counts how the jobs of a kind ended.
type outcomes struct{ onTime, late, refused, lost int }

func (o outcomes) share() float64 {
	return float64(o.onTime) / float64(max(o.onTime+o.late+o.refused+o.lost, 1))
}

const (
	loadSlots = 10
	// loadStretch and loadMargin make the objective of a job.
	loadStretch = 1.6
	loadMargin  = 60 * time.Millisecond
	// loadSpread is how far durations are from their mean, and estimates from them.
	loadSpread = 0.4
	// loadTime is how long jobs come.
	loadTime = 10 * time.Second
)

// loadKinds returns the kinds of jobs of the users' sheets with a rate at which they
// take a share of the room of some agents.
func loadKinds(share float64, agents int) []loadKind {
	kinds := []loadKind{
		{"check", 0, 34.4, 8, 60 * time.Millisecond},
		{"pull", 1, 100, 2, 200 * time.Millisecond},
		{"closeout", 2, 6.25, 4, 900 * time.Millisecond},
	}
	work := 0.0
	for _, k := range kinds {
		work += k.rate * float64(k.tasks) * k.work.Seconds()
	}
	for i := range kinds {
		kinds[i].rate *= share * float64(agents) * loadSlots / work
	}
	return kinds
}

func newLoad(t *testing.T, dispatchers, agents int) *load {
	l := &load{jobs: map[uint64]loadJob{}, outcomes: map[string]*outcomes{}}
	l.w = newWorldOf(t, 1, dispatchers, agents, loadSlots*taskCPU)
	l.w.answer = l.answered
	l.w.duration = func(a lessee.StartRun) time.Duration {
		ms, err := strconv.Atoi(strings.Split(a.Spec, ",")[a.Name.Index])
		if err != nil {
			panic(err)
		}
		return time.Duration(ms) * time.Millisecond
	}
	l.w.run(3 * time.Second)
	return l
}

func (l *load) answered(a dispatch.Answer) {
	j := l.jobs[a.Call]
	delete(l.jobs, a.Call)
	o := l.outcomes[j.kind]
	switch {
	case a.Outcome == dispatch.Refused:
		o.refused++
	case a.Outcome != dispatch.Completed:
		o.lost++
	case l.w.now <= j.objective:
		o.onTime++
	default:
		o.late++
	}
}

// arrive submits a job of a kind now, and the next one later.
func (l *load) arrive(k loadKind) {
	w := l.w
	w.calls++
	var spec []string
	longest := 0.0
	for range k.tasks {
		ms := float64(k.work.Milliseconds()) * (1 + loadSpread*(2*w.rnd.Float64()-1))
		spec = append(spec, strconv.Itoa(int(ms)))
		longest = max(longest, ms)
	}
	takes := time.Duration(longest * float64(time.Millisecond))
	objective := time.Duration(loadStretch*float64(takes)) + loadMargin
	l.jobs[w.calls] = loadJob{k.name, w.now + objective}
	list := w.dispatchers()
	w.post(list[w.rnd.IntN(len(list))], dispatch.Submit{Call: w.calls, Job: dispatch.Job{
		ID: fmt.Sprintf("%016x", w.calls), Spec: strings.Join(spec, ","), Wait: 3 * objective,
		Route: &site.Route{Name: k.name, Service: "s", Priority: k.priority, MaxAttempts: 3, Stretch: loadStretch, Margin: loadMargin},
		Steps: []dispatch.Step{{
			Count: k.tasks, Demand: message.Resources{MilliCPU: taskCPU, MemoryMB: 1},
			Estimate: time.Duration(float64(takes) * (1 + loadSpread*(2*w.rnd.Float64()-1))),
		}},
	}})
	w.after(time.Duration(w.rnd.ExpFloat64()/k.rate*float64(time.Second)), func() { l.arrive(k) })
}

// play lets jobs come for a time and returns what became of each kind.
func (l *load) play(d time.Duration, kinds []loadKind) map[string]*outcomes {
	for _, k := range kinds {
		l.outcomes[k.name] = &outcomes{}
		l.arrive(k)
	}
	l.w.run(l.w.now + d)
	return l.outcomes
}

// TestCalmLoad: below the room that there is, every kind of job is on time, through
// several dispatchers that know nothing of each other.
func TestCalmLoad(t *testing.T) {
	const agents = 11
	for kind, o := range newLoad(t, 3, agents).play(loadTime, loadKinds(0.6, agents)) {
		if o.share() < 0.99 {
			t.Errorf("%s: %+v", kind, *o)
		}
	}
}

// TestLastingOverload: while more work comes than there is room for, the most urgent
// kind stays on time and the least urgent one waits; nothing else gets lost than what
// its caller has given up.
func TestLastingOverload(t *testing.T) {
	const agents = 11
	for _, share := range []float64{1.1, 1.3} {
		got := newLoad(t, 3, agents).play(loadTime, loadKinds(share, agents))
		for kind, o := range got {
			t.Logf("load %.1f, %s: %+v, on time %.3f", share, kind, *o, o.share())
		}
		if o := got["check"]; o.share() < 0.95 {
			t.Errorf("load %.1f: the most urgent kind: %+v", share, *o)
		}
		if check, pull, closeout := got["check"].share(), got["pull"].share(), got["closeout"].share(); check < pull || pull < closeout {
			t.Errorf("load %.1f: on time %.3f, %.3f, %.3f in order of priority", share, check, pull, closeout)
		}
	}
}
