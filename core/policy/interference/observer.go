// Package interference estimates which routes slow each other down when their tasks run on
// one upstream.
//
// An Observer, at an agent, regresses the logarithm of the ratio of a run's duration to its
// expected duration on the share of the time in which each other route ran beside it. The
// regression also has an intercept, which takes out the upstream's own speed and the common
// bias of the estimates, and the load, which takes out the effect of a full upstream. A
// Detector, at a dispatcher, merges the evidence of many agents into findings.
//
// The share of time is that of a window from the start of the run whose length is the same
// for all runs of a route. Over the run's whole duration, the share would depend on the
// duration: of two runs that always start together, the longer one is alone for longer.
package interference

import (
	"math"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/timerqueue"
)

const (
	// maxRoutes is the number of routes that an Observer tracks. It bounds the state to
	// about 10 kB; the routes with the least recent runs are replaced.
	maxRoutes = 8
	// HalfLife is the time in which evidence loses half of its weight. An agent with 40
	// completions a second then holds evidence of about 900 runs.
	HalfLife = 15 * time.Second
	// maxDeviation limits how far an observation may be from the mean of its route: estimates
	// are off by up to 0.4 (a logarithm of 0.51), and 3% of the tasks take 7 times as long
	// (1.95), which would otherwise dominate the variance.
	maxDeviation = 0.7
	// replaceableWeight is the decayed number of runs below which a route without open runs
	// makes room for another one.
	replaceableWeight = 2.0
	// windowShare is the length of the window as a share of the geometric mean of the route's
	// durations. Hardly any run is that short. maxWindow bounds the number of ended runs whose
	// windows have not ended.
	windowShare = 0.6
	maxWindow   = 2 * time.Second
)

// The regressors: intercept, mean load, mean squared load, then the shares of time of the
// routes. The squared load covers contention that begins only on nearly full upstreams.
const (
	loadTerm   = 1
	loadSqTerm = 2
	routeTerm  = 3
	terms      = routeTerm + maxRoutes
)

// Observer collects evidence from the runs of one upstream. Its state is bounded by the
// number of tracked routes and of open runs. It is not safe for concurrent use.
type Observer struct {
	slots [maxRoutes]slot
	// groups holds the runs of one job on the upstream, while at least one of them is open.
	groups map[groupKey]*group
	// load is the share of capacity in use since loadAt. loadSum and loadSqSum are its
	// integrals up to loadAt, in seconds.
	load, loadSum, loadSqSum float64
	loadAt                   time.Duration
	// windows holds the runs whose windows have not ended.
	windows timerqueue.Queue[*Run]
}

// slot is the state of one tracked route.
type slot struct {
	route string
	// open is the number of open runs since changedAt. present and shared are the total times
	// up to changedAt with at least one and at least two open runs.
	open            int
	changedAt       time.Duration
	present, shared time.Duration
	// normal and moments are the decayed sums X'WX and X'Wy of the regression as of
	// decayedAt.
	normal    [terms][terms]float64
	moments   [terms]float64
	decayedAt time.Duration
	// logDuration is the decayed sum of the logarithms of the durations in seconds, and
	// durations the decayed number of them.
	logDuration, durations float64
}

// groupKey identifies the runs that share the error of their estimate.
type groupKey struct {
	job  string
	slot int
}

type group struct{ open, total int }

// Run is an observed run, from Start to End.
type Run struct {
	slot      int
	key       groupKey
	group     *group
	startedAt time.Duration
	// before and x are the integrals of the regressors up to the start, and the regressors
	// over the window once windowed is set.
	before, x [terms]float64
	windowed  bool
}

// NewObserver returns an Observer without evidence.
func NewObserver() *Observer { return &Observer{groups: make(map[groupKey]*group)} }

// SetLoad sets the share of the upstream's capacity in use from now on.
func (o *Observer) SetLoad(now time.Duration, share float64) {
	o.endWindows(now)
	s := (now - o.loadAt).Seconds()
	o.loadSum += s * o.load
	o.loadSqSum += s * o.load * o.load
	o.load, o.loadAt = min(max(share, 0), 1), now
}

// Start records the start of a run of a task of the job. It returns nil if the route is
// empty or not tracked.
func (o *Observer) Start(now time.Duration, route, job string) *Run {
	o.endWindows(now)
	i := o.slotOf(now, route)
	if i < 0 {
		return nil
	}
	s := &o.slots[i]
	key := groupKey{job, i}
	g := o.groups[key]
	if g == nil {
		g = &group{}
		o.groups[key] = g
	}
	g.open++
	g.total++
	r := &Run{slot: i, key: key, group: g, startedAt: now, before: o.integrals(now, i)}
	s.setOpen(now, s.open+1)
	if s.durations > 0 {
		o.windows.Add(now+s.window(), r)
	}
	return r
}

// End records the end of a run. Ratio is its duration divided by its expected duration, or
// zero if the run is no evidence, as after a failure or without an expected duration.
func (o *Observer) End(now time.Duration, r *Run, ratio float64) {
	o.endWindows(now)
	s := &o.slots[r.slot]
	s.setOpen(now, s.open-1)
	if r.group.open--; r.group.open == 0 {
		delete(o.groups, r.key)
	}
	length := now - r.startedAt
	if ratio <= 0 || length <= 0 {
		return
	}
	s.decayTo(now)
	if r.windowed {
		// The tasks of a job share the error of its estimate and count as one observation.
		s.add(&r.x, math.Log(ratio), 1/float64(r.group.total))
	}
	s.logDuration += math.Log(length.Seconds())
	s.durations++
}

// Open returns the number of observed open runs of a route.
func (o *Observer) Open(route string) int {
	for i := range o.slots {
		if o.slots[i].route == route {
			return o.slots[i].open
		}
	}
	return 0
}

// endWindows computes the regressors of the runs whose windows have ended. It must be called
// before the number of open runs or the load changes.
func (o *Observer) endWindows(now time.Duration) {
	for {
		at, _ := o.windows.Next()
		r, ok := o.windows.Pop(now)
		if !ok {
			return
		}
		after := o.integrals(at, r.slot)
		length := (at - r.startedAt).Seconds()
		for i := range after {
			r.x[i] = (after[i] - r.before[i]) / length
		}
		r.x[0], r.windowed = 1, length > 0
	}
}

// integrals returns the integrals of the regressors over time, in seconds. That of a route is
// the time in which it had an open run, in addition to the run itself for the route in slot
// own.
func (o *Observer) integrals(now time.Duration, own int) (total [terms]float64) {
	s := (now - o.loadAt).Seconds()
	total[loadTerm], total[loadSqTerm] = o.loadSum+s*o.load, o.loadSqSum+s*o.load*o.load
	for i := range o.slots {
		slot := &o.slots[i]
		wanted, t := 1, slot.present
		if i == own {
			wanted, t = 2, slot.shared
		}
		if slot.open >= wanted {
			t += now - slot.changedAt
		}
		total[routeTerm+i] = t.Seconds()
	}
	return total
}

// slotOf returns the index of a route's slot, or -1 if the route is not tracked. It replaces
// a route that has hardly any evidence.
func (o *Observer) slotOf(now time.Duration, route string) int {
	if route == "" {
		return -1
	}
	least, leastWeight := -1, replaceableWeight
	for i := range o.slots {
		s := &o.slots[i]
		if s.route == route {
			return i
		}
		if weight := s.durations * decay(now-s.decayedAt); s.open == 0 && weight < leastWeight {
			least, leastWeight = i, weight
		}
	}
	if least < 0 {
		return -1
	}
	// The accumulated times stay, since open runs of other routes refer to them.
	s := &o.slots[least]
	*s = slot{route: route, present: s.present, shared: s.shared, changedAt: now, decayedAt: now}
	for i := range o.slots {
		o.slots[i].removeTerm(routeTerm + least)
	}
	return least
}

// window returns the length of the window of the route's runs.
func (s *slot) window() time.Duration {
	return min(time.Duration(windowShare*math.Exp(s.logDuration/s.durations)*float64(time.Second)), maxWindow)
}

func (s *slot) setOpen(now time.Duration, open int) {
	if s.open >= 1 {
		s.present += now - s.changedAt
	}
	if s.open >= 2 {
		s.shared += now - s.changedAt
	}
	s.open, s.changedAt = open, now
}

// add adds an observation to the sums.
func (s *slot) add(x *[terms]float64, y, weight float64) {
	mean := y
	if s.normal[0][0] > 0 {
		mean = s.moments[0] / s.normal[0][0]
	}
	y = min(max(y, mean-maxDeviation), mean+maxDeviation)
	for i := range x {
		for j := range x {
			s.normal[i][j] += weight * x[i] * x[j]
		}
		s.moments[i] += weight * x[i] * y
	}
}

func (s *slot) decayTo(now time.Duration) {
	factor := decay(now - s.decayedAt)
	s.decayedAt = now
	s.logDuration *= factor
	s.durations *= factor
	for i := range s.normal {
		for j := range s.normal[i] {
			s.normal[i][j] *= factor
		}
		s.moments[i] *= factor
	}
}

// removeTerm drops the evidence about a regressor.
func (s *slot) removeTerm(term int) {
	s.moments[term] = 0
	for i := range s.normal {
		s.normal[i][term], s.normal[term][i] = 0, 0
	}
}

// decay returns the remaining share of the weight of evidence of this age.
func decay(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / HalfLife.Seconds())
}
