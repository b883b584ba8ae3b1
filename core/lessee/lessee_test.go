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

// bench drives a lessee with one upstream and two dispatchers.
type bench struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	ends    []message.RunCompletion
	beats   map[node.ID]message.Heartbeat
	starts  []StartRun
	stops   []StopRun
	looks   []Poll
	drained bool
	seq     uint64
}

var d0, d1 = node.Ref{ID: "d0", Incarnation: 1}, node.Ref{ID: "d1", Incarnation: 1}

func newBench(t *testing.T) *bench {
	return &bench{t: t, core: New(Config{Token: 100}), now: time.Second, beats: map[node.ID]message.Heartbeat{}}
}

// step hands in an event. A look without a token answers the last one that was sent.
func (b *bench) step(event step.Event) {
	if l, ok := event.(PollCompleted); ok && l.Token == 0 && len(b.looks) > 0 {
		l.Token = b.looks[len(b.looks)-1].Token
		event = l
	}
	for _, action := range b.core.Step(clock.Now{Mono: b.now}, event) {
		switch a := action.(type) {
		case step.Send:
			if a.Message.RunCompletion != nil {
				b.ends = append(b.ends, *a.Message.RunCompletion)
			}
			if a.Message.Heartbeat != nil {
				b.beats[a.To.ID] = *a.Message.Heartbeat
			}
		case StartRun:
			b.starts = append(b.starts, a)
		case StopRun:
			b.stops = append(b.stops, a)
		case Poll:
			b.looks = append(b.looks, a)
		case step.Drained:
			b.drained = true
		}
	}
}

func (b *bench) announce(born, seq int64, draining bool) {
	b.step(Announced{Announcement: Announcement{
		ID: "u", Incarnation: born, Seq: seq, Clock: b.now, Service: "s", Domain: "z0",
		Capacity: message.Resources{MilliCPU: 2000}, Draining: draining,
	}})
}

// open announces the upstream and lets the first look find nothing.
func (b *bench) open() {
	b.announce(1, 1, false)
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now})
	if !b.core.Ready() {
		b.t.Fatal("not ready after a look that found nothing")
	}
	b.alive(d0)
	b.alive(d1)
}

// alive lets a dispatcher prove that it runs.
func (b *bench) alive(d node.Ref) {
	b.step(received(d, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now}}))
}

func received(from node.Ref, m message.Message) step.Received {
	return step.Received{Envelope: message.Envelope{From: from, Messages: []message.Message{m}}}
}

func (b *bench) offer(d node.Ref, job string) message.Offer {
	b.seq++
	o := message.Offer{
		Seq: b.seq, Task: message.TaskName{Job: job}, RunNumber: 1, Service: "s",
		Demand: message.Resources{MilliCPU: 1000}, EchoedTimestamp: b.now,
	}
	b.step(received(d, message.Message{Offer: &o}))
	return o
}

// started offers a task and lets the upstream start it.
func (b *bench) started(d node.Ref, job string) StartRun {
	b.offer(d, job)
	s := b.starts[len(b.starts)-1]
	b.step(StartCallCompleted{Handle: s.Handle, Result: CallOK, Clock: b.now})
	return s
}

func (b *bench) lastEnd() message.RunCompletion {
	if len(b.ends) == 0 {
		return message.RunCompletion{}
	}
	return b.ends[len(b.ends)-1]
}

func TestRunEndsAreReportedAndAcknowledged(t *testing.T) {
	b := newBench(t)
	b.open()
	s := b.started(d0, "j")
	b.now += 100 * time.Millisecond
	ended := []CompletedRun{{Number: 7, Name: s.Name, RunNumber: s.RunNumber, Completion: CompletionDone}}
	b.step(PollCompleted{SentAt: b.now - 50*time.Millisecond, Incarnation: 1, Clock: b.now, Completed: ended})
	if e := b.lastEnd(); e.Result != message.RunDone || e.Capacity == nil || e.Capacity.Used.MilliCPU != 0 {
		t.Errorf("report: %+v", e)
	}
	if last := b.looks[len(b.looks)-1]; last.AcknowledgedUpTo != 7 {
		t.Errorf("the next look acknowledges up to %d", last.AcknowledgedUpTo)
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: ended}) // Overtaken: without effect.
	if len(b.ends) != 1 {
		t.Errorf("%d reports", len(b.ends))
	}
}

func TestOffersAreRefused(t *testing.T) {
	tests := []struct {
		name  string
		setup func(b *bench)
		want  message.RefuseReason
	}{
		{"domain out", func(b *bench) { b.step(SiteChanged{State: &site.State{Revision: 9, DomainsOut: []string{"z0"}}}) }, message.RefusedDomainOut},
		{"draining upstream", func(b *bench) { b.announce(1, 2, true) }, message.RefusedNotReady},
		{"leaving agent", func(b *bench) { b.started(d0, "x"); b.step(step.Drain{}) }, message.RefusedDraining},
		{"no room", func(b *bench) { b.started(d0, "x"); b.started(d0, "y") }, message.RefusedNoCapacity},
		{"upstream gone", func(b *bench) { b.step(Withdrawn{ID: "u"}) }, message.RefusedNotReady},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.open()
			tt.setup(b)
			before := len(b.starts)
			b.offer(d0, "j")
			if e := b.lastEnd(); e.Result != message.RunRefused || e.Reason != tt.want || len(b.starts) != before {
				t.Errorf("got %+v, want %s", e, tt.want)
			}
		})
	}
}

func TestHeldUpOfferStartsNothing(t *testing.T) {
	b := newBench(t)
	b.open()
	stamp := b.now
	b.now += lease.MaxOfferDelay + 10*time.Millisecond
	b.step(received(d0, message.Message{Offer: &message.Offer{Seq: 1, Task: message.TaskName{Job: "j"}, RunNumber: 1, Service: "s", EchoedTimestamp: stamp}}))
	if e := b.lastEnd(); e.Reason != message.RefusedStale || len(b.starts) != 0 {
		t.Errorf("got %+v", e)
	}
}

func TestRepeatedOfferIsNoSecondStart(t *testing.T) {
	b := newBench(t)
	b.open()
	o := b.offer(d0, "j")
	b.step(received(d0, message.Message{Offer: &o}))
	if len(b.starts) != 1 {
		t.Errorf("%d starts", len(b.starts))
	}
}

// TestSilentDispatcher stops the runs of a dispatcher that has not proved for the time
// of a lease that it runs, and only those.
func TestSilentDispatcher(t *testing.T) {
	b := newBench(t)
	b.open()
	lost := b.started(d0, "lost")
	b.started(d1, "kept")
	for range 13 {
		b.now += 50 * time.Millisecond
		b.alive(d1)
		b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{
			{Name: message.TaskName{Job: "lost"}, RunNumber: 1}, {Name: message.TaskName{Job: "kept"}, RunNumber: 1},
		}})
	}
	if len(b.stops) == 0 || b.stops[0].Name != lost.Name {
		t.Fatalf("stopped %+v", b.stops)
	}
	for _, s := range b.stops {
		if s.Name != lost.Name {
			t.Errorf("stopped %s", s.Name)
		}
	}
}

func TestUnknownRunIsStopped(t *testing.T) {
	b := newBench(t)
	b.open()
	b.started(d0, "j")
	stray := message.TaskName{Job: "stray"}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: stray, RunNumber: 3}, {Name: message.TaskName{Job: "j"}, RunNumber: 1}}})
	if len(b.stops) != 1 || b.stops[0].Name != stray || b.stops[0].RunNumber != 3 {
		t.Errorf("stopped %+v", b.stops)
	}
}

// TestOvertakenListStopsNothing: lists that were read before an end was taken in still
// have the run; that is no run that nobody asked for.
func TestOvertakenListStopsNothing(t *testing.T) {
	b := newBench(t)
	b.open()
	s := b.started(d0, "j")
	b.now += 10 * time.Millisecond
	overtaken := b.now
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}}})
	b.step(PollCompleted{SentAt: overtaken, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: s.Name, RunNumber: 1}}})
	if len(b.stops) != 0 {
		t.Errorf("stopped %+v", b.stops)
	}
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: s.Name, RunNumber: 1}}})
	if len(b.stops) != 1 {
		t.Errorf("a run that began after the end was not stopped: %+v", b.stops)
	}
}

// TestLeftovers: what an earlier run of the agent has left is stopped, and its lease not
// extended, before any room is offered.
func TestLeftovers(t *testing.T) {
	b := newBench(t)
	b.announce(1, 1, false)
	left := message.TaskName{Job: "left"}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: left, RunNumber: 1}}})
	if b.core.Ready() || len(b.stops) != 1 {
		t.Fatalf("ready %v, stops %+v", b.core.Ready(), b.stops)
	}
	b.now += probeRetry
	b.step(step.Tick{})
	for _, l := range b.looks {
		if l.LeaseUntil != 0 {
			t.Errorf("a look extends the lease of what was left: %+v", l)
		}
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now})
	if !b.core.Ready() {
		t.Error("not ready after everything has ended")
	}
}

func TestAnotherLife(t *testing.T) {
	b := newBench(t)
	b.open()
	b.started(d0, "j")
	b.announce(2, 1, false)
	if len(b.ends) != 0 {
		t.Errorf("before the new life is known to run nothing: %+v", b.ends)
	}
	b.announce(1, 99, false) // A late word of the former life.
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second})
	if e := b.lastEnd(); e.Result != message.RunLost {
		t.Errorf("the run of the former life: %+v", e)
	}
	if !b.core.Ready() {
		t.Error("the new life is not in use")
	}
	b.offer(d0, "k")
	if s := b.starts[len(b.starts)-1]; s.Token <= b.starts[0].Token {
		t.Errorf("token %d after %d: late calls of the former life are not fenced", s.Token, b.starts[0].Token)
	}
}

func TestStartWithoutAnswerIsRepeated(t *testing.T) {
	b := newBench(t)
	b.open()
	b.offer(d0, "j")
	first := b.starts[0]
	b.step(StartCallCompleted{Handle: first.Handle, Result: CallUnknown})
	if len(b.starts) != 2 || b.starts[1].RunNumber != first.RunNumber {
		t.Fatalf("starts %+v", b.starts)
	}
	// The second is refused, but the first may be carried out yet: not run is not known.
	b.step(StartCallCompleted{Handle: first.Handle, Result: CallNoCapacity})
	if len(b.ends) != 0 || len(b.stops) != 1 {
		t.Errorf("ends %+v, stops %+v", b.ends, b.stops)
	}
}

// TestStartAfterAPause: an agent that was paused does not repeat the start of a
// dispatcher whose lease has lapsed meanwhile: the task may run elsewhere.
func TestStartAfterAPause(t *testing.T) {
	b := newBench(t)
	b.open()
	b.offer(d0, "j")
	b.now += 2 * time.Second
	b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallUnknown})
	if len(b.starts) != 1 || len(b.stops) == 0 {
		t.Errorf("%d starts, stops %+v", len(b.starts), b.stops)
	}
}

func TestAdoption(t *testing.T) {
	b := newBench(t)
	b.open()
	b.started(d0, "j")
	again := b.offer(d1, "j")
	if e := b.lastEnd(); e.Reason != message.RefusedTakenOver || len(b.starts) != 1 {
		t.Fatalf("the former dispatcher heard %+v; %d starts", e, len(b.starts))
	}
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: message.TaskName{Job: "j"}, RunNumber: 1, Completion: CompletionDone}}})
	if e := b.lastEnd(); e.Seq != again.Seq || e.Result != message.RunDone {
		t.Errorf("the new dispatcher heard %+v", e)
	}
}

// TestFreedRoomIsReportedAtOnce: under overload, a dispatcher whose tasks wait hears of
// room that the run of another has freed without waiting for the next beat.
func TestFreedRoomIsReportedAtOnce(t *testing.T) {
	b := newBench(t)
	b.open()
	s := b.started(d0, "j")
	b.now += 20 * time.Millisecond
	b.step(received(d1, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, EchoedTimestamp: b.now, FirstWaiting: &message.WaitingTask{}}}))
	delete(b.beats, "d1")
	b.now += 15 * time.Millisecond
	b.step(PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}}})
	if beat, ok := b.beats["d1"]; !ok || beat.Capacity == nil || beat.Capacity.Used.MilliCPU != 0 {
		t.Errorf("the waiting dispatcher heard %+v", beat)
	}
}

func TestDrainWaitsForRuns(t *testing.T) {
	b := newBench(t)
	b.open()
	s := b.started(d0, "j")
	b.step(step.Drain{})
	if b.drained {
		t.Fatal("drained with a run")
	}
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}}})
	b.step(PollCompleted{SentAt: b.now, AcknowledgedUpTo: 1, Incarnation: 1, Clock: b.now})
	if !b.drained {
		t.Error("not drained after the end was acknowledged")
	}
}

// TestRunsWithoutProgress: on a worker where tasks stand still or crawl, runs are
// stopped and given back; those that are merely slower than estimated go on.
func TestRunsWithoutProgress(t *testing.T) {
	tests := []struct {
		name    string
		percent []int // at 160 ms and every 160 ms after that
		stopped bool
	}{
		{"as expected", []int{50, 99}, false},
		{"twice as long", []int{25, 50, 75}, false},
		{"stands still from the start", []int{0}, true},
		{"stands still after a while", []int{20, 20, 20}, true},
		{"takes eight times as long", []int{6}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.open()
			o := message.Offer{
				Seq: 1, Task: message.TaskName{Job: "j"}, RunNumber: 1, Service: "s", EchoedTimestamp: b.now,
				Demand: message.Resources{MilliCPU: 1000}, ExpectedDuration: 320 * time.Millisecond,
			}
			b.step(received(d0, message.Message{Offer: &o}))
			b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallOK, Clock: b.now})
			for _, percent := range tt.percent {
				b.now += 160 * time.Millisecond
				b.alive(d0)
				b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now, Running: []ActiveRun{{Name: o.Task, RunNumber: 1, Percent: percent}}})
			}
			if got := len(b.stops) > 0; got != tt.stopped {
				t.Fatalf("stopped: %v, want %v", got, tt.stopped)
			}
			if !tt.stopped {
				return
			}
			b.step(PollCompleted{SentAt: b.now, Incarnation: 1, Clock: b.now, Completed: []CompletedRun{{Number: 1, Name: o.Task, RunNumber: 1, Completion: CompletionStopped}}})
			if e := b.lastEnd(); e.Reason != message.RefusedTooSlow {
				t.Errorf("report: %+v", e)
			}
		})
	}
}
