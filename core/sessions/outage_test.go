package sessions

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

const (
	// takeOutBound is the longest time from the acceptance of the change that takes
	// out a failure domain until the change is in force; see "Domain out within 3
	// s" in docs/design/freshness.md.
	takeOutBound = 3 * time.Second
	// operatorPause is the time between two attempts of an operator's command.
	operatorPause = 200 * time.Millisecond
	// jobPause is the time between two jobs of the steady load.
	jobPause = 100 * time.Millisecond
	// returnRowTime is the time that each of the rows covers that count the starts
	// right after failure domains were brought in again.
	returnRowTime = 50 * time.Millisecond
	// rowTime is the time that a row of the table of starts covers.
	rowTime = 500 * time.Millisecond
)

// outageSession is a cluster under a steady load. It counts the task starts by
// failure domain and time.
type outageSession struct {
	*cluster
	// tasks is the number of tasks of each job.
	tasks  int
	events map[time.Duration][]string
	kinds  map[string]int
	// refusedAt holds the times at which executors refused tasks.
	refusedAt []time.Duration
	// returnedAt is when failure domains were last brought in again, or zero.
	returnedAt time.Duration
	// loadActive is true until table stops the load.
	loadActive bool
	loadStart  time.Duration
}

func newOutageSession(cond conditions, tasks int) *outageSession {
	s := &outageSession{
		cluster: newCluster(1, cond, 6, 2), tasks: tasks,
		events: make(map[time.Duration][]string), kinds: make(map[string]int),
	}
	s.trace = func(format string, args ...any) {
		if strings.Contains(fmt.Sprintf(format, args...), ": refused ") {
			s.refusedAt = append(s.refusedAt, s.now)
		}
	}
	s.loadStart = s.now
	s.loadActive = true
	s.load()
	return s
}

// load submits a job every jobPause, through the entries in turn.
func (s *outageSession) load() {
	if !s.loadActive {
		return
	}
	s.submit(s.e1, s.newJob("", s.tasks), func(r entry.Reply) {
		kind := string(r.Answer.Kind)
		if r.Answer.Complete() {
			kind = "complete"
		}
		s.kinds[kind]++
	})
	s.e1, s.e2 = s.e2, s.e1
	s.after(jobPause, s.load)
}

// addEvent adds an event at the current time to the table.
func (s *outageSession) addEvent(format string, args ...any) {
	s.events[s.now] = append(s.events[s.now], fmt.Sprintf(format, args...))
}

// publish publishes a change as the operators' command does: it retries while the
// log is down, and sends an accepted change to the entries.
func (s *outageSession) publish(name string, edit control.EditFunc, accepted func()) {
	s.addEvent("%s begins", name)
	p := control.NewPublisher(name, "operator", edit)
	s.runPublisher(p, func() {
		s.addEvent("%s is %s", name, p.Result().Status)
		accepted()
		offset := p.Result().Outcome.Offset
		records := slices.Clone(s.log[:offset+1])
		for _, e := range []*process{s.e1, s.e2} {
			s.deliver(e, func() { s.step(e, entry.Published{Records: records}) })
		}
	})
}

// runPublisher carries out the steps of a publisher and then calls done.
func (s *outageSession) runPublisher(p *control.Publisher, done func()) {
	switch {
	case p.Step() == control.StepDone:
		done()
		return
	case s.cond.logDown:
		s.after(operatorPause, func() { s.runPublisher(p, done) })
		return
	case p.Step() == control.StepAppend:
		s.world.publish(p.Record())
		p.Appended()
	default:
		from := p.State().Next()
		p.RecordsRead(from, s.log[from:], int64(len(s.log)))
	}
	s.runPublisher(p, done)
}

func (s *outageSession) takeOut(domains ...string) {
	for _, d := range domains {
		s.publish("out "+d, control.TakeOut(config.TakeOut{Domain: d}), func() { s.ledger.outSince[d] = s.now })
	}
}

func (s *outageSession) bringIn(domains ...string) {
	for _, d := range domains {
		delete(s.ledger.outSince, d)
		s.publish("in "+d, control.BringIn(config.TakeOut{Domain: d}), func() { s.returnedAt = s.now })
	}
}

func (s *outageSession) setLogDown(down bool) {
	s.cond.logDown = down
	s.addEvent("log down: %v", down)
}

// startsBetween counts the task starts in a failure domain at or after from and
// before to.
func (s *outageSession) startsBetween(domain string, from, to time.Duration) int {
	return countBetween(s.ledger.startTimes[domain], from, to)
}

func countBetween(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// table stops the load and returns a table of the task starts by failure domain
// and time, the events, and the numbers of answers by kind.
func (s *outageSession) table() string {
	s.loadActive = false
	end := s.now
	s.run(5 * time.Second)
	var b strings.Builder
	b.WriteString("  from s    d1    d2    d3  refused  events\n")
	for at := s.loadStart; at < end; at += rowTime {
		fmt.Fprintf(&b, "%8.1f", at.Seconds())
		for _, d := range []string{"d1", "d2", "d3"} {
			fmt.Fprintf(&b, "%6d", s.startsBetween(d, at, at+rowTime))
		}
		fmt.Fprintf(&b, "%9d", countBetween(s.refusedAt, at, at+rowTime))
		b.WriteString("  " + strings.Join(s.eventsBetween(at, at+rowTime), "; ") + "\n")
	}
	s.writeReturn(&b)
	fmt.Fprintf(&b, "answers: %v\n", s.kinds)
	return b.String()
}

// writeReturn writes rows with the task starts right after failure domains were
// brought in again.
func (s *outageSession) writeReturn(b *strings.Builder) {
	if s.returnedAt == 0 {
		return
	}
	for from := s.returnedAt; from < s.returnedAt+4*returnRowTime; from += returnRowTime {
		to := from + returnRowTime
		fmt.Fprintf(b, "%v to %v after the return: d1 %d, d2 %d, d3 %d, refused %d\n", from-s.returnedAt, to-s.returnedAt,
			s.startsBetween("d1", from, to), s.startsBetween("d2", from, to), s.startsBetween("d3", from, to),
			countBetween(s.refusedAt, from, to))
	}
}

func (s *outageSession) eventsBetween(from, to time.Duration) []string {
	var list []string
	for at, names := range s.events {
		for _, name := range names {
			if at >= from && at < to {
				list = append(list, fmt.Sprintf("%.1f %s", at.Seconds(), name))
			}
		}
	}
	slices.Sort(list)
	return list
}

// checkTakenOut checks that no task started in a failure domain later than
// takeOutBound after the change that takes it out was accepted.
func (s *outageSession) checkTakenOut(t *testing.T, domain string) {
	t.Helper()
	since, out := s.ledger.outSince[domain]
	if !out {
		t.Errorf("failure domain %s is not taken out", domain)
		return
	}
	if n := s.startsBetween(domain, since+takeOutBound, s.now+1); n > 0 {
		t.Errorf("got %d task starts in failure domain %s more than %v after it was taken out, want 0", n, domain, takeOutBound)
	}
}

var outageSessions = []struct {
	name  string
	cond  conditions
	tasks int
	run   func(t *testing.T, s *outageSession)
}{
	{"two_domains_out_and_back", steady, 3, func(t *testing.T, s *outageSession) {
		s.run(2 * time.Second)
		s.takeOut("d1", "d2")
		s.run(6 * time.Second)
		s.checkTakenOut(t, "d1")
		s.checkTakenOut(t, "d2")
		s.bringIn("d1", "d2")
		s.run(3 * time.Second)
	}},
	{"two_domains_back_to_a_backlog", steady, 6, func(t *testing.T, s *outageSession) {
		s.run(2 * time.Second)
		s.takeOut("d1", "d2")
		s.run(6 * time.Second)
		s.bringIn("d1", "d2")
		s.run(3 * time.Second)
	}},
	{"take_out_during_log_outage", steady, 3, func(t *testing.T, s *outageSession) {
		s.run(2 * time.Second)
		s.setLogDown(true)
		s.run(time.Second)
		s.takeOut("d1")
		s.run(6 * time.Second)
		if _, out := s.ledger.outSince["d1"]; out {
			t.Error("the change that takes out d1 was accepted while the log was down")
		}
		s.setLogDown(false)
		s.run(5 * time.Second)
		s.checkTakenOut(t, "d1")
	}},
	{"outage_limit", conditions{delay: steady.delay, service: steady.service, outageLimit: 5 * time.Second}, 3, func(t *testing.T, s *outageSession) {
		s.run(time.Second)
		s.setLogDown(true)
		s.run(8 * time.Second)
		s.setLogDown(false)
		s.run(3 * time.Second)
	}},
}

// TestGoldenOutage runs sessions in which failure domains are taken out and brought
// in again, or the log goes down and comes up, under load. It compares when and
// where tasks started with a golden file.
func TestGoldenOutage(t *testing.T) {
	for _, tt := range outageSessions {
		t.Run(tt.name, func(t *testing.T) {
			s := newOutageSession(tt.cond, tt.tasks)
			tt.run(t, s)
			compareGolden(t, tt.name, s.table())
		})
	}
}

// TestGapAtOwnOffset guards against processes that stay without a state. They read
// the last record of the log, but not those before it, which were dropped. Their
// next offset is then that of their peers, but they must notice the gap and fetch
// the state from a peer, also while the log is down.
func TestGapAtOwnOffset(t *testing.T) {
	c := newCluster(1, steady, 3, 2)
	cut := []*process{c.agents[0], c.e1}
	for _, p := range cut {
		p.group, p.noLog = 1, true
	}
	const changes = 3
	for i := range changes {
		out := config.TakeOut{Domain: fmt.Sprint(i)}
		c.publish(control.EncodeChange(control.Change{
			ID: fmt.Sprint(i), From: int64(len(c.log)) - 1, Author: "operator", Edits: []config.Edit{{Put: &config.Object{TakeOut: &out}}},
		}))
		c.run(time.Second)
	}
	c.cond.logDown = true
	last := int64(len(c.log)) - 1
	for _, p := range cut {
		c.step(p, step.LogRead{From: last, Records: c.log[last:], End: last + 1, Oldest: last, SentAt: c.now})
		if p.core.Synced() || p.core.Offset() != last+1 {
			t.Fatalf("%s: got next offset %d and synced %v, want the end of the log and not synced", p.ref.ID, p.core.Offset(), p.core.Synced())
		}
		p.group = 0
	}
	c.run(3 * time.Second)
	for _, p := range cut {
		if !p.core.Synced() {
			t.Errorf("%s did not fetch the state from a peer", p.ref.ID)
		}
	}
	if got := c.agents[0].agent.Status().Revision; got != last {
		t.Errorf("%s: got revision %d, want %d", c.agents[0].ref.ID, got, last)
	}
}

// TestEntryLearnsOffsetsOfAllAgents checks how soon an entry knows that every agent
// has applied a change. When the operators' command sends it a change that all
// agents have already applied, that takes one round trip. When the agents apply
// the change later, or the entry reads it from the log, it takes one round of
// queries.
func TestEntryLearnsOffsetsOfAllAgents(t *testing.T) {
	const round = 260 * time.Millisecond
	for _, tt := range []struct {
		name          string
		before, after time.Duration
		sentToEntry   bool
	}{
		{"sent to the entry after the agents read it", 2 * pollEvery, 10 * time.Millisecond, true},
		{"sent to the entry before the agents read it", 0, round, true},
		{"read from the log", 0, 2*pollEvery + round, false},
	} {
		c := newCluster(1, steady, 40, 2)
		c.setQuota()
		c.run(tt.before)
		record := int64(len(c.log)) - 1
		if tt.sentToEntry {
			c.deliver(c.e1, func() { c.step(c.e1, entry.Published{From: record, Records: c.log[record:]}) })
		}
		c.run(tt.after)
		behind := 0
		for _, a := range c.e1.entry.Status().Agents {
			if a.Offset <= record {
				behind++
			}
		}
		if behind > 0 {
			t.Errorf("%s: got %d agents not known to have applied the record after %v, want 0", tt.name, behind, tt.after)
		}
	}
}
