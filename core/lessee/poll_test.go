package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// pollAnswer returns how an upstream answers a poll that is sent at a time, and how much
// later.
type pollAnswer func(p Poll, at time.Duration) (PollCompleted, time.Duration)

// refusePoll is the answer of a port that refuses connections.
func refusePoll(Poll, time.Duration) (PollCompleted, time.Duration) {
	return PollCompleted{Result: CallNoListener}, 0
}

// open announces the upstream and answers the first poll with empty lists, so long ago that no
// call of before can hold a lease.
func (b *testBed) open() {
	b.announce(1, 1, false)
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 1, Clock: b.now})
	if !b.core.Ready() {
		b.t.Fatal("not ready after a poll that found no runs")
	}
	b.core.upstream.openedAt -= lease.MaxUpstreamExpiry
	b.heartbeat(d0)
	b.heartbeat(d1)
}

// drive advances the time by d in steps of a millisecond, answers the polls, and returns how
// many were sent.
func (b *testBed) drive(d time.Duration, answer pollAnswer) int {
	type pending struct {
		at     time.Duration
		result PollCompleted
	}
	var queue []pending
	sent := 0
	take := func() {
		for _, p := range b.polls {
			sent++
			result, after := answer(p, b.now)
			result.Renewal, result.SentAt, result.LeaseFrom, result.Token, result.AcknowledgedUpTo = p.Renewal, p.SentAt, p.LeaseFrom, p.Token, p.AcknowledgedUpTo
			queue = append(queue, pending{b.now + after, result})
		}
		b.polls = nil
	}
	take()
	for end := b.now + d; b.now < end; {
		b.now += time.Millisecond
		b.step(step.Tick{})
		b.heartbeat(d0)
		due := queue
		queue = nil
		for _, p := range due {
			if p.at > b.now {
				queue = append(queue, p)
			} else {
				b.step(p.result)
			}
		}
		take()
	}
	return sent
}

// TestPollsOfFailingUpstreamAreSpaced guards against an agent that polls again as soon as a
// poll has failed: an upstream whose connections were reset got a thousand connections a
// second from its agent.
func TestPollsOfFailingUpstreamAreSpaced(t *testing.T) {
	fails := func(r CallResult, after time.Duration) pollAnswer {
		return func(Poll, time.Duration) (PollCompleted, time.Duration) { return PollCompleted{Result: r}, after }
	}
	flaps := func(p Poll, at time.Duration) (PollCompleted, time.Duration) {
		if at/(50*time.Millisecond)%2 == 0 {
			return PollCompleted{Result: CallUnknown}, 0
		}
		return PollCompleted{Incarnation: 1, Clock: at, Running: []ActiveRun{{Name: message.TaskName{Job: "j"}, RunNumber: 1}}}, p.Wait
	}
	for name, answer := range map[string]pollAnswer{
		"resets":          fails(CallUnknown, 0),
		"answers 500":     fails(CallRejected, time.Millisecond),
		"answers 503":     fails(CallUnhealthy, time.Millisecond),
		"refuses tokens":  fails(CallFenced, time.Millisecond),
		"answers nothing": fails(CallUnknown, longPollWait),
		"old incarnation": fails(CallOK, 0),
		"flaps":           flaps,
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			b.open()
			b.startRun(d0, "j")
			if n := b.drive(500*time.Millisecond, answer); n > 50 {
				t.Errorf("got %d polls in 500 ms, want at most 50", n)
			}
			if len(b.completions) > 0 {
				t.Errorf("the run completed: %+v", b.completions)
			}
		})
	}
}

// TestRefusedConnectionLosesTheRuns checks that a port that refuses connections is polled at a
// pace that finds the next incarnation within some tens of milliseconds, with a token that
// makes it refuse the calls of before, and not for ever.
func TestRefusedConnectionLosesTheRuns(t *testing.T) {
	b := newTestBed(t)
	b.open()
	started := b.startRun(d0, "j")
	refuse := func(p Poll, at time.Duration) (PollCompleted, time.Duration) {
		if at > time.Second+100*time.Millisecond && (p.Token <= started.Token || p.LeaseUntil != 0) {
			t.Errorf("poll %+v at %v, want a token above %d and no lease", p, at, started.Token)
		}
		return PollCompleted{Result: CallNoListener}, 0
	}
	n := b.drive(lease.UpstreamExpiry-time.Millisecond, refuse)
	if len(b.completions) != 0 {
		t.Errorf("got completions %+v, want none while the lease may last", b.completions)
	}
	n += b.drive(500*time.Millisecond-lease.UpstreamExpiry, refuse)
	if n < 8 || n > 20 || b.lastCompletion().Result != message.RunLost || len(b.completions) != 1 || b.core.Ready() {
		t.Errorf("got %d polls, completions %+v, ready %t, want 8 to 20 polls, one lost run, and not ready", n, b.completions, b.core.Ready())
	}
	b.drive(announcementTTL, refuse)
	if n := b.drive(500*time.Millisecond, refuse); n > 0 {
		t.Errorf("got %d polls long after the last announcement, want none", n)
	}
}

// TestCompletionAfterFailedPoll guards against a pause that delays results: after one failed
// poll the next one is sent at once, and a few failures delay it by less than a short task
// takes.
func TestCompletionAfterFailedPoll(t *testing.T) {
	for failures, bound := range map[int]time.Duration{1: 2 * time.Millisecond, 3: 30 * time.Millisecond} {
		b := newTestBed(t)
		b.open()
		s := b.startRun(d0, "j")
		startedAt, left := b.now, failures
		b.drive(100*time.Millisecond, func(p Poll, at time.Duration) (PollCompleted, time.Duration) {
			switch {
			case p.Renewal && left == failures:
				return PollCompleted{Result: CallUnknown}, time.Second
			case left > 0:
				left--
				return PollCompleted{Result: CallUnknown}, 0
			default:
				return PollCompleted{Incarnation: 1, Clock: at, Completed: []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}}}, 0
			}
		})
		took := b.lastCompletion().Duration
		if b.lastCompletion().Result != message.RunDone || took > bound {
			t.Errorf("after %d failures: got %+v %v after the start at %v, want done within %v", failures, b.lastCompletion(), took, startedAt, bound)
		}
	}
}

// TestFailingUpstreamGetsNoRuns guards against starts at an upstream that resets its
// connections: each start without an answer holds its task back until the lease has lapsed,
// over half a second, while other upstreams are free.
func TestFailingUpstreamGetsNoRuns(t *testing.T) {
	for _, refuse := range []bool{true, false} {
		b := newTestBed(t)
		b.core = New(Config{Token: 100, RefuseFailing: refuse})
		b.open()
		b.startRun(d0, "j")
		reset := func(Poll, time.Duration) (PollCompleted, time.Duration) { return PollCompleted{Result: CallUnknown}, 0 }
		b.drive(20*time.Millisecond, reset)
		b.offer(d1, "k")
		refused := b.lastCompletion().Reason == message.RefusedUnhealthy
		if refused != refuse {
			t.Fatalf("refuse_failing = %v: got %+v", refuse, b.lastCompletion())
		}
		if !refuse {
			continue
		}
		if c := b.lastCompletion().Capacity; c == nil || c.Ready {
			t.Errorf("the refusal reports %+v, want an upstream that is not ready", c)
		}
		clear(b.heartbeats)
		b.drive(50*time.Millisecond, func(p Poll, at time.Duration) (PollCompleted, time.Duration) {
			return PollCompleted{Incarnation: 1, Clock: at, Running: []ActiveRun{{Name: message.TaskName{Job: "j"}, RunNumber: 1}}}, p.Wait
		})
		if hb := b.heartbeats[d1.ID]; hb.Capacity == nil || !hb.Capacity.Ready {
			t.Errorf("got heartbeat %+v after an answered poll, want a report that the upstream is ready", hb)
		}
		starts := len(b.starts)
		if b.offer(d1, "l"); len(b.starts) != starts+1 {
			t.Errorf("an offer after an answered poll was refused: %+v", b.lastCompletion())
		}
	}
}

// TestOneFailedPollRefusesNothing checks that one broken connection does not make an upstream
// look as failing.
func TestOneFailedPollRefusesNothing(t *testing.T) {
	b := newTestBed(t)
	b.core = New(Config{Token: 100, RefuseFailing: true})
	b.open()
	b.startRun(d0, "j")
	b.step(PollCompleted{Result: CallUnknown, SentAt: b.now})
	starts := len(b.starts)
	if b.offer(d1, "k"); len(b.starts) != starts+1 {
		t.Errorf("got %+v, want a start", b.lastCompletion())
	}
}

// TestIdleFailingUpstreamIsPolled checks that an upstream that fails while it has no runs is
// polled until it answers. It would get no work again otherwise.
func TestIdleFailingUpstreamIsPolled(t *testing.T) {
	b := newTestBed(t)
	b.core = New(Config{Token: 100, RefuseFailing: true})
	b.open()
	s := b.startRun(d0, "j")
	b.completeRun(1, s)
	for range 2 {
		b.step(PollCompleted{Result: CallUnknown, SentAt: b.now})
	}
	if b.core.Ready() {
		t.Fatal("ready after two failed polls")
	}
	b.polls = nil
	b.drive(100*time.Millisecond, func(_ Poll, at time.Duration) (PollCompleted, time.Duration) {
		return PollCompleted{Incarnation: 1, Clock: at}, 0
	})
	if !b.core.Ready() {
		t.Error("not ready after an answered poll")
	}
}

// TestNextTickOfFailingUpstream checks that the core sets a timer for the next poll, since
// no other event may arrive before.
func TestNextTickOfFailingUpstream(t *testing.T) {
	b := newTestBed(t)
	b.open()
	b.startRun(d0, "j")
	var timer time.Duration
	for range 4 {
		for _, a := range b.core.Step(clock.Now{Mono: b.now}, PollCompleted{Result: CallUnknown, SentAt: b.now}) {
			if s, ok := a.(step.SetTimer); ok {
				timer = s.At
			}
		}
	}
	if due := b.core.upstream.polls.DueAt(); due <= b.now || timer > due {
		t.Errorf("the timer is at %v, the next poll is due at %v", timer, due)
	}
}
