package interference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// minRuns is the decayed number of runs of a route from which on its regression is
	// reported. It is about twice the number of regressors.
	minRuns = 20.0
	// minWeight is the weight from which on the evidence about a pair is reported.
	minWeight = 0.5
	// maxPairs bounds the size of a report to about 600 bytes, plus the names of the routes.
	// It has room for all ordered pairs of five routes.
	maxPairs = 32
	// routeRidge and loadRidge are added to the diagonal for each run. They make the inverse
	// exist if a route never runs or two routes always run together. The evidence about such
	// pairs then has nearly no weight. The variance of a share of time is at most 0.25; that
	// of the squared load is far lower.
	routeRidge = 1e-3
	loadRidge  = 1e-6
)

// Report returns the evidence, or nil if there is none. If there are more than maxPairs
// pairs, it has those with the most weight.
func (o *Observer) Report(now time.Duration) *message.InterferenceReport {
	var pairs []message.InterferencePair
	for i := range o.slots {
		pairs = append(pairs, o.slots[i].pairs(now, i)...)
	}
	if len(pairs) == 0 {
		return nil
	}
	slices.SortStableFunc(pairs, func(a, b message.InterferencePair) int { return cmp.Compare(b.Weight(), a.Weight()) })
	report := &message.InterferenceReport{Pairs: pairs[:min(len(pairs), maxPairs)]}
	for i := range o.slots {
		report.Routes = append(report.Routes, o.slots[i].route)
	}
	return report
}

// pairs returns the evidence about the route in slot own. The weight of a pair is the
// variation of the other route's share of time that the other regressors do not explain,
// and the score is weight times coefficient. Both can be added up over agents.
func (s *slot) pairs(now time.Duration, own int) []message.InterferencePair {
	s.decayTo(now)
	runs := s.normal[0][0]
	if runs < minRuns {
		return nil
	}
	m := s.normal
	for i := 1; i < terms; i++ {
		if i < routeTerm {
			m[i][i] += loadRidge * runs
		} else {
			m[i][i] += routeRidge * runs
		}
	}
	if !invert(&m) {
		return nil
	}
	var pairs []message.InterferencePair
	for other := range maxRoutes {
		term := routeTerm + other
		weight := 1/m[term][term] - routeRidge*runs
		if weight < minWeight {
			continue
		}
		coefficient := 0.0
		for i := range terms {
			coefficient += m[term][i] * s.moments[i]
		}
		pairs = append(pairs, message.NewInterferencePair(own, other, weight, weight*coefficient))
	}
	return pairs
}

// invert replaces a symmetric positive definite matrix by its inverse (Gauss-Jordan
// elimination). It reports whether the matrix is regular.
func invert(m *[terms][terms]float64) bool {
	for k := range terms {
		pivot := m[k][k]
		if !(pivot > 1e-12) || math.IsInf(pivot, 0) {
			return false
		}
		m[k][k] = 1
		for j := range terms {
			m[k][j] /= pivot
		}
		for i := range terms {
			if i == k {
				continue
			}
			factor := m[i][k]
			m[i][k] = 0
			for j := range terms {
				m[i][j] -= factor * m[k][j]
			}
		}
	}
	return true
}
