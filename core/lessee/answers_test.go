package lessee

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// cutOff lets time pass in which d0 is cut off, d1 is in touch, and the upstream answers renewals.
func (b *testBed) cutOff(d time.Duration) {
	seq := b.core.upstream.seq
	for end := b.now + d; b.now < end; {
		b.now = min(end, b.now+50*time.Millisecond)
		seq++
		b.announce(b.core.upstream.incarnation, seq, false)
		b.heartbeat(d1)
		var running []ActiveRun
		for _, r := range b.core.runs {
			running = append(running, ActiveRun{Name: r.name, RunNumber: r.number})
		}
		b.poll(running, nil)
	}
}

// poll answers a renewal.
func (b *testBed) poll(running []ActiveRun, completed []CompletedRun) {
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: b.core.upstream.incarnation, Clock: b.now, Running: running, Completed: completed})
}

// repeat delivers an offer again, as the dispatcher sends it after it was cut off.
func (b *testBed) repeat(o message.Offer, change func(*message.Offer)) message.RunCompletion {
	o.FirstSentAt, o.EchoedTimestamp = o.EchoedTimestamp, b.now
	if change != nil {
		change(&o)
	}
	b.completions = nil
	b.heartbeat(d0)
	b.step(received(d0, message.Message{Offer: &o}))
	return b.lastCompletion()
}

// runEnds are the ways in which the run of an offer ends while its dispatcher is cut off.
var runEnds = map[message.RunResult]func(b *testBed, s StartRun){
	message.RunDone: func(b *testBed, s StartRun) {
		b.poll(nil, []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionDone}})
	},
	message.RunFailed: func(b *testBed, s StartRun) {
		b.poll(nil, []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionFailed}})
	},
	message.RunStopped: func(b *testBed, s StartRun) {
		b.cutOff(lease.RunLease)
		b.poll(nil, []CompletedRun{{Number: 1, Name: s.Name, RunNumber: 1, Completion: CompletionStopped}})
	},
	message.RunLost: func(b *testBed, _ StartRun) {
		b.announce(2, 1, false)
		b.poll(nil, nil)
	},
}

// refusals are the reasons for which a new offer would be refused when the dispatcher is back.
var refusals = map[message.RefuseReason]func(b *testBed) (change func(*message.Offer)){
	"": func(*testBed) func(*message.Offer) { return nil },
	message.RefusedNoCapacity: func(b *testBed) func(*message.Offer) {
		b.startRun(d1, "x")
		b.startRun(d1, "y")
		return nil
	},
	message.RefusedNotReady: func(b *testBed) func(*message.Offer) {
		b.announce(b.core.upstream.incarnation, 1e6, true)
		return nil
	},
	message.RefusedDraining: func(b *testBed) func(*message.Offer) {
		b.startRun(d1, "x")
		b.step(step.Drain{})
		return nil
	},
	message.RefusedDomainOut: func(b *testBed) func(*message.Offer) {
		b.step(SiteChanged{State: &site.State{Revision: 9, DomainsOut: []string{"z0"}}})
		return nil
	},
	message.RefusedOtherService: func(*testBed) func(*message.Offer) { return func(o *message.Offer) { o.Service = "t" } },
	message.RefusedMissingLabel: func(*testBed) func(*message.Offer) { return func(o *message.Offer) { o.RequiredLabel = "l" } },
	message.RefusedStale: func(*testBed) func(*message.Offer) {
		return func(o *message.Offer) { o.EchoedTimestamp -= 2 * lease.MaxOfferDelay }
	},
	message.RefusedIDInUse: func(b *testBed) func(*message.Offer) {
		b.startRun(d1, "j")
		return func(o *message.Offer) { o.Spec = "other" }
	},
	message.RefusedCancelled: func(b *testBed) func(*message.Offer) {
		b.cancelled(d1, "j")
		return nil
	},
	message.RefusedProving: func(b *testBed) func(*message.Offer) {
		o := message.Offer{Seq: 1e6, Task: message.TaskName{Job: "x"}, RunNumber: 1, Service: "s", EchoedTimestamp: b.now, Isolation: message.Alone}
		b.step(received(d1, message.Message{Offer: &o}))
		return nil
	},
}

// TestRefusalsOfNewOffers checks that each entry of refusals refuses an offer as it says.
func TestRefusalsOfNewOffers(t *testing.T) {
	for reason, prepare := range refusals {
		b := newTestBed(t)
		b.open()
		change := prepare(b)
		o := message.Offer{Seq: 1, Task: message.TaskName{Job: "j"}, RunNumber: 1, Service: "s", Demand: message.Resources{MilliCPU: 1000}, EchoedTimestamp: b.now}
		if got := b.repeat(o, change); got.Reason != reason {
			t.Errorf("got %+v, want reason %q", got, reason)
		}
	}
}

// TestRepeatedOfferAfterACut guards against a job that is refused as not run although a task of it
// has run: the dispatcher was cut off right after the start, the agent has forgotten how the run
// has ended, and perhaps the dispatcher, and takes the repeated offer for a new one.
func TestRepeatedOfferAfterACut(t *testing.T) {
	for _, cut := range []time.Duration{4300 * time.Millisecond, 5400 * time.Millisecond, 9 * time.Second, lease.LateStartExpiry} {
		for end, complete := range runEnds {
			for reason, prepare := range refusals {
				t.Run(fmt.Sprintf("%v, %s, then %s", cut, end, reason), func(t *testing.T) {
					b := newTestBed(t)
					b.open()
					o := b.offer(d0, "j")
					b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallOK, Clock: b.now})
					backAt := b.now + cut
					b.now += 10 * time.Millisecond
					complete(b, b.starts[0])
					first := b.lastCompletion()
					if first.Result != end {
						t.Fatalf("got %+v, want a run that has ended as %s", first, end)
					}
					b.cutOff(backAt - b.now)
					change := prepare(b)
					starts := len(b.starts)
					got := b.repeat(o, change)
					if got.Result != first.Result || got.Reason != first.Reason || got.Duration != first.Duration || len(b.starts) != starts {
						t.Errorf("got %+v and %d starts, want the first answer again, %+v, and none", got, len(b.starts)-starts, first)
					}
				})
			}
		}
	}
}

// TestForgottenAnswerIsNoRefusal guards against an offer that is refused as not started, or started
// a second time, although the agent has forgotten, by time or by number, what it had answered.
func TestForgottenAnswerIsNoRefusal(t *testing.T) {
	for name, forget := range map[string]func(b *testBed){
		"by time": func(b *testBed) { b.cutOff(lease.OfferRetention + time.Second) },
		"by number": func(b *testBed) {
			for range maxAnswers {
				b.step(received(d1, message.Message{Offer: &message.Offer{Seq: uint64(len(b.completions)) + 1000, Task: message.TaskName{Job: "k"}, Service: "t", EchoedTimestamp: b.now}}))
			}
			b.now += lease.MaxOfferDelay
		},
	} {
		for reason, prepare := range refusals {
			t.Run(fmt.Sprintf("%s, then %s", name, reason), func(t *testing.T) {
				b := newTestBed(t)
				b.open()
				o := b.offer(d0, "j")
				b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallOK, Clock: b.now})
				runEnds[message.RunDone](b, b.starts[0])
				forget(b)
				change := prepare(b)
				starts := len(b.starts)
				for range 2 {
					if got := b.repeat(o, change); got.Result != message.RunLost || got.Reason != message.LostForgotten || len(b.starts) != starts {
						t.Errorf("got %+v and %d starts, want an answer that was forgotten and no start", got, len(b.starts)-starts)
					}
				}
				if got := b.core.Stats().AnswersForgotten; got != 1 {
					t.Errorf("%d forgotten answers are counted, want 1", got)
				}
			})
		}
	}
}

// TestOfferLostInACutIsNew guards against a task that is given up as perhaps run although its offer
// was lost in the cut and the agent remembers all that it was offered since.
func TestOfferLostInACutIsNew(t *testing.T) {
	b := newTestBed(t)
	b.open()
	lost := message.Offer{Seq: 1, Task: message.TaskName{Job: "j"}, RunNumber: 1, Service: "s", Demand: message.Resources{MilliCPU: 1000}, EchoedTimestamp: b.now}
	refused := lost
	refused.Seq, refused.Task.Job, refused.RequiredLabel = 2, "k", "l"
	b.cutOff(lease.LateStartExpiry)
	if got := b.repeat(refused, nil); got.Result != message.RunRefused || got.Reason != message.RefusedMissingLabel || got.MayHaveRun {
		t.Errorf("got %+v, want a refusal as never started", got)
	}
	if b.repeat(lost, nil); len(b.starts) != 1 || len(b.completions) != 0 {
		t.Errorf("got %d starts and completions %+v, want 1 and none", len(b.starts), b.completions)
	}
}

// TestOfferOfAnotherIncarnationIsNew guards against a dispatcher that has restarted and gets the
// answers to the offers of before, whose numbers it uses again.
func TestOfferOfAnotherIncarnationIsNew(t *testing.T) {
	b := newTestBed(t)
	b.open()
	o := b.offer(d0, "j")
	b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallOK, Clock: b.now})
	runEnds[message.RunDone](b, b.starts[0])
	next := node.Ref{ID: d0.ID, Incarnation: 2}
	b.heartbeat(next)
	o.Task.Job = "k"
	if b.step(received(next, message.Message{Offer: &o})); len(b.starts) != 2 {
		t.Errorf("got %d starts, want 2", len(b.starts))
	}
}

// TestRevocationOfAForgottenOffer guards against a revoked offer that is stated as never started
// although it may have been, and against one that starts when it is received after its revocation.
func TestRevocationOfAForgottenOffer(t *testing.T) {
	for name, tt := range map[string]struct {
		cut  time.Duration
		want message.RunCompletion
	}{
		"remembered": {9 * time.Second, message.RunCompletion{Seq: 1, Result: message.RunDone}},
		"forgotten":  {lease.OfferRetention + time.Second, message.RunCompletion{Seq: 1, Result: message.RunLost, Reason: message.LostForgotten}},
	} {
		b := newTestBed(t)
		b.open()
		o := b.offer(d0, "j")
		b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallOK, Clock: b.now})
		runEnds[message.RunDone](b, b.starts[0])
		b.cutOff(tt.cut)
		b.step(received(d0, message.Message{RevokeOffer: &message.RevokeOffer{Seq: o.Seq}}))
		got := b.lastCompletion()
		if got.Capacity = nil; got != tt.want {
			t.Errorf("%s: got %+v, want %+v", name, got, tt.want)
		}
		if b.repeat(o, nil); len(b.starts) != 1 {
			t.Errorf("%s: got %d starts, want 1", name, len(b.starts))
		}
	}
}

// TestRefusalStatesEarlierRun guards against a job that a dispatcher refuses as not run, although
// the agent that has refused its offer knows of a run that another dispatcher has started.
func TestRefusalStatesEarlierRun(t *testing.T) {
	offer := func(b *testBed, d node.Ref, job string, index int) message.RunCompletion {
		b.seq++
		b.step(received(d, message.Message{Offer: &message.Offer{
			Seq: b.seq, Task: message.TaskName{Job: job, Index: index}, RunNumber: 1, Service: "t", EchoedTimestamp: b.now,
		}}))
		return b.lastCompletion()
	}
	for name, tt := range map[string]struct {
		prepare func(b *testBed)
		want    bool
	}{
		"nothing":       {func(*testBed) {}, false},
		"another job":   {func(b *testBed) { b.startRun(d0, "k") }, false},
		"open":          {func(b *testBed) { b.startRun(d0, "j") }, true},
		"of the sender": {func(b *testBed) { b.startRun(d1, "j") }, false}, // It knows of its own offers.
		"ended":         {func(b *testBed) { runEnds[message.RunDone](b, b.startRun(d0, "j")) }, true},
		"refused by the upstream": {func(b *testBed) {
			b.offer(d0, "j")
			b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: CallNoCapacity, Clock: b.now})
		}, false},
	} {
		b := newTestBed(t)
		b.open()
		tt.prepare(b)
		if got := offer(b, d1, "j", 1); got.Result != message.RunRefused || got.MayHaveRun != tt.want {
			t.Errorf("%s: got %+v, want a refusal that states an earlier run: %v", name, got, tt.want)
		}
	}
}

// TestRefusedStartAfterAnOldRun guards against the same where the upstream alone knows of the run:
// it has refused the run number as an old one, and then the next one for lack of room.
func TestRefusedStartAfterAnOldRun(t *testing.T) {
	for _, results := range [][]CallResult{{CallStaleRun, CallNoCapacity}, {CallNoCapacity}} {
		b := newTestBed(t)
		b.open()
		b.offer(d0, "j")
		for _, result := range results {
			b.step(StartCallCompleted{Handle: b.starts[0].Handle, Result: result, Clock: b.now})
		}
		if got, want := b.lastCompletion(), slices.Contains(results, CallStaleRun); got.Result != message.RunRefused || got.MayHaveRun != want {
			t.Errorf("%v: got %+v, want a refusal that states an earlier run: %v", results, got, want)
		}
	}
}

// TestAnswersAreBounded guards against a memory that grows with every offer, or for ever.
func TestAnswersAreBounded(t *testing.T) {
	var m answerMemory
	for i := range uint64(2 * maxAnswers) {
		m.add(&answer{offerKey: offerKey{d0, i}, receivedAt: time.Duration(i), answeredAt: time.Duration(i)})
	}
	if len(m.order) != maxAnswers || len(m.byKey) != maxAnswers || !m.coversSince(maxAnswers) || m.coversSince(maxAnswers-1) {
		t.Errorf("%d answers are remembered since %d, want %d since %d", len(m.order), m.completeSince, maxAnswers, maxAnswers)
	}
	m.expire(lease.OfferRetention + 2*maxAnswers)
	if len(m.order) != 0 || len(m.byKey) != 0 {
		t.Errorf("%d answers are remembered after %v", len(m.order), lease.OfferRetention)
	}
}
