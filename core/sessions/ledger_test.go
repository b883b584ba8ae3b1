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

// outBound is how long after the acceptance of a take-out a task may still
// start in the failure domain.
const outBound = 4 * time.Second

type taskKey struct {
	id    job.ID
	index int
}

type attemptKey struct {
	id      job.ID
	attempt int
}

// ledger counts, outside the system, what upstreams and callers see.
type ledger struct {
	starts   map[taskKey]int
	attempts map[attemptKey]int
	notRun   map[attemptKey]bool
	complete map[attemptKey]bool
	// outSince holds when the take-out of a failure domain was accepted.
	outSince map[string]time.Duration
	kinds    map[errkind.Kind]int
	total    int
	// times holds when tasks started in each failure domain, in order.
	times map[string][]time.Duration
}

func newLedger() *ledger {
	return &ledger{
		starts:   make(map[taskKey]int),
		attempts: make(map[attemptKey]int),
		notRun:   make(map[attemptKey]bool),
		complete: make(map[attemptKey]bool),
		outSince: make(map[string]time.Duration),
		kinds:    make(map[errkind.Kind]int),
		times:    make(map[string][]time.Duration),
	}
}

// start records that an upstream got a task.
func (l *ledger) start(w *world, p *process, x agent.StartTask) {
	l.total++
	l.times[p.domain] = append(l.times[p.domain], w.now)
	k := taskKey{x.ID, x.Index}
	l.starts[k]++
	if l.starts[k] > 1 {
		panic(fmt.Sprintf("task %s/%d started %d times", x.ID, x.Index, l.starts[k]))
	}
	a := attemptKey{x.ID, x.Attempt}
	l.attempts[a]++
	if l.notRun[a] {
		panic(fmt.Sprintf("job %s attempt %d started after its caller was told that nothing would", x.ID, x.Attempt))
	}
	if since, out := l.outSince[p.domain]; out && w.now-since > outBound {
		panic(fmt.Sprintf("task %s/%d started in %s %v after it was taken out", x.ID, x.Index, p.domain, w.now-since))
	}
}

// answer checks what a caller got for a job.
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
		panic(fmt.Sprintf("job %s failed and carries results", a.ID))
	}
	row, ok := errkind.Lookup(a.Kind)
	if !ok {
		panic("an answer has a kind that is not in the list: " + string(a.Kind))
	}
	if !row.NothingStarted {
		return
	}
	if l.attempts[k] > 0 {
		panic(fmt.Sprintf("job %s attempt %d: %s although %d tasks have started", a.ID, a.Attempt, a.Kind, l.attempts[k]))
	}
	l.notRun[k] = true
}

func (l *ledger) checkComplete(j *job.Job, a job.Answer) {
	if len(a.Results) != len(j.Tasks) {
		panic(fmt.Sprintf("job %s: %d results for %d tasks", a.ID, len(a.Results), len(j.Tasks)))
	}
	for i, got := range a.Results {
		if want := resultBody(a.ID, i, j.Tasks[i].Payload); !bytes.Equal(got, want) {
			panic(fmt.Sprintf("job %s task %d: result %q belongs to another task", a.ID, i, got))
		}
	}
}
