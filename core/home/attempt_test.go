package home

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/quarantine"
)

var (
	testSelf  = node.Ref{ID: "a1", Incarnation: 1}
	testEntry = node.Ref{ID: "e1", Incarnation: 1}
)

// testSite implements Eligibility and Ownership for a site with one executor, which
// may run either every task or none.
type testSite struct {
	matches bool
	version uint64
	// leftAt is when a matching upstream left, or zero.
	leftAt time.Duration
}

func (s *testSite) Version() uint64                             { return s.version }
func (s *testSite) InService(node.Ref) bool                     { return true }
func (s *testSite) Eligible(node.Ref, *job.Job, *job.Task) bool { return s.matches }
func (s *testSite) LastEligible(*job.Job, *job.Task) (time.Duration, bool) {
	return s.leftAt, s.leftAt > 0
}
func (s *testSite) Admit(clock.Now, job.ID, int64) (a Admission) { return a }

// setMatches sets whether the executor may run tasks.
func (s *testSite) setMatches(matches bool) {
	s.matches = matches
	s.version++
}

// testHome is a home with a clock and the output of its calls.
type testHome struct {
	*Core
	site *testSite
	now  clock.Now
	out  Output
	seq  uint64
}

func newTestHome(t *testing.T) *testHome {
	t.Helper()
	picker, err := placement.New(placement.Default, 1)
	if err != nil {
		t.Fatal(err)
	}
	site := &testSite{version: 1}
	h := &testHome{site: site, now: clock.Now{Mono: time.Hour, Wall: 1_790_000_000_000}}
	h.Core = New(Config{
		Self: testSelf, AdmissionWindow: time.Minute, ClockBound: time.Second, MaxRecords: testMaxRecords,
		MaxResultBytes: 1 << 20, MaxOpenBytes: testOpenBytes, MaxWaiting: job.MaxTasks, Picker: picker, Ownership: site,
		Eligibility: site, Faults: quarantine.New(), Invariants: &invariant.Recorder{Panic: true},
	})
	h.SetExecutors([]Executor{{Ref: testSelf}})
	h.ObserveLoad(h.now, testSelf, message.Load{Slots: 8})
	return h
}

// submit sends one attempt of a job. It returns the answer, or nil if there is none
// at once, and the number of tasks sent to the executor.
func (h *testHome) submit(id job.ID, attempt int, created int64) (*job.Answer, int) {
	h.out = Output{}
	j := job.Job{
		ID: id, Attempt: attempt, Team: "records", Created: created, Timeout: 20 * time.Second,
		Class: job.Urgent, Tasks: []job.Task{{Payload: []byte("p")}},
	}
	h.Submit(h.now, testEntry, &message.Submit{Request: 1, SentAt: h.now.Wall, Job: j}, &h.out)
	return h.answerAndStarts()
}

// answerAndStarts returns the last answer and the number of Starts in the output.
func (h *testHome) answerAndStarts() (answer *job.Answer, starts int) {
	for _, r := range h.out.Replies {
		if r.Message.Answer != nil {
			answer = &r.Message.Answer.Answer
		}
		if r.Message.Start != nil {
			starts++
		}
	}
	return answer, starts
}

// TestAttempts guards against a second start of a job when duplicates of a submission
// arrive late and in any order. The first attempt of a job is refused. The test then
// submits copies of it and of the next attempt, which may start only once.
func TestAttempts(t *testing.T) {
	h := newTestHome(t)
	created := h.now.Wall
	id := job.Minted{Home: testSelf, Created: created, Minter: 1, Seq: 1}.ID()
	if a, starts := h.submit(id, 0, created); a != nil || starts != 0 {
		t.Fatalf("a job without a matching upstream: got answer %v and %d starts, want neither", a, starts)
	}
	for range 100 {
		h.out = Output{}
		h.now = h.now.After(time.Second / 4)
		h.Tick(h.now, &h.out)
		if a, _ := h.answerAndStarts(); a != nil {
			if a.Kind != errkind.NoUpstreamMatches {
				t.Fatalf("job refused with kind %s, want no_upstream_matches", a.Kind)
			}
			break
		}
	}
	h.site.setMatches(true)
	steps := []struct {
		name    string
		attempt int
		kind    errkind.Kind
		answers bool
		starts  int
	}{
		{"copy of the refused attempt", 0, errkind.NoUpstreamMatches, true, 0},
		{"attempt after the next", 2, errkind.NoUpstreamMatches, true, 0},
		{"next attempt", 1, errkind.None, false, 1},
		{"copy of the next attempt", 1, errkind.None, false, 0},
		{"late copy of the refused attempt", 0, errkind.NotRun, true, 0},
	}
	for _, s := range steps {
		a, starts := h.submit(id, s.attempt, created)
		if starts != s.starts {
			t.Errorf("%s: got %d starts, want %d", s.name, starts, s.starts)
		}
		if (a != nil) != s.answers || a != nil && a.Kind != s.kind {
			t.Errorf("%s: got answer %+v, want kind %q (empty: no answer)", s.name, a, s.kind)
		}
	}
}

// TestRecordsOutliveAdmission guards against a second start of a job whose record
// was evicted, for its age or for the number of records: a resubmission must not
// be admitted as a new job.
func TestRecordsOutliveAdmission(t *testing.T) {
	tests := []struct {
		name   string
		expire func(h *testHome)
	}{
		{"window", func(h *testHome) {
			h.now = h.now.After(2 * time.Minute)
			h.Tick(h.now, &h.out)
		}},
		{"number of records", func(h *testHome) {
			for i := range 200 {
				h.now = h.now.After(time.Millisecond)
				other := job.Minted{Home: testSelf, Created: h.now.Wall, Minter: 2, Seq: uint64(i)}.ID()
				h.submit(other, 0, h.now.Wall)
				h.completeAll()
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newTestHome(t)
			h.site.setMatches(true)
			created := h.now.Wall
			id := job.Minted{Home: testSelf, Created: created, Minter: 1, Seq: 1}.ID()
			if _, starts := h.submit(id, 0, created); starts != 1 {
				t.Fatalf("first submission: got %d starts, want 1", starts)
			}
			h.completeAll()
			tt.expire(h)
			a, starts := h.submit(id, 0, created)
			if starts != 0 || a == nil || a.Kind != errkind.OutcomeUnknown {
				t.Errorf("resubmission: got answer %+v and %d starts, want kind outcome_unknown and 0 starts", a, starts)
			}
		})
	}
}

// completeAll reports success for every task that was sent, then a load report with
// free slots.
func (h *testHome) completeAll() {
	replies := h.out.Replies
	h.out = Output{}
	for _, r := range replies {
		if s := r.Message.Start; s != nil {
			h.Result(h.now, testSelf, &message.Result{Seq: s.Seq, ID: s.ID, Index: s.Index, State: job.Done}, &h.out)
		}
	}
	h.ObserveLoad(h.now, testSelf, message.Load{Slots: 8})
}

// TestOtherIncarnation guards against a second start of a job that another
// incarnation of this home may have started: a minted ID that names the other
// incarnation starts no task.
func TestOtherIncarnation(t *testing.T) {
	h := newTestHome(t)
	h.site.setMatches(true)
	other := node.Ref{ID: testSelf.ID, Incarnation: testSelf.Incarnation + 1}
	id := job.Minted{Home: other, Created: h.now.Wall, Minter: 1, Seq: 1}.ID()
	a, starts := h.submit(id, 0, h.now.Wall)
	if starts != 0 || a == nil || a.Kind != errkind.OutcomeUnknown {
		t.Errorf("got answer %+v and %d starts, want kind outcome_unknown and 0 starts", a, starts)
	}
}

// TestAnswerLimit guards against an answer that is too large to be transferred and
// gets lost: a job whose results together exceed MaxAnswerBytes fails instead.
func TestAnswerLimit(t *testing.T) {
	h := newTestHome(t)
	h.site.setMatches(true)
	h.ObserveLoad(h.now, testSelf, message.Load{Slots: job.MaxTasks})
	tasks := job.MaxAnswerBytes/job.MaxPayloadBytes + 1
	j := job.Job{
		ID:   job.Minted{Home: testSelf, Created: h.now.Wall, Minter: 1, Seq: 1}.ID(),
		Team: "records", Created: h.now.Wall, Timeout: time.Minute, Tasks: make([]job.Task, tasks),
	}
	h.out = Output{}
	h.Submit(h.now, testEntry, &message.Submit{Request: 1, SentAt: h.now.Wall, Job: j}, &h.out)
	replies := h.out.Replies
	h.out = Output{}
	for _, r := range replies {
		if s := r.Message.Start; s != nil {
			h.Result(h.now, testSelf, &message.Result{
				Seq: s.Seq, ID: s.ID, Index: s.Index, State: job.Done, Body: make([]byte, job.MaxPayloadBytes),
			}, &h.out)
		}
	}
	a, _ := h.answerAndStarts()
	if a == nil || a.Kind != errkind.UpstreamFailed || len(a.Results) != 0 {
		t.Errorf("got answer %+v, want kind upstream_failed without results", a)
	}
}

// TestNoMatchIsAnsweredEarly checks that a job without a matching upstream is
// refused long before its deadline and with a retry delay, so that its caller has
// time to submit it again.
func TestNoMatchIsAnsweredEarly(t *testing.T) {
	for _, timeout := range []time.Duration{time.Second, 4 * time.Second, time.Minute} {
		h := newTestHome(t)
		j := job.Job{
			ID:   job.Minted{Home: testSelf, Created: h.now.Wall, Minter: 1, Seq: 1}.ID(),
			Team: "records", Created: h.now.Wall, Timeout: timeout, Tasks: make([]job.Task, 1),
		}
		h.Submit(h.now, testEntry, &message.Submit{Request: 1, SentAt: h.now.Wall, Job: j}, &h.out)
		at, due := h.NextTick()
		if !due || at-h.now.Mono > min(2*time.Second, timeout/4) {
			t.Fatalf("timeout %v: got the next placement in %v, want within 2 s and a quarter of the timeout", timeout, at-h.now.Mono)
		}
		h.out = Output{}
		h.now = h.now.After(at - h.now.Mono)
		h.Tick(h.now, &h.out)
		if a, _ := h.answerAndStarts(); a == nil || a.Kind != errkind.NoUpstreamMatches || a.RetryAfter == 0 {
			t.Errorf("timeout %v: got answer %+v, want kind no_upstream_matches with a retry delay", timeout, a)
		}
	}
}
