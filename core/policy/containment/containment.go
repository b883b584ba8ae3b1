// Package containment decides, from reported crashes of upstreams, which tasks are given up
// because upstreams crash under them, and which routes are confined to a few upstreams
// because such tasks keep coming with their jobs.
//
// The runs that were started right before a crash are its suspects. A crash has several of
// them as a rule, so a task is given up only after a further crash that it is blamed for.
// Blame is never proof, since something else may have crashed the upstream: the verdicts say
// where and whether a task may start, and nothing about its result. All dispatchers get the
// same reports and come to nearly the same verdicts: these depend on the order of the reports.
package containment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// StartWindow is the time from the start of a task within which it is a suspect if its
	// upstream crashes. If no run is that new, all runs of the upstream are suspects.
	StartWindow = 100 * time.Millisecond
	// memory is how long a crash counts against the tasks that were there: several times the
	// pause before a caller submits a job again.
	memory = 10 * time.Second
	// maxCrashes is the number of crashes under a task after which it is given up, whoever is
	// to blame.
	maxCrashes = 4
	// blameThreshold is the sum of shares of blame above which a task is given up.
	blameThreshold = 1.0
	// halfLife is the difference in age that halves a job's share of the blame for a crash.
	halfLife = 20 * time.Millisecond
	// formerShare is the share of the jobs that were blamed before, if tasks of other jobs were
	// started at about the same time.
	formerShare = 0.8
	// minShare is the least share of blame that makes a task a suspect.
	minShare = 0.05
	// maxTasks and maxCrashRecords limit what is remembered.
	maxTasks        = 16384
	maxCrashRecords = 512
)

// Verdict is what is known of a task.
type Verdict int

// The verdicts on a task.
const (
	// Clear: no crash is attributed to the task.
	Clear Verdict = iota
	// Suspect: the task may have caused a crash.
	Suspect
	// Condemned: the task is given up.
	Condemned
)

// Tracker collects crashes. The caller passes monotonic times that do not decrease.
type Tracker struct {
	tasks map[message.TaskName]*record
	// order holds the crashes of all tasks in order of time, for expiry.
	order []entry
	// taskCount and condemnedJobs count the remembered and the condemned tasks of each job.
	taskCount, condemnedJobs map[string]int
	// crashes holds the crashes that count towards the blame of routes, condemnations the
	// condemned tasks, both in order of time.
	crashes       []crashRecord
	condemnations []condemnation
	// events holds the recent events.
	events []*event
	// confined holds the confined routes.
	confined map[string]confinedRoute
}

// record is what is remembered of a task.
type record struct {
	// crashes counts the crashes that the task was there for, blamed those that it is blamed
	// for, alone or with others.
	crashes, blamed int
	blame           float64
	// cleared is set once the blame for a crash was taken back.
	cleared bool
	lastAt  time.Duration
}

// entry is one crash under a task.
type entry struct {
	task message.TaskName
	at   time.Duration
}

// New returns a tracker without crashes.
func New() *Tracker {
	return &Tracker{
		tasks: make(map[message.TaskName]*record), taskCount: make(map[string]int), condemnedJobs: make(map[string]int),
		confined: make(map[string]confinedRoute),
	}
}

func (r *record) verdict() Verdict {
	switch {
	case r.crashes >= maxCrashes, r.blamed >= 2 && r.blame > blameThreshold:
		return Condemned
	case r.blamed > 0:
		return Suspect
	default:
		return Clear
	}
}

// Evidence is what a verdict on a task rests on.
type Evidence struct {
	// Crashes counts the crashes that the task was there for, and Blamed those that it is
	// blamed for, alone or with others. Blame is the sum of its shares.
	Crashes, Blamed int
	Blame           float64
}

// Evidence returns what the verdict on a task rests on.
func (t *Tracker) Evidence(name message.TaskName) Evidence {
	if r, ok := t.tasks[name]; ok {
		return Evidence{r.crashes, r.blamed, r.blame}
	}
	return Evidence{}
}

// Findings are the conclusions from a crash.
type Findings struct {
	// Blamed are the tasks that are blamed for the crash, and Condemned those that are given
	// up because of it.
	Blamed, Condemned []message.TaskName
	// Cleared are the tasks that are no longer blamed for this crash or for others within the
	// last moments: so many upstreams have crashed at once that the cause is not a task.
	Cleared []message.TaskName
	// Confined are the names of the routes that are confined from now on.
	Confined []string
}

// Record records the crash of an upstream of the service, which has this number of upstreams.
func (t *Tracker) Record(now time.Duration, service string, upstreams int, crash *message.Crash) Findings {
	t.expire(now)
	var f Findings
	candidates, former := t.candidates(now, crash.Runs)
	shares := shareBlame(candidates, former)
	x := crashRecord{at: now, shares: make(map[string]float64), jobs: make(map[string]bool)}
	blamed := make(map[message.TaskName]float64)
	for _, run := range crash.Runs {
		r := t.record(run, now)
		if r == nil {
			continue
		}
		before := r.verdict()
		r.crashes++
		if share := shares[run.Task.Job]; share >= minShare && slices.Contains(candidates, run) {
			f.Blamed = append(f.Blamed, run.Task)
			blamed[run.Task] = share
			r.blamed++
			r.blame += share
			if !x.jobs[run.Task.Job] {
				x.jobs[run.Task.Job] = true
				x.shares[run.Route] += share
			}
		}
		if r.verdict() == Condemned && before != Condemned {
			f.Condemned = append(f.Condemned, run.Task)
			t.condemn(now, run, r.blamed > 0)
		}
	}
	if former == 0 {
		t.crashes = append(t.crashes, x)
		t.crashes = slices.Delete(t.crashes, 0, max(0, len(t.crashes)-maxCrashRecords))
	}
	f.Cleared = t.recordEvent(now-max(crash.Age, 0), service, upstreams, eventCrash{blamed, x})
	f.Condemned = slices.DeleteFunc(f.Condemned, func(name message.TaskName) bool { return t.Verdict(name) != Condemned })
	f.Confined = t.confineRoutes(now, service, x.shares)
	return f
}

// condemn records that a task is given up. If it was blamed, the crashes that its job was
// blamed for with others are now explained, and count against its route alone.
func (t *Tracker) condemn(now time.Duration, run message.CrashedRun, blamed bool) {
	t.condemnedJobs[run.Task.Job]++
	if !blamed {
		return
	}
	t.condemnations = append(t.condemnations, condemnation{now, run.Route, run.Task})
	for i := range t.crashes {
		if x := &t.crashes[i]; x.jobs[run.Task.Job] {
			x.shares = map[string]float64{run.Route: 1}
		}
	}
}

// candidates returns the runs that share the blame for a crash. The runs are ordered by age;
// those that were started right before it are its suspects. If some of them were blamed
// before, the blame falls on these, with the share former, else on those of confined routes,
// if any.
func (t *Tracker) candidates(now time.Duration, runs []message.CrashedRun) (list []message.CrashedRun, former float64) {
	list = runs
	if n := slices.IndexFunc(runs, func(r message.CrashedRun) bool { return r.Age > StartWindow }); n > 0 {
		list = runs[:n]
	}
	blamed := func(r message.CrashedRun) bool { return t.Verdict(r.Task) != Clear }
	confined := func(r message.CrashedRun) bool { return t.RouteConfined(now, r.Route) }
	switch {
	case slices.ContainsFunc(list, blamed):
		if kept := filter(list, blamed); len(kept) < len(list) {
			return kept, formerShare
		}
		return list, 1
	case slices.ContainsFunc(list, confined):
		return filter(list, confined), 0
	default:
		return list, 0
	}
}

func filter(runs []message.CrashedRun, keep func(message.CrashedRun) bool) []message.CrashedRun {
	return slices.DeleteFunc(slices.Clone(runs), func(r message.CrashedRun) bool { return !keep(r) })
}

// shareBlame returns the share of blame of each job, by the age of its newest run. The runs
// are ordered by age. The shares add up to 1, or to former unless that is zero.
func shareBlame(runs []message.CrashedRun, former float64) map[string]float64 {
	shares := make(map[string]float64)
	sum := 0.0
	for _, r := range runs {
		if _, ok := shares[r.Task.Job]; !ok {
			weight := math.Exp2(-float64(r.Age-runs[0].Age) / float64(halfLife))
			shares[r.Task.Job] = weight
			sum += weight
		}
	}
	for job := range shares {
		shares[job] *= cmp.Or(former, 1) / sum
	}
	return shares
}

// record returns the record of a task, or nil if no more can be remembered.
func (t *Tracker) record(run message.CrashedRun, now time.Duration) *record {
	r, ok := t.tasks[run.Task]
	if !ok {
		if len(t.tasks) >= maxTasks {
			return nil
		}
		r = &record{}
		t.tasks[run.Task] = r
		t.taskCount[run.Task.Job]++
	}
	r.lastAt = now
	t.order = append(t.order, entry{run.Task, now})
	return r
}

// Expire forgets what is older than the memory and returns the routes whose confinement has
// ended.
func (t *Tracker) Expire(now time.Duration) (released []string) {
	t.expire(now)
	for route, r := range t.confined {
		if now >= r.until {
			delete(t.confined, route)
			released = append(released, route)
		}
	}
	slices.Sort(released)
	return released
}

func (t *Tracker) expire(now time.Duration) {
	t.events = slices.DeleteFunc(t.events, func(e *event) bool { return now-e.at > memory })
	t.crashes = slices.DeleteFunc(t.crashes, func(x crashRecord) bool { return now-x.at > memory })
	t.condemnations = slices.DeleteFunc(t.condemnations, func(x condemnation) bool { return now-x.at > memory })
	n := 0
	for n < len(t.order) && now-t.order[n].at > memory {
		if r, ok := t.tasks[t.order[n].task]; ok && now-r.lastAt > memory {
			t.forget(t.order[n].task, r)
		}
		n++
	}
	t.order = slices.Delete(t.order, 0, n)
}

func (t *Tracker) forget(name message.TaskName, r *record) {
	delete(t.tasks, name)
	decrement(t.taskCount, name.Job)
	if r.verdict() == Condemned {
		decrement(t.condemnedJobs, name.Job)
	}
}

// decrement subtracts one from the count of a job, and deletes it at zero.
func decrement(counts map[string]int, job string) {
	if counts[job]--; counts[job] <= 0 {
		delete(counts, job)
	}
}

// Acquit forgets the crashes of a task that has completed on an upstream.
func (t *Tracker) Acquit(name message.TaskName) {
	if r, ok := t.tasks[name]; ok {
		t.forget(name, r)
	}
}

// Verdict returns the verdict on a task.
func (t *Tracker) Verdict(name message.TaskName) Verdict {
	if r, ok := t.tasks[name]; ok {
		return r.verdict()
	}
	return Clear
}

// JobKnown reports whether a task of the job was there for a crash.
func (t *Tracker) JobKnown(job string) bool { return t.taskCount[job] > 0 }

// JobCondemned reports whether a task of the job is condemned.
func (t *Tracker) JobCondemned(job string) bool { return t.condemnedJobs[job] > 0 }

// Active reports whether there is a recent crash or a confined route.
func (t *Tracker) Active() bool { return len(t.tasks) > 0 || len(t.confined) > 0 }
