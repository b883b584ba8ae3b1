package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/recent"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// answerOffer answers an offer of the only agent, which gets no more tasks afterwards.
func (b *testBed) answerOffer(o message.Offer, completion message.RunCompletion) {
	completion.Seq = o.Seq
	b.receive(0, message.Message{Heartbeat: &message.Heartbeat{Timestamp: b.now, Revision: 1, Capacity: &message.CapacityReport{
		Version: uint64(b.now) + 1, InfoVersion: 1,
	}}})
	b.receive(0, message.Message{RunCompletion: &completion})
}

// TestWaysToGiveUpAJob guards against a way to end a job that says that it has not run although
// more is known, and against one that does not say so of a job that nobody has started.
func TestWaysToGiveUpAJob(t *testing.T) {
	refused := func(mayHaveRun bool) message.RunCompletion {
		return message.RunCompletion{Result: message.RunRefused, Reason: message.RefusedNoCapacity, MayHaveRun: mayHaveRun}
	}
	known := map[string]struct {
		learn func(b *testBed, offers []message.Offer)
		want  Outcome
	}{
		"both refused": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], refused(false))
			b.answerOffer(offers[1], refused(false))
		}, Refused},
		"both open": {func(*testBed, []message.Offer) {}, Interrupted},
		"one open": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], refused(false))
		}, Interrupted},
		"one may have run before": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], refused(false))
			b.answerOffer(offers[1], refused(true))
		}, Interrupted},
		"one is stopping": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], message.RunCompletion{Result: message.RunRefused, Reason: message.RefusedStopping})
			b.answerOffer(offers[1], refused(false))
		}, Interrupted},
		"one forgotten": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], message.RunCompletion{Result: message.RunLost, Reason: message.LostForgotten})
			b.answerOffer(offers[1], refused(false))
		}, Interrupted},
		"one done": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], message.RunCompletion{Result: message.RunDone})
			b.answerOffer(offers[1], refused(false))
		}, Interrupted},
		"one failed": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], message.RunCompletion{Result: message.RunFailed})
			b.answerOffer(offers[1], refused(false))
		}, Interrupted},
		"one stopped": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], message.RunCompletion{Result: message.RunStopped})
			b.answerOffer(offers[1], refused(false))
		}, Interrupted},
		"one lost with its upstream": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], message.RunCompletion{Result: message.RunLost, Reason: message.LostUpstreamCrashed})
			b.answerOffer(offers[1], refused(false))
		}, Interrupted},
		"a refusal is heard twice": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], refused(false))
			b.answerOffer(offers[0], refused(false))
		}, Interrupted},
		"a failure is heard twice": {func(b *testBed, offers []message.Offer) {
			b.answerOffer(offers[0], message.RunCompletion{Result: message.RunFailed})
			b.answerOffer(offers[0], message.RunCompletion{Result: message.RunFailed})
			b.answerOffer(offers[1], refused(false))
		}, Interrupted},
	}
	ways := map[string]func(b *testBed, call uint64){
		"deadline":    func(b *testBed, _ uint64) { b.advance(1600 * time.Millisecond) },
		"caller gone": func(b *testBed, call uint64) { b.step(CallerGone{Call: call}) },
		"of no use": func(b *testBed, _ uint64) {
			b.core.cfg.UsefulFactor = 1
			b.advance(1600 * time.Millisecond)
		},
		"route removed": func(b *testBed, _ uint64) {
			b.step(SiteChanged{State: &site.State{Revision: 9, Configured: true}})
			b.advance(1600 * time.Millisecond)
		},
		"planned stop": func(b *testBed, call uint64) { b.step(step.Drain{}); b.step(CallerGone{Call: call, Cause: "stopped"}) },
		"paused":       func(b *testBed, _ uint64) { b.now += 2 * time.Second; b.step(step.Tick{}) },
		"held":         func(b *testBed, _ uint64) { b.learnHold("j", false, time.Second); b.advance(1600 * time.Millisecond) },
	}
	for knowledge, k := range known {
		for way, end := range ways {
			b := newTestBed(t)
			b.connectAgents(1, 2)
			call := b.submit("j", 0, 2, time.Millisecond)
			offers := b.takeOffers()
			if len(offers) != 2 {
				t.Fatalf("got %d offers, want 2", len(offers))
			}
			k.learn(b, offers)
			end(b, call)
			want := k.want
			if way == "held" {
				want = Interrupted // The other dispatcher knows of a start.
			}
			if got := b.answers[call]; got.Outcome != want {
				t.Errorf("%s, then %s: got %+v, want %s", knowledge, way, got, want)
			}
		}
	}
}

// TestStepThatWaitsIsNoRefusal guards against a job that is refused as not run since its last step
// has not started, or has been refused, although the first one has run.
func TestStepThatWaitsIsNoRefusal(t *testing.T) {
	for _, answer := range []message.RunCompletion{
		{Result: message.RunRefused, Reason: message.RefusedNoCapacity}, {Result: message.RunLost, Reason: message.LostForgotten},
	} {
		b := newTestBed(t)
		b.connectAgents(1, 1)
		call := b.submitSteps("j", 2, func(s int) []int {
			if s == 0 {
				return nil
			}
			return []int{0}
		})
		b.complete(b.takeOffers()[0], message.RunDone, "")
		if offers := b.takeOffers(); len(offers) == 1 {
			b.answerOffer(offers[0], answer)
		}
		b.step(CallerGone{Call: call})
		if got := b.answers[call]; got.Outcome != Interrupted {
			t.Errorf("second step %+v: got %+v, want interrupted", answer, got)
		}
	}
}

// TestRepeatedOfferStatesWhenItWasFirstSent guards against an agent that cannot know whether it has
// forgotten its answer to an offer, after a reset, a silence, or the restart of the agent.
func TestRepeatedOfferStatesWhenItWasFirstSent(t *testing.T) {
	for name, again := range map[string]func(b *testBed){
		"connection reset": func(b *testBed) { b.step(step.PeerReset{Ref: ref(0)}) },
		"heard again":      func(b *testBed) { b.advance(5 * time.Second); b.sendHeartbeats(1); b.advance(minCheckInterval) },
		"twice": func(b *testBed) {
			b.advance(5 * time.Second)
			b.sendHeartbeats(1)
			b.advance(minCheckInterval)
			b.step(step.PeerReset{Ref: ref(0)})
		},
	} {
		b := newTestBed(t)
		b.connectAgents(1, 1)
		echoed := b.now
		b.submitWith("j", 2, time.Minute)
		offers := b.takeOffers()
		if len(offers) != 1 || offers[0].FirstSentAt != 0 {
			t.Fatalf("%s: got offers %+v, want one that is new", name, offers)
		}
		b.now += 10 * time.Millisecond
		b.sendHeartbeats(1)
		again(b)
		repeated := b.takeOffers()
		if len(repeated) == 0 || slices.ContainsFunc(repeated, func(o message.Offer) bool { return o.Seq != offers[0].Seq || o.FirstSentAt != echoed }) {
			t.Errorf("%s: got offers %+v, want offer %d again, first sent after %v", name, repeated, offers[0].Seq, echoed)
		}
		b.complete(offers[0], message.RunRefused, message.RefusedNoCapacity)
		b.reportIdle(1, 1)
		if next := b.takeOffers(); len(next) != 1 || next[0].FirstSentAt != 0 {
			t.Errorf("%s: got offers %+v after a refusal, want one that is new", name, next)
		}
	}
}

// TestResubmissionsAreRememberedAsRun guards against a job that is refused as not run since it was
// last started long ago, although its caller has submitted it again and again since then, here or
// after it has waited for an answer elsewhere.
func TestResubmissionsAreRememberedAsRun(t *testing.T) {
	for _, pause := range []time.Duration{1300 * time.Millisecond, recent.Retention - time.Second, 45 * time.Second} {
		b := newTestBed(t)
		b.connectAgents(1, 1)
		call := b.submit("a", 0, 1, time.Millisecond)
		offer := b.takeOffers()[0]
		b.step(CallerGone{Call: call})
		b.complete(offer, message.RunStopped, "")
		b.step(step.Drain{}) // refuses all jobs
		for i := range 10 {
			b.advance(pause)
			if got := b.answers[b.submit("a", 0, 1, time.Millisecond)].Outcome; got != Interrupted {
				t.Fatalf("submission %d, each after %v: got %q, want %q", i, pause, got, Interrupted)
			}
		}
	}
}
