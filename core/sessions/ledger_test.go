package sessions

import (
	"bytes"
	"fmt"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// maxStartAfterOut is how long tasks may still start in a failure domain after the
// change that takes it out was accepted.
const maxStartAfterOut = 4 * time.Second

type taskKey struct {
	id    job.ID
	index int
}

type attemptKey struct {
	id      job.ID
	attempt int
}

// ledger records what upstreams and callers see, and panics when that breaks a
// guarantee of the system: a task starts at most once, no task of a job starts
// when an answer states that none does, and every result belongs to its task.
type ledger struct {
	starts   map[taskKey]int
	attempts map[attemptKey]int
	notRun   map[attemptKey]bool
	complete map[attemptKey]bool
	// outSince holds, for each failure domain that is taken out, when that change
	// was accepted.
	outSince map[string]time.Duration
	kinds    map[errkind.Kind]int
	total    int
	// startTimes holds when tasks started in each failure domain, in order.
	startTimes map[string][]time.Duration
}

func newLedger() *ledger {
	return &ledger{
		starts:     make(map[taskKey]int),
		attempts:   make(map[attemptKey]int),
		notRun:     make(map[attemptKey]bool),
		complete:   make(map[attemptKey]bool),
		outSince:   make(map[string]time.Duration),
		kinds:      make(map[errkind.Kind]int),
		startTimes: make(map[string][]time.Duration),
	}
}

// start records that an upstream received a task.
func (l *ledger) start(w *world, p *process, x agent.StartTask) {
	l.total++
	l.startTimes[p.domain] = append(l.startTimes[p.domain], w.now)
	k := taskKey{x.ID, x.Index}
	l.starts[k]++
	if l.starts[k] > 1 {
		panic(fmt.Sprintf("task %s/%d started %d times", x.ID, x.Index, l.starts[k]))
	}
	a := attemptKey{x.ID, x.Attempt}
	l.attempts[a]++
	if l.notRun[a] {
		panic(fmt.Sprintf("job %s attempt %d: a task started after the caller had got an answer that rules it out", x.ID, x.Attempt))
	}
	if since, out := l.outSince[p.domain]; out && w.now-since > maxStartAfterOut {
		panic(fmt.Sprintf("task %s/%d started in failure domain %s, %v after the domain was taken out", x.ID, x.Index, p.domain, w.now-since))
	}
}

// answer checks the answer that a caller got for a job.
func (l *ledger) answer(j *job.Job, r entry.Reply) {
	a := r.Answer
	if r.Pending {
		l.kinds["pending"]++
		return
	}
	l.kinds[a.Kind]++
	k := attemptKey{a.ID, a.Attempt}
	if a.Complete() {
		l.checkComplete(j, a)
		l.complete[k] = true
		return
	}
	if len(a.Results) > 0 {
		panic(fmt.Sprintf("the answer of the failed job %s has results", a.ID))
	}
	row, ok := errkind.Lookup(a.Kind)
	if !ok {
		panic("an answer has an unknown error kind: " + string(a.Kind))
	}
	if !row.NothingStarted {
		return
	}
	if l.attempts[k] > 0 {
		panic(fmt.Sprintf("job %s attempt %d: answer %s says that nothing started, but %d tasks have", a.ID, a.Attempt, a.Kind, l.attempts[k]))
	}
	l.notRun[k] = true
}

func (l *ledger) checkComplete(j *job.Job, a job.Answer) {
	if len(a.Results) != len(j.Tasks) {
		panic(fmt.Sprintf("job %s: got %d results for %d tasks", a.ID, len(a.Results), len(j.Tasks)))
	}
	for i, got := range a.Results {
		if want := resultBody(a.ID, i, j.Tasks[i].Payload); !bytes.Equal(got, want) {
			panic(fmt.Sprintf("job %s task %d: got result %q, which belongs to another task", a.ID, i, got))
		}
	}
}
