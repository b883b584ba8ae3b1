package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// evaluateInterval is the pause between two evaluations: a fleet of 920 agents has up to
	// 29,000 pairs to add up.
	evaluateInterval = 5 * time.Second
	// maxReportAge is the age at which a report is dropped; it has a sixteenth of its weight
	// left by then.
	maxReportAge = 4 * HalfLife
	// minAgents is the effective number of agents that must have evidence about a pair. With
	// fewer, the variation between agents is not known well.
	minAgents = 6.0
	// A pair is found when its excess is at least minExcess and minSignificance times its
	// standard error; it is dropped below keptExcess or keptSignificance. Five standard errors
	// keep false findings rare with 25 pairs that are tested every 5 s: 400 runs of the model
	// without interference had none.
	minExcess, minSignificance   = 0.12, 5.0
	keptExcess, keptSignificance = 0.08, 2.5
	// deviation is the standard deviation of one observation: estimates that are off by up to
	// 0.4 give 0.24, and 3% of limited long runs 0.12.
	deviation = 0.27
	// maxFindings and maxWatched bound the number of findings and of the routes in them, and
	// so the size of heartbeats and capacity reports.
	maxFindings = 8
	maxWatched  = 8
	// MaxPrice is the highest price of a placement. Scores are shares of free capacity, so
	// that it is far below the price of a full upstream (1); it is also below the bonus for
	// the own failure domain (0.4).
	MaxPrice = 0.35
)

// Finding is an ordered pair of routes of which one slows the other down.
type Finding struct {
	// Route is slowed down while Beside runs on the same upstream.
	Route, Beside string
	// Excess is the logarithm of the factor by which runs of Route take longer.
	Excess float64
	// Significance is Excess divided by its standard error.
	Significance float64
	// Weight is the weight of the evidence, and Agents the effective number of agents that it
	// comes from: the number of agents with equal weights that would vary as much.
	Weight, Agents float64
}

type pairKey struct{ route, beside string }

type agentReport struct {
	report     message.InterferenceReport
	receivedAt time.Duration
}

// Detector merges the evidence of agents into findings. Its state is bounded by the number
// of agents. It is not safe for concurrent use.
type Detector struct {
	reports     map[node.ID]agentReport
	findings    []Finding
	evaluatedAt time.Duration
}

// NewDetector returns a Detector without findings.
func NewDetector() *Detector { return &Detector{reports: make(map[node.ID]agentReport)} }

// Add replaces the evidence of an agent. A report beyond the bounds is cut off.
func (d *Detector) Add(now time.Duration, agent node.ID, r *message.InterferenceReport) {
	kept := message.InterferenceReport{Routes: r.Routes[:min(len(r.Routes), maxRoutes)], Pairs: r.Pairs[:min(len(r.Pairs), maxPairs)]}
	d.reports[agent] = agentReport{kept, now}
}

// Findings returns the present findings, the most significant first. The slice must not be
// changed.
func (d *Detector) Findings() []Finding { return d.findings }

// Watched returns the sorted names of the routes in findings, or nil.
func (d *Detector) Watched() []string { return watched(d.findings) }

func watched(findings []Finding) []string {
	var names []string
	for _, f := range findings {
		names = append(names, f.Route, f.Beside)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Price returns what the placement of a task of a route costs on an upstream on which
// runs reports for each route whether it has runs there: the excess that the task suffers
// and causes, at most MaxPrice.
func (d *Detector) Price(route string, runs func(route string) bool) float64 {
	price := 0.0
	for _, f := range d.findings {
		if f.Route == route && runs(f.Beside) || f.Beside == route && f.Route != route && runs(f.Route) {
			price += f.Excess
		}
	}
	return min(price, MaxPrice)
}

// Evaluate updates the findings, if evaluateInterval has passed. It returns those that have
// begun or ended; an ended one has the evidence that ended it.
func (d *Detector) Evaluate(now time.Duration) (begun, ended []Finding) {
	if now-d.evaluatedAt < evaluateInterval {
		return nil, nil
	}
	d.evaluatedAt = now
	maps.DeleteFunc(d.reports, func(_ node.ID, r agentReport) bool { return now-r.receivedAt > maxReportAge })
	sums := d.sum(now)
	before := d.findings
	isIn := func(list []Finding, f Finding) bool {
		return slices.ContainsFunc(list, func(o Finding) bool { return o.Route == f.Route && o.Beside == f.Beside })
	}
	var next []Finding
	for key, s := range sums {
		f := s.finding(key)
		if f.Agents >= minAgents && f.Excess >= minExcess && f.Significance >= minSignificance ||
			isIn(before, f) && f.Excess >= keptExcess && f.Significance >= keptSignificance {
			next = append(next, f)
		}
	}
	d.findings = bound(next)
	for _, f := range d.findings {
		if !isIn(before, f) {
			begun = append(begun, f)
		}
	}
	for _, f := range before {
		if !isIn(d.findings, f) {
			ended = append(ended, sums[pairKey{f.Route, f.Beside}].finding(pairKey{f.Route, f.Beside}))
		}
	}
	return begun, ended
}

// bound sorts the findings by significance and keeps as many as the bounds allow.
func bound(findings []Finding) []Finding {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(b.Significance, a.Significance), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Beside, b.Beside))
	})
	n := min(len(findings), maxFindings)
	for len(watched(findings[:n])) > maxWatched {
		n--
	}
	return findings[:n]
}

// pairSum holds sums over agents of the evidence about a pair: of weights and scores, of their
// squares and of their products.
type pairSum struct{ weight, score, weightSq, scoreSq, product float64 }

func (s *pairSum) add(weight, score float64) {
	s.weight += weight
	s.score += score
	s.weightSq += weight * weight
	s.scoreSq += score * score
	s.product += weight * score
}

// sum adds up the evidence about each pair. Agents are visited in order of their IDs, so
// that rounding does not depend on the order of the map.
func (d *Detector) sum(now time.Duration) map[pairKey]*pairSum {
	sums := make(map[pairKey]*pairSum)
	for _, id := range slices.Sorted(maps.Keys(d.reports)) {
		r := d.reports[id]
		factor := decay(now - r.receivedAt)
		for _, p := range r.report.Pairs {
			route, beside, ok := r.report.Names(p)
			if !ok {
				continue
			}
			key := pairKey{route, beside}
			s := sums[key]
			if s == nil {
				s = &pairSum{}
				sums[key] = s
			}
			s.add(p.Weight()*factor, p.Score()*factor)
		}
	}
	return sums
}

// finding computes the estimate of a pair. The standard error is the larger one of that
// from the variation between agents, which also covers what the agents' models lack, and
// that from the known deviation of observations.
func (s *pairSum) finding(key pairKey) Finding {
	f := Finding{Route: key.route, Beside: key.beside}
	if s == nil || s.weight <= 0 {
		return f
	}
	f.Weight, f.Agents, f.Excess = s.weight, s.weight*s.weight/s.weightSq, s.score/s.weight
	between := s.scoreSq - 2*f.Excess*s.product + f.Excess*f.Excess*s.weightSq
	f.Significance = s.score / math.Sqrt(max(between, deviation*deviation*s.weight))
	return f
}
