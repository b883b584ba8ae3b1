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
	// statedBound is the time in which a take-out is in force after its
	// acceptance; see "Domain out within 3 s" in docs/design/freshness.md.
	statedBound = 3 * time.Second
	// operatorPause is the time between two tries of an operator's command.
	operatorPause = 200 * time.Millisecond
	// jobPause is the time between two jobs of the steady load.
	jobPause = 100 * time.Millisecond
	// firstMoment is the time after a return in which starts are counted apart.
	firstMoment = 50 * time.Millisecond
	// rowTime is the time that a row of a table of starts covers.
	rowTime = 500 * time.Millisecond
)

// outageSession is a cluster under a steady load whose starts are counted by
// failure domain and time.
type outageSession struct {
	*cluster
	tasks  int
	events map[time.Duration][]string
	kinds  map[string]int
	// refused holds when an executor refused a task.
	refused []time.Duration
	// returned is when the failure domains came back, or zero.
	returned time.Duration
	loaded   bool
	begun    time.Duration
}

func newOutageSession(cond conditions, tasks int) *outageSession {
	s := &outageSession{
		cluster: newCluster(1, cond, 6, 2), tasks: tasks,
		events: make(map[time.Duration][]string), kinds: make(map[string]int),
	}
	s.trace = func(format string, args ...any) {
		if strings.Contains(fmt.Sprintf(format, args...), ": refused ") {
			s.refused = append(s.refused, s.now)
		}
	}
	s.begun = s.now
	s.loaded = true
	s.load()
	return s
}

// load submits a job again and again, through the entries in turn.
func (s *outageSession) load() {
	if !s.loaded {
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
	s.at(jobPause, s.load)
}

// event notes what happens now for the table.
func (s *outageSession) event(format string, args ...any) {
	s.events[s.now] = append(s.events[s.now], fmt.Sprintf(format, args...))
}

// publish makes a change as the operators' command does: it tries while the log
// is down, and hands an accepted change to the entries.
func (s *outageSession) publish(name string, edit control.EditFunc, accepted func()) {
	s.event("%s begins", name)
	p := control.NewPublisher(name, "operator", edit)
	s.carryOut(p, func() {
		s.event("%s is %s", name, p.Result().Status)
		accepted()
		offset := p.Result().Outcome.Offset
		records := slices.Clone(s.log[:offset+1])
		for _, e := range []*process{s.e1, s.e2} {
			s.deliver(e, func() { s.step(e, entry.Published{Records: records}) })
		}
	})
}

// carryOut does the steps of a publisher until it is done.
func (s *outageSession) carryOut(p *control.Publisher, done func()) {
	switch {
	case p.Step() == control.StepDone:
		done()
		return
	case s.cond.logDown:
		s.at(operatorPause, func() { s.carryOut(p, done) })
		return
	case p.Step() == control.StepAppend:
		s.world.publish(p.Record())
		p.Appended()
	default:
		from := p.State().Next()
		p.Read(from, s.log[from:], int64(len(s.log)))
	}
	s.carryOut(p, done)
}

func (s *outageSession) domainOut(domains ...string) {
	for _, d := range domains {
		s.publish("out "+d, control.TakeOut(config.Out{Domain: d}), func() { s.ledger.outSince[d] = s.now })
	}
}

func (s *outageSession) domainIn(domains ...string) {
	for _, d := range domains {
		delete(s.ledger.outSince, d)
		s.publish("in "+d, control.BringIn(config.Out{Domain: d}), func() { s.returned = s.now })
	}
}

func (s *outageSession) logDown(down bool) {
	s.cond.logDown = down
	s.event("log down: %v", down)
}

// startsBetween counts the starts in a domain from from up to to.
func (s *outageSession) startsBetween(domain string, from, to time.Duration) int {
	return countBetween(s.ledger.times[domain], from, to)
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

// table ends the load and returns the starts by domain and time, the events
// and the answers.
func (s *outageSession) table() string {
	s.loaded = false
	end := s.now
	s.run(5 * time.Second)
	var b strings.Builder
	b.WriteString("  from s    d1    d2    d3  refused  events\n")
	for at := s.begun; at < end; at += rowTime {
		fmt.Fprintf(&b, "%8.1f", at.Seconds())
		for _, d := range []string{"d1", "d2", "d3"} {
			fmt.Fprintf(&b, "%6d", s.startsBetween(d, at, at+rowTime))
		}
		fmt.Fprintf(&b, "%9d", countBetween(s.refused, at, at+rowTime))
		b.WriteString("  " + strings.Join(s.eventsBetween(at, at+rowTime), "; ") + "\n")
	}
	s.writeReturn(&b)
	fmt.Fprintf(&b, "answers: %v\n", s.kinds)
	return b.String()
}

// writeReturn writes what started in the first moments after a return.
func (s *outageSession) writeReturn(b *strings.Builder) {
	if s.returned == 0 {
		return
	}
	for from := s.returned; from < s.returned+4*firstMoment; from += firstMoment {
		to := from + firstMoment
		fmt.Fprintf(b, "%v to %v after the return: d1 %d, d2 %d, d3 %d, refused %d\n", from-s.returned, to-s.returned,
			s.startsBetween("d1", from, to), s.startsBetween("d2", from, to), s.startsBetween("d3", from, to),
			countBetween(s.refused, from, to))
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

// checkOut verifies that no task started in a domain from statedBound after its
// take-out was accepted until now.
func (s *outageSession) checkOut(t *testing.T, domain string) {
	t.Helper()
	since, out := s.ledger.outSince[domain]
	if !out {
		t.Errorf("%s is not out", domain)
		return
	}
	if n := s.startsBetween(domain, since+statedBound, s.now+1); n > 0 {
		t.Errorf("%d tasks started in %s more than %v after it was taken out", n, domain, statedBound)
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
		s.domainOut("d1", "d2")
		s.run(6 * time.Second)
		s.checkOut(t, "d1")
		s.checkOut(t, "d2")
		s.domainIn("d1", "d2")
		s.run(3 * time.Second)
	}},
	{"two_domains_back_to_a_backlog", steady, 6, func(t *testing.T, s *outageSession) {
		s.run(2 * time.Second)
		s.domainOut("d1", "d2")
		s.run(6 * time.Second)
		s.domainIn("d1", "d2")
		s.run(3 * time.Second)
	}},
	{"take_out_during_log_outage", steady, 3, func(t *testing.T, s *outageSession) {
		s.run(2 * time.Second)
		s.logDown(true)
		s.run(time.Second)
		s.domainOut("d1")
		s.run(6 * time.Second)
		if _, out := s.ledger.outSince["d1"]; out {
			t.Error("the take-out was accepted while the log was down")
		}
		s.logDown(false)
		s.run(5 * time.Second)
		s.checkOut(t, "d1")
	}},
	{"outage_limit", conditions{delay: steady.delay, service: steady.service, outageLimit: 5 * time.Second}, 3, func(t *testing.T, s *outageSession) {
		s.run(time.Second)
		s.logDown(true)
		s.run(8 * time.Second)
		s.logDown(false)
		s.run(3 * time.Second)
	}},
}

// TestGoldenOutage replays sessions of failure domains and the log that go and
// come back under load, and compares when and where tasks started.
func TestGoldenOutage(t *testing.T) {
	for _, tt := range outageSessions {
		t.Run(tt.name, func(t *testing.T) {
			s := newOutageSession(tt.cond, tt.tasks)
			tt.run(t, s)
			compareGolden(t, tt.name, s.table())
		})
	}
}

// TestGapAtOwnOffset checks that processes which read the last record of the
// log, but no longer those before it, get the state from their peers while the
// log is down.
func TestGapAtOwnOffset(t *testing.T) {
	c := newCluster(1, steady, 3, 2)
	cut := []*process{c.agents[0], c.e1}
	for _, p := range cut {
		p.group, p.noLog = 1, true
	}
	const changes = 3
	for i := range changes {
		out := config.Out{Domain: fmt.Sprint(i)}
		c.publish(control.EncodeChange(control.Change{
			ID: fmt.Sprint(i), From: int64(len(c.log)) - 1, Author: "operator", Edits: []config.Edit{{Put: &config.Object{Out: &out}}},
		}))
		c.run(time.Second)
	}
	c.cond.logDown = true
	last := int64(len(c.log)) - 1
	for _, p := range cut {
		c.step(p, step.LogRead{From: last, Records: c.log[last:], End: last + 1, Oldest: last, AskedAt: c.now})
		if p.core.Synced() || p.core.Offset() != last+1 {
			t.Fatalf("%s is at %d, synced %v", p.ref.ID, p.core.Offset(), p.core.Synced())
		}
		p.group = 0
	}
	c.run(3 * time.Second)
	for _, p := range cut {
		if !p.core.Synced() {
			t.Errorf("%s did not get the state from a peer", p.ref.ID)
		}
	}
	if got := c.agents[0].agent.Status().Revision; got != last {
		t.Errorf("%s is at revision %d, want %d", c.agents[0].ref.ID, got, last)
	}
}

// TestEntryLearnsHowFarAllAre checks that an entry soon knows that every agent has
// applied a change: after a round trip when it is handed one that all have read
// before, and else after a round of queries, handed over or read.
func TestEntryLearnsHowFarAllAre(t *testing.T) {
	const round = 260 * time.Millisecond
	for _, tt := range []struct {
		name          string
		before, after time.Duration
		handedOver    bool
	}{
		{"handed over after it was read", 2 * pollEvery, 10 * time.Millisecond, true},
		{"handed over first", 0, round, true},
		{"read from the log", 0, 2*pollEvery + round, false},
	} {
		c := newCluster(1, steady, 40, 2)
		c.setQuota()
		c.run(tt.before)
		record := int64(len(c.log)) - 1
		if tt.handedOver {
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
			t.Errorf("%s: %d agents are not known to have the record after %v", tt.name, behind, tt.after)
		}
	}
}
