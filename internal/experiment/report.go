package experiment

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

// counts is what the stand-ins and the script counted.
type counts struct {
	ledger     upstream.Counts
	maxInForce time.Duration
	restarted  int64
}

// Ratios are quantiles of response over ideal of complete jobs.
type Ratios struct {
	Class job.Class `json:"class,omitempty"`
	Jobs  int       `json:"jobs"`
	P50   float64   `json:"response_over_ideal_p50"`
	P99   float64   `json:"response_over_ideal_p99"`
	P999  float64   `json:"response_over_ideal_p999"`
	// AdmittedP99 leaves out the time before the submission that was not refused.
	AdmittedP99 float64 `json:"admitted_over_ideal_p99"`
	// RecoveredP99 is P99 of the jobs that arrived after the recovery time.
	RecoveredP99 float64 `json:"recovered_over_ideal_p99"`
	// Refused is the share of the jobs that were refused at least once.
	Refused float64 `json:"refused_fraction"`
}

// Refusals are the times until jobs were refused.
type Refusals struct {
	Jobs       int     `json:"jobs"`
	P50Seconds float64 `json:"p50_seconds"`
	MaxSeconds float64 `json:"max_seconds"`
}

// refusals returns the times until the answers of one kind, or nil without any.
func refusals(load *loadgen.Result, kind errkind.Kind) *Refusals {
	var times []time.Duration
	for i := range load.Outcomes {
		if o := &load.Outcomes[i]; o.ErrorKind == kind {
			times = append(times, o.Response)
		}
	}
	if len(times) == 0 {
		return nil
	}
	slices.Sort(times)
	return &Refusals{
		Jobs:       len(times),
		P50Seconds: times[len(times)/2].Seconds(),
		MaxSeconds: times[len(times)-1].Seconds(),
	}
}

// recoveryTime is the time after a fault within which the figures must be those
// of a run without it.
const recoveryTime = 2 * time.Second

// Report is the outcome of a run.
type Report struct {
	Scenario        string   `json:"scenario"`
	Faults          []string `json:"faults"`
	Policy          string   `json:"policy,omitempty"`
	Seed            uint64   `json:"seed"`
	DurationSeconds float64  `json:"duration_seconds"`
	Load            float64  `json:"load"`

	Jobs           int                    `json:"jobs"`
	Tasks          int                    `json:"tasks"`
	Starts         int                    `json:"starts"`
	Complete       int                    `json:"complete"`
	Failed         int                    `json:"failed"`
	Unanswered     int                    `json:"unanswered"`
	NotRun         int                    `json:"not_run"`
	OutcomeUnknown int                    `json:"outcome_unknown"`
	Failures       []loadgen.FailureCount `json:"failures"`
	Resubmissions  int                    `json:"resubmissions"`
	// NoMatch is about the jobs that no upstream matched. It is absent when there
	// were none.
	NoMatch *Refusals `json:"no_match,omitempty"`
	// RefusedSubmissions counts those that may be repeated, UnpacedRefusals those
	// among them without a time to come back.
	RefusedSubmissions    int     `json:"refused_submissions"`
	UnpacedRefusals       int     `json:"unpaced_refusals"`
	SlowestRefusalSeconds float64 `json:"slowest_refusal_seconds"`

	P50     float64  `json:"response_over_ideal_p50"`
	P99     float64  `json:"response_over_ideal_p99"`
	P999    float64  `json:"response_over_ideal_p999"`
	ByClass []Ratios `json:"by_class"`

	MessagesPerTask       float64 `json:"messages_per_task"`
	WastedMessagesPerTask float64 `json:"wasted_messages_per_task"`
	// ControlMessagesPerSecond is per process.
	ControlMessagesPerSecond float64 `json:"control_messages_per_second"`
	// CompletedFraction is of the jobs that could run and were not cancelled.
	CompletedFraction float64 `json:"completed_fraction"`
	// CompletedDuringFaultFraction compares the tasks of complete jobs that
	// arrived during the fault with those of the run without faults. It is
	// absent when there was none.
	CompletedDuringFaultFraction *float64 `json:"completed_during_fault_fraction,omitempty"`
	GoodputTasksPerSecond        float64  `json:"goodput_tasks_per_second"`
	// MaxInForceSeconds is zero when no change was made.
	MaxInForceSeconds float64 `json:"max_in_force_seconds"`
	// Restarted counts the processes that were restarted by planned stops.
	Restarted int64 `json:"restarted"`

	DuplicateStarts     int    `json:"duplicate_starts"`
	PartialAnswers      int    `json:"partial_answers"`
	MisdeliveredAnswers int    `json:"misdelivered_answers"`
	UntrueNotRun        int    `json:"untrue_not_run"`
	LateDomainStarts    int    `json:"late_domain_starts"`
	ConfigReverts       int    `json:"config_reverts"`
	CutOffRequests      int    `json:"cut_off_requests"`
	InternalViolations  uint64 `json:"internal_violations"`

	ClientErrors []string `json:"client_errors,omitempty"`
}

func newReport(o Options, m measurement) Report {
	c, ledger := m.load.Counts, m.counts.ledger
	r := Report{
		Scenario: o.Scenario, Faults: o.Faults, Policy: o.Policy, Seed: o.Seed,
		DurationSeconds: o.Duration.Seconds(), Load: o.Load,

		Jobs: c.Jobs, Tasks: c.Tasks, Starts: ledger.Starts,
		Complete: c.Complete, Failed: c.Failed, Unanswered: c.Unanswered,
		NotRun: c.NotRun, OutcomeUnknown: c.OutcomeUnknown,
		Failures: m.load.Failures(), Resubmissions: c.Resubmissions,
		NoMatch:            refusals(&m.load, errkind.NoUpstreamMatches),
		RefusedSubmissions: c.Refusals, UnpacedRefusals: c.UnpacedRefusals,
		SlowestRefusalSeconds: m.load.SlowestRefusal.Seconds(),

		MessagesPerTask:          ratio(float64(m.observed.work()), float64(ledger.Starts)),
		WastedMessagesPerTask:    ratio(float64(m.observed.wasted()), float64(ledger.Starts)),
		ControlMessagesPerSecond: ratio(float64(m.observed.sum(controlKinds)), m.elapsed.Seconds()*(siteAgents+siteEntries)),
		GoodputTasksPerSecond:    ratio(float64(completeTasks(&m.load, everything)), m.elapsed.Seconds()),
		MaxInForceSeconds:        m.counts.maxInForce.Seconds(),
		Restarted:                m.counts.restarted,

		DuplicateStarts: ledger.DuplicateStarts, PartialAnswers: c.PartialAnswers,
		MisdeliveredAnswers: c.MisdeliveredAnswers, UntrueNotRun: ledger.UntrueNotRun,
		LateDomainStarts: ledger.LateDomainStarts, ConfigReverts: m.observed.reverts,
		CutOffRequests: c.CutOffRequests, InternalViolations: m.observed.violations,
		ClientErrors: m.load.Errors,
	}
	r.addRatios(&m.load, m.window.end+recoveryTime)
	return r
}

// addRatios fills in the ratios; jobs that arrive from recovered on count as
// after the fault.
func (r *Report) addRatios(load *loadgen.Result, recovered time.Duration) {
	all := load.Ratios(everything)
	r.P50, r.P99, r.P999 = all.P50, all.P99, all.P999
	for _, class := range job.Classes {
		r.ByClass = append(r.ByClass, classRatios(load, class, recovered))
	}
	var wanted, complete int
	for i := range load.Outcomes {
		o := &load.Outcomes[i]
		if o.Cancelled || o.NeverRuns {
			continue
		}
		wanted++
		if o.Complete() {
			complete++
		}
	}
	r.CompletedFraction = ratio(float64(complete), float64(wanted))
}

func classRatios(load *loadgen.Result, class job.Class, recovered time.Duration) Ratios {
	ofClass := func(o *loadgen.Outcome) bool { return o.Class == class }
	late := func(o *loadgen.Outcome) bool { return o.Class == class && o.At >= recovered }
	q := load.Ratios(ofClass)
	jobs, refused := 0, 0
	for i := range load.Outcomes {
		o := &load.Outcomes[i]
		if o.Class != class {
			continue
		}
		jobs++
		if o.Refusals > 0 {
			refused++
		}
	}
	return Ratios{
		Class: class, Jobs: q.Jobs, P50: q.P50, P99: q.P99, P999: q.P999,
		AdmittedP99:  load.AdmittedRatios(ofClass).P99,
		RecoveredP99: load.Ratios(late).P99,
		Refused:      ratio(float64(refused), float64(jobs)),
	}
}

// compare fills in what the run without faults is needed for.
func (r *Report) compare(m, baseline measurement) {
	during := func(o *loadgen.Outcome) bool { return m.window.holds(o.At) }
	with := float64(completeTasks(&m.load, during))
	without := float64(completeTasks(&baseline.load, during))
	fraction := ratio(with, without)
	r.CompletedDuringFaultFraction = &fraction
}

// violations counts the broken invariants that no fault excuses.
func (r *Report) violations() int {
	return r.DuplicateStarts + r.PartialAnswers + r.MisdeliveredAnswers + r.UntrueNotRun +
		r.LateDomainStarts + r.ConfigReverts + int(r.InternalViolations)
}

// broken reports whether an invariant was broken.
func (r *Report) broken(chosen []fault) bool {
	cutsOff := false
	for _, f := range chosen {
		cutsOff = cutsOff || f.cutsOff
	}
	return r.violations() > 0 || (r.CutOffRequests > 0 && !cutsOff)
}

func everything(*loadgen.Outcome) bool { return true }

// completeTasks counts the tasks of the complete jobs that keep selects.
func completeTasks(load *loadgen.Result, keep func(o *loadgen.Outcome) bool) int {
	sum := 0
	for i := range load.Outcomes {
		o := &load.Outcomes[i]
		if o.Complete() && keep(o) {
			sum += o.Tasks
		}
	}
	return sum
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
