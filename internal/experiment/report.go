package experiment

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

// counts holds what the ledger of the stand-in upstreams and the fault injection
// counted during a run.
type counts struct {
	ledger     upstream.Counts
	maxInForce time.Duration
	restarted  int64
}

// ClassRatios holds quantiles of the ratio of response time to ideal response time
// over the complete jobs of a class.
type ClassRatios struct {
	Class job.Class `json:"class,omitempty"`
	Jobs  int       `json:"jobs"`
	P50   float64   `json:"response_over_ideal_p50"`
	P99   float64   `json:"response_over_ideal_p99"`
	P999  float64   `json:"response_over_ideal_p999"`
	// AdmittedP99 is like P99, but excludes the time before a job's last submission
	// if earlier submissions were refused.
	AdmittedP99 float64 `json:"admitted_over_ideal_p99"`
	// RecoveredP99 is like P99, but only of the jobs that arrived at least
	// recoveryTime after the end of the fault window.
	RecoveredP99 float64 `json:"recovered_over_ideal_p99"`
	// Refused is the share of the jobs that were refused at least once.
	Refused float64 `json:"refused_fraction"`
}

// RefusalTimes summarises the times until jobs were refused.
type RefusalTimes struct {
	Jobs       int     `json:"jobs"`
	P50Seconds float64 `json:"p50_seconds"`
	MaxSeconds float64 `json:"max_seconds"`
}

// refusalTimes summarises the response times of the jobs that were answered with
// the given error kind. It returns nil if there are none.
func refusalTimes(load *loadgen.Result, kind errkind.Kind) *RefusalTimes {
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
	return &RefusalTimes{
		Jobs:       len(times),
		P50Seconds: times[len(times)/2].Seconds(),
		MaxSeconds: times[len(times)-1].Seconds(),
	}
}

// recoveryTime is how long after the end of a fault the figures may still differ
// from those of a run without the fault.
const recoveryTime = 2 * time.Second

// Report holds the results of a run.
type Report struct {
	Scenario        string   `json:"scenario"`
	Faults          []string `json:"faults"`
	Policy          string   `json:"policy,omitempty"`
	Seed            uint64   `json:"seed"`
	DurationSeconds float64  `json:"duration_seconds"`
	Load            float64  `json:"load"`

	Jobs   int `json:"jobs"`
	Tasks  int `json:"tasks"`
	Starts int `json:"starts"`
	// Complete, Failed and Unanswered count the jobs by their outcome. NotRun and
	// OutcomeUnknown are parts of Failed.
	Complete       int                    `json:"complete"`
	Failed         int                    `json:"failed"`
	Unanswered     int                    `json:"unanswered"`
	NotRun         int                    `json:"not_run"`
	OutcomeUnknown int                    `json:"outcome_unknown"`
	Failures       []loadgen.FailureCount `json:"failures"`
	// Resubmissions counts the submissions after the first of each job, including
	// those after a refusal.
	Resubmissions int `json:"resubmissions"`
	// NoMatch summarises the jobs that no upstream matched. It is absent if there
	// were none.
	NoMatch *RefusalTimes `json:"no_match,omitempty"`
	// RefusedSubmissions counts the refused submissions that may be repeated.
	// UnpacedRefusals counts those among them whose refusal did not say when to
	// retry.
	RefusedSubmissions    int     `json:"refused_submissions"`
	UnpacedRefusals       int     `json:"unpaced_refusals"`
	SlowestRefusalSeconds float64 `json:"slowest_refusal_seconds"`

	P50     float64       `json:"response_over_ideal_p50"`
	P99     float64       `json:"response_over_ideal_p99"`
	P999    float64       `json:"response_over_ideal_p999"`
	ByClass []ClassRatios `json:"by_class"`

	MessagesPerTask       float64 `json:"messages_per_task"`
	WastedMessagesPerTask float64 `json:"wasted_messages_per_task"`
	// ControlMessagesPerSecond is the average number that one process sent.
	ControlMessagesPerSecond float64 `json:"control_messages_per_second"`
	// CompletedFraction is the share of complete jobs among those that could run and
	// were not cancelled.
	CompletedFraction float64 `json:"completed_fraction"`
	// CompletedDuringFaultFraction is the number of tasks of complete jobs that
	// arrived in the fault window, divided by the same number of the baseline
	// without faults. It is absent if no baseline was measured.
	CompletedDuringFaultFraction *float64 `json:"completed_during_fault_fraction,omitempty"`
	GoodputTasksPerSecond        float64  `json:"goodput_tasks_per_second"`
	// MaxInForceSeconds is the longest time from the acceptance of a configuration
	// change until it was in force. It is zero if no change was published.
	MaxInForceSeconds float64 `json:"max_in_force_seconds"`
	// Restarted counts the processes that were restarted by planned stops.
	Restarted int64 `json:"restarted"`

	// The following fields count violations of invariants. DuplicateStarts counts
	// the starts of a task after its first. PartialAnswers counts answers that are
	// neither complete nor failed. MisdeliveredAnswers counts answers with content
	// of another job or task. UntrueNotRun counts submissions and tasks that were
	// started although the caller was informed that they had not run and would not
	// run. LateDomainStarts counts starts in a failure domain after the time allowed
	// since it was taken out. ConfigReverts counts returns of a process to an older
	// configuration revision. CutOffRequests counts requests whose connection ended
	// before the answer. InternalViolations counts the violations that the processes
	// detected themselves.
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
		NoMatch:            refusalTimes(&m.load, errkind.NoUpstreamMatches),
		RefusedSubmissions: c.Refusals, UnpacedRefusals: c.UnpacedRefusals,
		SlowestRefusalSeconds: m.load.SlowestRefusal.Seconds(),

		MessagesPerTask:          ratio(float64(m.observed.jobMessages()), float64(ledger.Starts)),
		WastedMessagesPerTask:    ratio(float64(m.observed.wastedMessages()), float64(ledger.Starts)),
		ControlMessagesPerSecond: ratio(float64(m.observed.sentOfKinds(controlKinds)), m.elapsed.Seconds()*(siteAgents+siteEntries)),
		GoodputTasksPerSecond:    ratio(float64(completeTasks(&m.load, allOutcomes)), m.elapsed.Seconds()),
		MaxInForceSeconds:        m.counts.maxInForce.Seconds(),
		Restarted:                m.counts.restarted,

		DuplicateStarts: ledger.DuplicateStarts, PartialAnswers: c.PartialAnswers,
		MisdeliveredAnswers: c.MisdeliveredAnswers, UntrueNotRun: ledger.UntrueNotRun,
		LateDomainStarts: ledger.LateDomainStarts, ConfigReverts: m.observed.revisionReverts,
		CutOffRequests: c.CutOffRequests, InternalViolations: m.observed.violations,
		ClientErrors: m.load.Errors,
	}
	r.addRatios(&m.load, m.window.end+recoveryTime)
	return r
}

// addRatios sets the response ratios and CompletedFraction. Jobs that arrive at
// recoveredAt or later count as after the recovery.
func (r *Report) addRatios(load *loadgen.Result, recoveredAt time.Duration) {
	all := load.Ratios(allOutcomes)
	r.P50, r.P99, r.P999 = all.P50, all.P99, all.P999
	for _, class := range job.Classes {
		r.ByClass = append(r.ByClass, classRatios(load, class, recoveredAt))
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

func classRatios(load *loadgen.Result, class job.Class, recoveredAt time.Duration) ClassRatios {
	ofClass := func(o *loadgen.Outcome) bool { return o.Class == class }
	afterRecovery := func(o *loadgen.Outcome) bool { return o.Class == class && o.At >= recoveredAt }
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
	return ClassRatios{
		Class: class, Jobs: q.Jobs, P50: q.P50, P99: q.P99, P999: q.P999,
		AdmittedP99:  load.AdmittedRatios(ofClass).P99,
		RecoveredP99: load.Ratios(afterRecovery).P99,
		Refused:      ratio(float64(refused), float64(jobs)),
	}
}

// addFaultComparison sets CompletedDuringFaultFraction from the run and its
// baseline without faults.
func (r *Report) addFaultComparison(m, baseline measurement) {
	during := func(o *loadgen.Outcome) bool { return m.window.contains(o.At) }
	with := float64(completeTasks(&m.load, during))
	without := float64(completeTasks(&baseline.load, during))
	fraction := ratio(with, without)
	r.CompletedDuringFaultFraction = &fraction
}

// violationCount returns the number of violations that count as broken invariants
// whatever faults were injected.
func (r *Report) violationCount() int {
	return r.DuplicateStarts + r.PartialAnswers + r.MisdeliveredAnswers + r.UntrueNotRun +
		r.LateDomainStarts + r.ConfigReverts + int(r.InternalViolations)
}

// invariantBroken reports whether the run broke an invariant. Requests that were
// cut off count unless one of the chosen faults may cut off requests.
func (r *Report) invariantBroken(chosen []fault) bool {
	cutsOff := false
	for _, f := range chosen {
		cutsOff = cutsOff || f.cutsOff
	}
	return r.violationCount() > 0 || (r.CutOffRequests > 0 && !cutsOff)
}

func allOutcomes(*loadgen.Outcome) bool { return true }

// completeTasks counts the tasks of the complete jobs for which keep returns true.
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

// ratio returns a / b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
