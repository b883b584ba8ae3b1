package sessions

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
)

const (
	// jobPause is the time between two jobs of the steady load.
	jobPause = 100 * time.Millisecond
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
	loaded  bool
	begun   time.Duration
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
	fmt.Fprintf(&b, "answers: %v\n", s.kinds)
	return b.String()
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

var outageSessions = []struct {
	name  string
	cond  conditions
	tasks int
	run   func(t *testing.T, s *outageSession)
}{
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
