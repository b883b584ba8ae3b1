package interference

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

var noiseRuns = flag.Int("interference.runs", 20, "number of runs of the model without interference")

// TestFindsPairAndForgetsIt guards against interference that is not found, against a wrong
// pair being blamed, and against findings that stay after the interference has ended.
func TestFindsPairAndForgetsIt(t *testing.T) {
	for seed := range uint64(3) {
		m := newModel(seed, 0.6)
		m.separate = true
		m.run(20 * time.Second)
		m.interfering = []int{0, 1}
		m.run(time.Minute)
		got := fmt.Sprint(m.d.Watched(), len(m.d.Findings()))
		if want := "[route-0 route-1] 2"; got != want {
			t.Errorf("seed %d: found %s (%v) a minute after the interference began, want %s", seed, got, m.d.Findings(), want)
		}
		m.interfering = nil
		m.run(time.Minute)
		if len(m.d.Findings()) > 0 || len(m.begun) != 2 || len(m.ended) != 2 {
			t.Errorf("seed %d: findings %v a minute after the end; begun %v, ended %v", seed, m.d.Findings(), m.begun, m.ended)
		}
	}
}

// TestNoiseGivesNoFindings guards against findings without interference: on full upstreams that
// are slower by half, when a route comes in bursts that fill them, when the upstreams' speeds
// vary, and with two routes that always come together. The target is at most one run with a
// false finding in 20. The baseline, a comparison of runs with and without the other route,
// must give some; otherwise the model proves nothing.
func TestNoiseGivesNoFindings(t *testing.T) {
	falseRuns, baselineRuns := 0, 0
	for seed := range uint64(*noiseRuns) {
		m := newModel(100+seed, []float64{0.4, 0.5, 0.6, 0.8}[seed%4])
		m.unsteady = seed%5 > 0
		m.run(45 * time.Second)
		if len(m.begun) > 0 {
			falseRuns++
			t.Logf("seed %d: %v", seed, m.begun)
		}
		if m.baselineFinds() {
			baselineRuns++
		}
	}
	t.Logf("%d of %d runs with false findings, %d with the baseline", falseRuns, *noiseRuns, baselineRuns)
	if falseRuns*20 > *noiseRuns {
		t.Errorf("%d of %d runs have false findings, want at most 1 in 20", falseRuns, *noiseRuns)
	}
	if baselineRuns == 0 {
		t.Error("the baseline has no false findings")
	}
}

// baselineFinds reports whether a regression on one other route alone finds a pair.
func (m *model) baselineFinds() bool {
	for pair := range 25 {
		var s pairSum
		for _, a := range m.agents {
			slot := &a.observer.slots[pair/5]
			n, f, y, term := slot.normal[0][0], 0.0, slot.moments[0], routeTerm+pair%5
			f = slot.normal[0][term]
			if weight := slot.normal[term][term] - f*f/n; weight > minWeight {
				s.add(weight, slot.moments[term]-f*y/n)
			}
		}
		if f := s.finding(pairKey{}); f.Agents >= minAgents && f.Excess >= minExcess && f.Significance >= minSignificance {
			return true
		}
	}
	return false
}

// TestFullLoadKeepsThroughput guards against prices that leave capacity unused: with more
// work than the fleet can run, separation must not complete less.
func TestFullLoadKeepsThroughput(t *testing.T) {
	var done [2]int
	for seed := range uint64(3) {
		for i, separate := range []bool{false, true} {
			m := newModel(seed, 1.1)
			m.interfering, m.separate = []int{0, 1}, separate
			m.run(time.Minute)
			done[i] += m.done
		}
	}
	t.Logf("%d tasks completed without separation, %d with it", done[0], done[1])
	if done[1] < done[0] {
		t.Errorf("%d tasks completed with separation, %d without it", done[1], done[0])
	}
}

// TestStateIsBounded guards against state and reports that grow with the number of routes or
// jobs.
func TestStateIsBounded(t *testing.T) {
	o, d := NewObserver(), NewDetector()
	now := time.Second
	for i := range 50_000 {
		now += 2 * time.Millisecond
		r := o.Start(now, fmt.Sprintf("route-%03d", i%200), fmt.Sprint("job", i))
		now += 3 * time.Millisecond
		if r != nil {
			o.End(now, r, 1+float64(i%7)/10)
		}
	}
	now += maxWindow
	o.SetLoad(now, 0)
	if len(o.groups) > 0 || o.windows.Len() > 0 {
		t.Errorf("%d jobs and %d windows are kept after all runs have ended", len(o.groups), o.windows.Len())
	}
	report := &message.InterferenceReport{}
	for i := range 200 {
		report.Routes = append(report.Routes, fmt.Sprintf("route-%03d", i))
		report.Pairs = append(report.Pairs, message.NewInterferencePair(i%maxRoutes, i%5, 999, -999))
	}
	d.Add(now, "a", report)
	if kept := d.reports["a"].report; len(kept.Routes) > maxRoutes || len(kept.Pairs) > maxPairs {
		t.Errorf("%d routes and %d pairs of a report are kept", len(kept.Routes), len(kept.Pairs))
	}
	m := newModel(1, 0.6)
	m.run(20 * time.Second)
	wire, err := json.Marshal(m.agents[0].observer.Report(m.now))
	if t.Logf("a report of five routes has %d bytes", len(wire)); err != nil || len(wire) > 1000 {
		t.Errorf("a report has %d bytes (%v), want at most 1000", len(wire), err)
	}
}

// TestFaultyReportsAreIgnored guards against reports of a faulty agent that name unknown
// routes or overflow.
func TestFaultyReportsAreIgnored(t *testing.T) {
	d := NewDetector()
	d.Add(0, "a", &message.InterferenceReport{Routes: []string{"x", ""}, Pairs: []message.InterferencePair{
		{-1, 0, 10, 10}, {0, 7, 10, 10}, {0, 1, 10, 10}, {0, 0, -10, 10}, {0, 0, math.MaxInt, math.MaxInt},
	}})
	d.Evaluate(evaluateInterval)
	if f := d.Findings(); len(f) > 0 {
		t.Errorf("findings %v from a faulty report", f)
	}
}
