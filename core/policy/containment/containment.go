// Package containment decides, from reported crashes of upstreams, which tasks are given up
// because upstreams crash under them.
//
// The runs that were started right before a crash are its suspects. A crash has several of
// them as a rule, so a task is given up only after a further crash in which it was a suspect
// too. All dispatchers get the same reports and come to the same verdicts.
package containment

import (
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
	// maxCrashes is the number of crashes under a task after which it is given up in any
	// case.
	maxCrashes = 3
	// blameThreshold is the sum of the shares of blame that a task under which two upstreams
	// have crashed must exceed to be given up. Each crash is shared among the suspect jobs.
	blameThreshold = 1.0
	// maxTasks limits the tasks that are remembered.
	maxTasks = 16384
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
	// condemnedJobs counts the condemned tasks of each job.
	condemnedJobs map[string]int
}

// record is what is remembered of a task.
type record struct {
	// crashes counts the crashes that the task was there for, suspected those in which it
	// was a suspect.
	crashes, suspected int
	blame              float64
	lastAt             time.Duration
}

type entry struct {
	task message.TaskName
	at   time.Duration
}

// New returns a tracker without crashes.
func New() *Tracker {
	return &Tracker{tasks: make(map[message.TaskName]*record), condemnedJobs: make(map[string]int)}
}

func (r *record) verdict() Verdict {
	switch {
	case r.crashes >= maxCrashes, r.suspected >= 2 && r.blame > blameThreshold:
		return Condemned
	case r.suspected > 0:
		return Suspect
	default:
		return Clear
	}
}

// Record records the crash of an upstream. It returns the tasks that are condemned because
// of it.
func (t *Tracker) Record(now time.Duration, crash *message.Crash) (condemned []message.TaskName) {
	t.Expire(now)
	suspects := suspects(crash.Runs)
	jobs := make(map[string]bool)
	for _, r := range suspects {
		jobs[r.Task.Job] = true
	}
	for i, run := range crash.Runs {
		r := t.record(run, now)
		if r == nil {
			continue
		}
		before := r.verdict()
		r.crashes++
		if i < len(suspects) {
			r.suspected++
			r.blame += 1 / float64(len(jobs))
		}
		if r.verdict() == Condemned && before != Condemned {
			condemned = append(condemned, run.Task)
			t.condemnedJobs[run.Task.Job]++
		}
	}
	return condemned
}

// suspects returns the suspects among the runs, which are ordered by age.
func suspects(runs []message.CrashedRun) []message.CrashedRun {
	n := 0
	for n < len(runs) && runs[n].Age <= StartWindow {
		n++
	}
	if n == 0 {
		return runs
	}
	return runs[:n]
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
	}
	r.lastAt = now
	t.order = append(t.order, entry{run.Task, now})
	return r
}

// Expire forgets the crashes that are older than the memory.
func (t *Tracker) Expire(now time.Duration) {
	n := 0
	for n < len(t.order) && now-t.order[n].at > memory {
		if r, ok := t.tasks[t.order[n].task]; ok && now-r.lastAt > memory {
			t.forget(t.order[n].task, r)
		}
		n++
	}
	t.order = append(t.order[:0], t.order[n:]...)
}

func (t *Tracker) forget(name message.TaskName, r *record) {
	delete(t.tasks, name)
	if r.verdict() != Condemned {
		return
	}
	if t.condemnedJobs[name.Job]--; t.condemnedJobs[name.Job] <= 0 {
		delete(t.condemnedJobs, name.Job)
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

// JobCondemned reports whether a task of the job is condemned.
func (t *Tracker) JobCondemned(job string) bool { return t.condemnedJobs[job] > 0 }

// Active reports whether there is any recent crash.
func (t *Tracker) Active() bool { return len(t.tasks) > 0 }
