package sessions

import (
	"fmt"
	"strings"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// recorder collects the lines of a golden file.
type recorder struct {
	w     *world
	lines strings.Builder
}

// record starts to collect all lines of w.trace.
func (w *world) record() *recorder {
	r := &recorder{w: w}
	w.trace = func(format string, args ...any) {
		fmt.Fprintf(&r.lines, "%8.3f  %s\n", w.now.Seconds(), fmt.Sprintf(format, args...))
	}
	return r
}

// traceMessage records a message about a job. It ignores periodic messages.
func (w *world) traceMessage(p *process, to node.Ref, m message.Message) {
	if text := describe(m); text != "" {
		w.trace("%s -> %s: %s", p.ref.ID, to.ID, text)
	}
}

// describe returns the text of a message about a job, or "" for other messages.
func describe(m message.Message) string {
	switch {
	case m.Submit != nil:
		return fmt.Sprintf("submit %s attempt %d, %d tasks", m.Submit.Job.ID, m.Submit.Job.Attempt, len(m.Submit.Job.Tasks))
	case m.Fetch != nil:
		return fmt.Sprintf("fetch %s", m.Fetch.ID)
	case m.Cancel != nil:
		return fmt.Sprintf("cancel %s", m.Cancel.ID)
	case m.Answer != nil:
		return "answer " + describeAnswer(m.Answer.Answer)
	case m.Pending != nil:
		return "pending"
	case m.NoRecord != nil:
		return "no record"
	case m.NotHome != nil:
		return fmt.Sprintf("not home, ask %s", m.NotHome.Home.ID)
	case m.Start != nil:
		return fmt.Sprintf("start %s/%d seq %d floor %d", m.Start.ID, m.Start.Index, m.Start.Seq, m.Start.Floor)
	case m.Abort != nil:
		return fmt.Sprintf("abort seq %d", m.Abort.Seq)
	case m.Result != nil:
		return fmt.Sprintf("result %s/%d %s", m.Result.ID, m.Result.Index, m.Result.State)
	case m.Refused != nil:
		return fmt.Sprintf("refused %s/%d %s", m.Refused.ID, m.Refused.Index, m.Refused.Reason)
	case m.Started != nil:
		return fmt.Sprintf("started seq %d, queued %v", m.Started.Seq, m.Started.Queued)
	default:
		return ""
	}
}

func describeAnswer(a job.Answer) string {
	if a.Complete() {
		return fmt.Sprintf("%s attempt %d complete, %d results", a.ID, a.Attempt, len(a.Results))
	}
	return fmt.Sprintf("%s attempt %d %s %v (%s)", a.ID, a.Attempt, a.Kind, a.States, a.Detail)
}

// submit submits a job to the entry p and checks its answer with the ledger. Then
// may be nil; submit calls it with the answer.
func (w *world) submit(p *process, j job.Job, then func(entry.Reply)) {
	w.calls++
	call := w.calls
	w.waiting[call] = func(x step.Action) {
		r := x.(entry.Reply)
		w.trace("%s answers its caller: %s", p.ref.ID, describeAnswer(r.Answer))
		w.ledger.answer(&j, r)
		if then != nil {
			then(r)
		}
	}
	w.deliver(p, func() { w.step(p, entry.SubmitCall{Call: call, Job: j, Wait: true}) })
}

// cancel cancels a job through the entry p and checks the answer with the ledger.
func (w *world) cancel(p *process, id job.ID) {
	w.calls++
	call := w.calls
	w.waiting[call] = func(x step.Action) {
		r := x.(entry.Reply)
		w.trace("%s answers the cancellation: %s", p.ref.ID, describeAnswer(r.Answer))
		w.ledger.answer(&job.Job{}, entry.Reply{Pending: r.Pending || r.Answer.Complete(), Answer: r.Answer})
	}
	w.deliver(p, func() { w.step(p, entry.CancelCall{Call: call, ID: id}) })
}

// mint returns n IDs from the entry p, or none if the entry refuses.
func (w *world) mint(p *process, n int) []job.ID {
	w.calls++
	call := w.calls
	var ids []job.ID
	w.waiting[call] = func(x step.Action) { ids = x.(entry.MintReply).IDs }
	w.deliver(p, func() { w.step(p, entry.MintCall{Call: call, Count: n}) })
	return ids
}
