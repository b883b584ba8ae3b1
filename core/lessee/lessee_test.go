package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// testBed drives a lessee with one upstream and two dispatchers.
type testBed struct {
	t           *testing.T
	core        *Core
	now         time.Duration
	completions []message.RunCompletion
	heartbeats  map[node.ID]message.Heartbeat
	starts      []StartRun
	stops       []StopRun
	polls       []Poll
	drained     bool
	seq         uint64
}

var d0, d1 = node.Ref{ID: "d0", Incarnation: 1}, node.Ref{ID: "d1", Incarnation: 1}

func newTestBed(t *testing.T) *testBed {
	return &testBed{t: t, core: New(Config{Token: 100}), now: time.Second, heartbeats: map[node.ID]message.Heartbeat{}}
}

// step passes an event to the core. A poll result without a token answers the last poll.
func (b *testBed) step(event step.Event) {
	if p, ok := event.(PollCompleted); ok && p.Token == 0 && len(b.polls) > 0 {
		p.Token = b.polls[len(b.polls)-1].Token
		event = p
	}
	for _, action := range b.core.Step(clock.Now{Mono: b.now}, event) {
		switch a := action.(type) {
		case step.Send:
			if a.Message.RunCompletion != nil {
				b.completions = append(b.completions, *a.Message.RunCompletion)
			}
			if a.Message.Heartbeat != nil {
				b.heartbeats[a.To.ID] = *a.Message.Heartbeat
			}
		case StartRun:
			b.starts = append(b.starts, a)
		case StopRun:
			b.stops = append(b.stops, a)
		case Poll:
			b.polls = append(b.polls, a)
		case step.Drained:
			b.drained = true
		}
	}
}

func (b *testBed) announce(incarnation, seq int64, draining bool) {
	b.step(Announced{Announcement: Announcement{
		ID: "u", Incarnation: incarnation, Seq: seq, Clock: b.now, Service: "s", Domain: "z0",
		Capacity: message.Resources{MilliCPU: 2000}, Draining: draining,
	}})
}

// heartbeat delivers a heartbeat that proves that a dispatcher is alive.
func (b *testBed) heartbeat(d node.Ref) {
	b.step(received(d, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now}}))
}

func received(from node.Ref, m message.Message) step.Received {
	return step.Received{Envelope: message.Envelope{From: from, Messages: []message.Message{m}}}
}

func (b *testBed) offer(d node.Ref, job string) message.Offer {
	b.seq++
	o := message.Offer{
		Seq: b.seq, Task: message.TaskName{Job: job}, RunNumber: 1, Service: "s",
		Demand: message.Resources{MilliCPU: 1000}, EchoedTimestamp: b.now,
	}
	b.step(received(d, message.Message{Offer: &o}))
	return o
}

// startRun offers a task and lets the upstream start it.
func (b *testBed) startRun(d node.Ref, job string) StartRun {
	b.offer(d, job)
	s := b.starts[len(b.starts)-1]
	b.step(StartCallCompleted{Handle: s.Handle, Result: CallOK, Clock: b.now})
	return s
}

func (b *testBed) lastCompletion() message.RunCompletion {
	if len(b.completions) == 0 {
		return message.RunCompletion{}
	}
	return b.completions[len(b.completions)-1]
}

func TestCompletionsAreReportedAndAcknowledged(t *testing.T) {
	b := newTestBed(t)
	b.open()
	s := b.startRun(d0, "j")
	b.now += 100 * time.Millisecond
	listed := []CompletedRun{{Number: 7, Name: s.Name, RunNumber: s.RunNumber, Completion: CompletionDone}}
	b.step(PollCompleted{SentAt: b.now - 50*time.Millisecond, Incarnation: 1, Clock: b.now, Completed: listed})
	if e := b.lastCompletion(); e.Result != message.RunDone || e.Capacity == nil || e.Capacity.Used.MilliCPU != 0 {
		t.Errorf("got %+v, want result done and no capacity in use", e)
	}
	if last := b.polls[len(b.polls)-1]; last.AcknowledgedUpTo != 7 {
		t.Errorf("the next poll acknowledges up to %d, want 7", last.AcknowledgedUpTo)
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: listed}) // A repeated list has no effect.
	if len(b.completions) != 1 {
		t.Errorf("got %d reports, want 1", len(b.completions))
	}
}

func TestOffersAreRefused(t *testing.T) {
	tests := []struct {
		name  string
		setup func(b *testBed)
		want  message.RefuseReason
	}{
		{"domain out", func(b *testBed) { b.step(SiteChanged{State: &site.State{Revision: 9, DomainsOut: []string{"z0"}}}) }, message.RefusedDomainOut},
		{"draining upstream", func(b *testBed) { b.announce(1, 2, true) }, message.RefusedNotReady},
		{"leaving agent", func(b *testBed) { b.startRun(d0, "x"); b.step(step.Drain{}) }, message.RefusedDraining},
		{"no capacity", func(b *testBed) { b.startRun(d0, "x"); b.startRun(d0, "y") }, message.RefusedNoCapacity},
		{"upstream gone", func(b *testBed) { b.step(Withdrawn{ID: "u"}) }, message.RefusedNotReady},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t)
			b.open()
			tt.setup(b)
			before := len(b.starts)
			b.offer(d0, "j")
			if e := b.lastCompletion(); e.Result != message.RunRefused || e.Reason != tt.want || len(b.starts) != before {
				t.Errorf("got %+v, want a refusal for %s and no start", e, tt.want)
			}
		})
	}
}

func TestDelayedOfferStartsNothing(t *testing.T) {
	b := newTestBed(t)
	b.open()
	timestamp := b.now
	b.now += lease.MaxOfferDelay + 10*time.Millisecond
	b.step(received(d0, message.Message{Offer: &message.Offer{Seq: 1, Task: message.TaskName{Job: "j"}, RunNumber: 1, Service: "s", EchoedTimestamp: timestamp}}))
	if e := b.lastCompletion(); e.Reason != message.RefusedStale || len(b.starts) != 0 {
		t.Errorf("got %+v, want a refusal as stale and no start", e)
	}
}

func TestRepeatedOfferStartsOnce(t *testing.T) {
	b := newTestBed(t)
	b.open()
	o := b.offer(d0, "j")
	b.step(received(d0, message.Message{Offer: &o}))
	if len(b.starts) != 1 {
		t.Errorf("got %d starts, want 1", len(b.starts))
	}
}

// TestUnresponsiveDispatcher checks that the runs of a dispatcher which has not proved for
// the time of a lease that it is alive are stopped, and no others.
func TestUnresponsiveDispatcher(t *testing.T) {
	b := newTestBed(t)
	b.open()
	lost := b.startRun(d0, "lost")
	b.startRun(d1, "kept")
	for range 13 {
		b.now += 50 * time.Millisecond
		b.heartbeat(d1)
		b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{
			{Name: message.TaskName{Job: "lost"}, RunNumber: 1}, {Name: message.TaskName{Job: "kept"}, RunNumber: 1},
		}})
	}
	if len(b.stops) == 0 || b.stops[0].Name != lost.Name {
		t.Fatalf("got stops %+v, want a stop of the run of the unresponsive dispatcher first", b.stops)
	}
	for _, s := range b.stops {
		if s.Name != lost.Name {
			t.Errorf("run %s of a live dispatcher was stopped", s.Name)
		}
	}
}

func TestUnknownRunIsStopped(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "j")
	unknown := message.TaskName{Job: "unknown"}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: unknown, RunNumber: 3}, {Name: message.TaskName{Job: "j"}, RunNumber: 1}}})
	if len(b.stops) != 1 || b.stops[0].Name != unknown || b.stops[0].RunNumber != 3 {
		t.Errorf("got stops %+v, want one of the unknown run", b.stops)
	}
}

// TestOutdatedListStopsNothing guards against treating a completed run as unknown: a poll
// that was sent before its completion was processed still lists the run as active.
func TestOutdatedListStopsNothing(t *testing.T) {
	b := newTestBed(t)
	b.open()
	s := b.startRun(d0, "j")
	b.now += 10 * time.Millisecond
	outdated := b.now
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}}})
	b.step(PollCompleted{SentAt: outdated, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: s.Name, RunNumber: 1}}})
	if len(b.stops) != 0 {
		t.Errorf("got stops %+v, want none", b.stops)
	}
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: s.Name, RunNumber: 1}}})
	if len(b.stops) != 1 {
		t.Errorf("a run that was listed after its completion: got stops %+v, want one", b.stops)
	}
}

// TestLeftovers checks that runs which an earlier incarnation of the agent has left are
// stopped, and their lease is not extended, before the agent is ready for new runs.
func TestLeftovers(t *testing.T) {
	b := newTestBed(t)
	b.announce(1, 1, false)
	left := message.TaskName{Job: "left"}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: left, RunNumber: 1}}})
	if b.core.Ready() || len(b.stops) != 1 {
		t.Fatalf("ready %v with a leftover run, want false; stops %+v, want one", b.core.Ready(), b.stops)
	}
	b.now += probeInterval
	b.step(step.Tick{})
	for _, p := range b.polls {
		if p.LeaseUntil != 0 {
			t.Errorf("a poll extends the lease of a leftover run: %+v", p)
		}
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now})
	if !b.core.Ready() {
		t.Error("not ready after all leftover runs have completed")
	}
}

func TestNewIncarnation(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "j")
	b.announce(2, 1, false)
	if len(b.completions) != 0 {
		t.Errorf("before the new incarnation is known to run nothing: got completions %+v, want none", b.completions)
	}
	b.announce(1, 99, false) // A late announcement of the previous incarnation.
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second})
	if e := b.lastCompletion(); e.Result != message.RunLost {
		t.Errorf("the run of the previous incarnation: got %+v, want result lost", e)
	}
	if !b.core.Ready() {
		t.Error("not ready after a poll that found no runs in the new incarnation")
	}
	b.offer(d0, "k")
	if s := b.starts[len(b.starts)-1]; s.Token <= b.starts[0].Token {
		t.Errorf("token %d after %d: the upstream would execute late calls sent to the previous incarnation", s.Token, b.starts[0].Token)
	}
}

func TestUnansweredStartIsRepeated(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.offer(d0, "j")
	first := b.starts[0]
	b.step(StartCallCompleted{Handle: first.Handle, Result: CallUnknown})
	if len(b.starts) != 2 || b.starts[1].RunNumber != first.RunNumber {
		t.Fatalf("got starts %+v, want two with the same run number", b.starts)
	}
	// The second call is refused, but the upstream may still execute the first.
	b.step(StartCallCompleted{Handle: first.Handle, Result: CallNoCapacity})
	if len(b.completions) != 0 || len(b.stops) != 1 {
		t.Errorf("got completions %+v, want none; stops %+v, want one", b.completions, b.stops)
	}
}

// TestNoRepeatedStartAfterPause guards against two runs of one task: after a pause, an agent
// must not repeat the start call of a dispatcher whose lease has lapsed during the pause,
// since the task may run elsewhere by then.
func TestNoRepeatedStartAfterPause(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.offer(d0, "j")
	b.now += 2 * time.Second
	b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallUnknown})
	if len(b.starts) != 1 || len(b.stops) == 0 {
		t.Errorf("got %d starts, want 1; stops %+v, want at least one", len(b.starts), b.stops)
	}
}

func TestResubmittedTaskIsAdopted(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "j")
	again := b.offer(d1, "j")
	if e := b.lastCompletion(); e.Reason != message.RefusedTakenOver || len(b.starts) != 1 {
		t.Fatalf("report to the previous dispatcher: got %+v, want taken over; got %d starts, want 1", e, len(b.starts))
	}
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: message.TaskName{Job: "j"}, RunNumber: 1, Completion: CompletionDone}}})
	if e := b.lastCompletion(); e.Seq != again.Seq || e.Result != message.RunDone {
		t.Errorf("report to the new dispatcher: got %+v, want result done of its own offer", e)
	}
}

// TestFreedCapacityIsReportedAtOnce checks that, under overload, capacity which the run of
// one dispatcher has freed is reported to another with waiting tasks at once, before the
// next periodic heartbeat.
func TestFreedCapacityIsReportedAtOnce(t *testing.T) {
	b := newTestBed(t)
	b.open()
	s := b.startRun(d0, "j")
	b.now += 20 * time.Millisecond
	b.step(received(d1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, FirstWaiting: &message.WaitingTask{}}}))
	delete(b.heartbeats, "d1")
	b.now += 15 * time.Millisecond
	b.step(PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}}})
	if hb, ok := b.heartbeats["d1"]; !ok || hb.Capacity == nil || hb.Capacity.Used.MilliCPU != 0 {
		t.Errorf("heartbeat to the waiting dispatcher: got %+v, want no capacity in use", hb)
	}
}

func TestDrainWaitsForRuns(t *testing.T) {
	b := newTestBed(t)
	b.open()
	s := b.startRun(d0, "j")
	b.step(step.Drain{})
	if b.drained {
		t.Fatal("drained while a run is active")
	}
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}}})
	b.step(PollCompleted{SentAt: b.now, AcknowledgedUpTo: 1, Incarnation: 1, Clock: b.now})
	if !b.drained {
		t.Error("not drained after the completion was acknowledged")
	}
}

// TestSlowRunsAreStopped checks that runs with no progress, or far too little, are stopped
// and given back to their dispatcher, while runs that are only slower than estimated go on.
func TestSlowRunsAreStopped(t *testing.T) {
	tests := []struct {
		name    string
		percent []int // at 160 ms and every 160 ms after that
		stopped bool
	}{
		{"as expected", []int{50, 99}, false},
		{"twice as long", []int{25, 50, 75}, false},
		{"no progress from the start", []int{0}, true},
		{"no progress after a while", []int{20, 20, 20}, true},
		{"takes eight times as long", []int{6}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t)
			b.open()
			o := message.Offer{
				Seq: 1, Task: message.TaskName{Job: "j"}, RunNumber: 1, Service: "s", EchoedTimestamp: b.now,
				Demand: message.Resources{MilliCPU: 1000}, ExpectedDuration: 320 * time.Millisecond,
			}
			b.step(received(d0, message.Message{Offer: &o}))
			b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallOK, Clock: b.now})
			for _, percent := range tt.percent {
				b.now += 160 * time.Millisecond
				b.heartbeat(d0)
				b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: o.Task, RunNumber: 1, Percent: percent}}})
			}
			if got := len(b.stops) > 0; got != tt.stopped {
				t.Fatalf("stopped: %v, want %v", got, tt.stopped)
			}
			if !tt.stopped {
				return
			}
			b.step(PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: o.Task, RunNumber: 1, Completion: CompletionStopped}}})
			if e := b.lastCompletion(); e.Reason != message.RefusedTooSlow {
				t.Errorf("got %+v, want reason too_slow", e)
			}
		})
	}
}
