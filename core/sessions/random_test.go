package sessions

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// chaos is a randomized session: rapid draws its jobs, resubmissions and faults.
type chaos struct {
	*cluster
	t       *rapid.T
	jobs    []*submittedJob
	ownIDs  int
	changes int
}

// submittedJob is a job that its caller may submit again.
type submittedJob struct {
	job      job.Job
	lastKind errkind.Kind
	answered bool
}

func newChaos(t *rapid.T) *chaos {
	cond := conditions{
		delay:         time.Millisecond,
		jitter:        time.Duration(rapid.SampledFrom([]int{1, 5, 40}).Draw(t, "jitter_ms")) * time.Millisecond,
		drop:          rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "drop"),
		dup:           rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "dup"),
		taskFails:     rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "fails"),
		lostAnswer:    rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "lost"),
		service:       50 * time.Millisecond,
		serviceJitter: time.Second,
	}
	agents := rapid.IntRange(3, 6).Draw(t, "agents")
	seed := rapid.Uint64().Draw(t, "seed")
	c := &chaos{cluster: newCluster(seed, cond, agents, 2), t: t}
	if *verbose {
		c.trace = func(format string, args ...any) {
			t.Logf("%8.3f  %s", c.now.Seconds(), fmt.Sprintf(format, args...))
		}
	}
	return c
}

func (c *chaos) pickAgent() *process {
	i := rapid.IntRange(0, len(c.agents)-1).Draw(c.t, "agent")
	return c.current[c.agents[i].ref.ID]
}

func (c *chaos) pickEntry() *process {
	return c.current[rapid.SampledFrom([]node.ID{"e1", "e2"}).Draw(c.t, "entry")]
}

// newID returns an ID that the entry mints, or one that the caller chooses.
func (c *chaos) newID(e *process) job.ID {
	if !rapid.Bool().Draw(c.t, "own") && e.alive && !e.paused {
		if ids := c.mint(e, 1); len(ids) > 0 {
			return ids[0]
		}
	}
	c.ownIDs++
	return job.ID(fmt.Sprintf("own-%d", c.ownIDs))
}

func (c *chaos) send(e *process, s *submittedJob) {
	if !e.alive {
		return
	}
	c.submit(e, s.job, func(r entry.Reply) {
		if r.Answer.Attempt == s.job.Attempt {
			s.lastKind = r.Answer.Kind
			s.answered = true
		}
	})
}

func (c *chaos) submitNew() {
	e := c.pickEntry()
	j := c.newJob(c.newID(e), rapid.IntRange(1, 8).Draw(c.t, "tasks"))
	j.Class = rapid.SampledFrom(job.Classes).Draw(c.t, "class")
	s := &submittedJob{job: j}
	c.jobs = append(c.jobs, s)
	c.send(e, s)
}

// resubmit submits a job again, as the same attempt or, after a retryable error, as
// the next one.
func (c *chaos) resubmit() {
	if len(c.jobs) == 0 {
		return
	}
	s := rapid.SampledFrom(c.jobs).Draw(c.t, "job")
	row, _ := errkind.Lookup(s.lastKind)
	if s.answered && row.Retryable && rapid.Bool().Draw(c.t, "next_attempt") {
		s.job.Attempt++
		s.answered = false
	}
	c.send(c.pickEntry(), s)
}

func (c *chaos) cancelOne() {
	if len(c.jobs) == 0 {
		return
	}
	e := c.pickEntry()
	if e.alive {
		c.cancel(e, rapid.SampledFrom(c.jobs).Draw(c.t, "job").job.ID)
	}
}

func (c *chaos) restartOne() {
	p := c.pickAgent()
	if rapid.IntRange(0, 4).Draw(c.t, "which") == 0 {
		p = c.pickEntry()
	}
	c.restart(p)
}

func (c *chaos) killOne() {
	p := c.pickAgent()
	if rapid.IntRange(0, 4).Draw(c.t, "which") == 0 {
		p = c.pickEntry()
	}
	c.kill(p)
}

func (c *chaos) pauseOne() {
	if p := c.pickAgent(); p.alive {
		c.pause(p)
	}
}

func (c *chaos) resumeAll() {
	for _, p := range c.processes() {
		if p.paused {
			c.resume(p)
		}
	}
}

// processes returns the latest incarnation of every process, ordered by ref.
func (c *chaos) processes() []*process {
	var list []*process
	for _, p := range c.current {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *process) int {
		if a.ref.Less(b.ref) {
			return -1
		}
		return 1
	})
	return list
}

// partition cuts off an agent, and possibly an entry and the agent's access to the
// log.
func (c *chaos) partition() {
	p := c.pickAgent()
	p.group = 1
	p.noLog = rapid.Bool().Draw(c.t, "no_log")
	if rapid.Bool().Draw(c.t, "with_entry") {
		c.pickEntry().group = 1
	}
}

// heal ends all network partitions.
func (c *chaos) heal() {
	for _, p := range c.processes() {
		p.group = 0
		p.noLog = false
	}
}

func (c *chaos) drainOne() {
	if p := c.pickAgent(); p.alive && !p.paused {
		c.drain(p)
	}
}

// toggleDomain takes out a failure domain, or brings it in again if it is out, as
// operators do.
func (c *chaos) toggleDomain() {
	if c.cond.logDown {
		return
	}
	state := control.NewState()
	for i, r := range c.log {
		state.Apply(int64(i), r)
	}
	domain := rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(c.t, "domain")
	out := config.TakeOut{Domain: domain}
	edit := config.Edit{Put: &config.Object{TakeOut: &out}}
	_, isOut := c.ledger.outSince[domain]
	if isOut {
		key := out.Key()
		edit = config.Edit{Delete: &key}
	}
	c.changes++
	record := control.EncodeChange(control.Change{
		ID: fmt.Sprintf("change-%d", c.changes), From: state.Config().Revision(),
		Author: "operator", Edits: []config.Edit{edit},
	})
	c.sendToEntries(c.publish(record))
	if isOut {
		delete(c.ledger.outSince, domain)
	} else {
		c.ledger.outSince[domain] = c.now
	}
}

// precedingRecords is the number of records before an accepted one that the
// operators' command sends to the entries together with it.
const precedingRecords = 64

// sendToEntries sends the accepted record to the entries, as the operators' command
// does.
func (c *chaos) sendToEntries(accepted int64) {
	offset := max(accepted-precedingRecords, 0)
	records := slices.Clone(c.log[offset:])
	for _, p := range c.processes() {
		if p.entry != nil && p.group == 0 {
			c.after(c.latency(), func() {
				c.deliver(p, func() { c.step(p, entry.Published{From: offset, Records: records}) })
			})
		}
	}
}

// toggleLog takes the log down, or up again if it is down.
func (c *chaos) toggleLog() { c.cond.logDown = !c.cond.logDown }

// act carries out one random operation.
func (c *chaos) act() {
	acts := []func(){
		c.submitNew, c.submitNew, c.submitNew, c.submitNew, c.resubmit, c.resubmit, c.resubmit,
		c.cancelOne, c.restartOne, c.killOne, c.pauseOne, c.resumeAll, c.partition, c.heal,
		c.toggleLog, c.toggleDomain, c.drainOne,
	}
	acts[rapid.IntRange(0, len(acts)-1).Draw(c.t, "act")]()
}

// endFaults ends all faults and restarts the processes that have ended. Agents that
// are still draining end later, so it restarts ended processes a second time.
func (c *chaos) endFaults() {
	c.heal()
	c.resumeAll()
	c.cond = steady
	c.restartEnded()
	c.run(30 * time.Second)
	c.restartEnded()
	c.run(30 * time.Second)
}

func (c *chaos) restartEnded() {
	for _, p := range c.processes() {
		if !p.alive {
			c.restart(p)
		}
	}
}

// checkAnswered checks that every entry has answered all its calls.
func (c *chaos) checkAnswered() {
	for _, p := range c.processes() {
		if p.entry != nil && p.entry.Status().Calls > 0 {
			panic(fmt.Sprintf("%s has %d unanswered calls, want 0", p.ref, p.entry.Status().Calls))
		}
	}
}

// checkJobCompletes checks that a new job completes after the faults have ended.
// It does nothing while a failure domain is taken out.
func (c *chaos) checkJobCompletes() {
	for _, domain := range []string{"d1", "d2", "d3"} {
		if _, out := c.ledger.outSince[domain]; out {
			return
		}
	}
	complete := false
	j := c.newJob("", 3)
	c.submit(c.current["e1"], j, func(r entry.Reply) { complete = r.Answer.Complete() })
	c.run(5 * time.Second)
	if !complete {
		panic("a job submitted after the end of all faults did not complete within 5 s")
	}
}

// checkAgreement checks that every live process has applied the whole log, and that
// every live entry shares the quotas with the other one.
func (c *chaos) checkAgreement() {
	for _, p := range c.processes() {
		if p.alive && p.core.Offset() != int64(len(c.log)) {
			panic(fmt.Sprintf("%s has applied %d records of the log, want all %d", p.ref, p.core.Offset(), len(c.log)))
		}
		if p.alive && p.entry != nil && len(p.entry.Status().Entries) != 2 {
			panic(fmt.Sprintf("%s divides the quotas among %d entries, want 2", p.ref, len(p.entry.Status().Entries)))
		}
	}
}

var totalSteps, totalStarts int

// TestRandom runs clusters under random faults. The ledger panics when the system
// breaks a guarantee to callers or upstreams; the cores panic when one of their
// invariants does not hold.
func TestRandom(t *testing.T) {
	kinds := make(map[errkind.Kind]int)
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
		for range rapid.IntRange(5, 60).Draw(t, "acts") {
			c.act()
			c.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause_ms")) * time.Millisecond)
		}
		c.endFaults()
		c.checkAnswered()
		c.checkAgreement()
		c.checkJobCompletes()
		totalSteps += c.steps
		totalStarts += c.ledger.total
		for k, n := range c.ledger.kinds {
			kinds[k] += n
		}
	})
	t.Logf("%d steps, %d task starts, answers by kind: %v", totalSteps, totalStarts, kinds)
}
