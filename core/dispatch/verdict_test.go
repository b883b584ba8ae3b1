package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/recent"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// publish lets a configuration take effect in which the route of the test jobs permits this
// many attempts.
func (b *testBed) publish(revision int64, attempts int) {
	b.step(SiteChanged{State: &site.State{Revision: revision, Configured: true, Routes: []site.Route{
		{Name: "r", Service: "s", MaxAttempts: attempts, Stretch: 1.6, Margin: 60 * time.Millisecond},
	}}})
}

// failOnce lets the next run of the only open task fail.
func (b *testBed) failOnce() {
	b.t.Helper()
	offers := b.takeOffers()
	if len(offers) != 1 {
		b.t.Fatalf("got %d offers, want 1", len(offers))
	}
	b.complete(offers[0], message.RunFailed, "")
}

// TestVerdictByTheAttemptsInForce guards against a job that is answered as failed by the
// attempts of a configuration that has been replaced by one with more.
func TestVerdictByTheAttemptsInForce(t *testing.T) {
	for name, again := range map[string]bool{"open": false, "submitted again": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			b.connectAgents(1, 1)
			call := b.submit("a", 0, 1, time.Millisecond) // two attempts
			b.failOnce()
			b.publish(2, 4)
			if again {
				call = b.submit("a", 0, 1, time.Millisecond)
			}
			for range 2 {
				b.failOnce()
				if got, ok := b.answers[call]; ok {
					t.Fatalf("got %+v before the fourth failure, want no answer", got)
				}
			}
			b.failOnce()
			if got := b.answers[call]; got.Outcome != Failed {
				t.Errorf("got %+v after four failures, want failed", got)
			}
		})
	}
}

// TestFewerAttemptsSpareOpenJobs guards against a job that is answered as failed after fewer
// attempts than it was accepted with.
func TestFewerAttemptsSpareOpenJobs(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	call := b.submit("a", 0, 1, time.Millisecond) // two attempts
	b.publish(2, 1)
	b.failOnce()
	if got, ok := b.answers[call]; ok {
		t.Errorf("got %+v after one failure of two, want no answer", got)
	}
	b.failOnce()
	if got := b.answers[call]; got.Outcome != Failed {
		t.Errorf("got %+v after two failures, want failed", got)
	}
}

// TestOtherJobWithAnOpenIDIsRefused guards against a job that gets the result of another one
// with the same ID, and against that one's caller losing its answer.
func TestOtherJobWithAnOpenIDIsRefused(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 4)
	first := b.submit("a", 0, 1, time.Millisecond)
	other := b.submit("a", 0, 2, time.Millisecond)
	if got := b.answers[other]; got.Outcome != Refused || got.Reason != reasonIDInUse {
		t.Errorf("got %+v for the other job, want refused, %s", got, reasonIDInUse)
	}
	if got, ok := b.answers[first]; ok {
		t.Errorf("got %+v for the first job, want no answer yet", got)
	}
	b.complete(b.takeOffers()[0], message.RunDone, "")
	if got := b.answers[first]; got.Outcome != Completed {
		t.Errorf("got %+v for the first job, want completed", got)
	}
}

// TestResubmissionOfAStartedJobIsNotSaidNotToHaveRun guards against a job that is refused as not
// run although a task of an earlier submission has run, and against jobs that are remembered for
// ever.
func TestResubmissionOfAStartedJobIsNotSaidNotToHaveRun(t *testing.T) {
	for name, end := range map[string]func(b *testBed, call uint64, o message.Offer){
		"caller gone": func(b *testBed, call uint64, o message.Offer) {
			b.step(CallerGone{Call: call})
			b.complete(o, message.RunStopped, "")
		},
		"completed": func(b *testBed, _ uint64, o message.Offer) { b.complete(o, message.RunDone, "") },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			b.connectAgents(1, 1)
			call := b.submit("a", 0, 1, time.Millisecond)
			end(b, call, b.takeOffers()[0])
			b.step(step.Drain{}) // refuses all jobs
			again, other := b.submit("a", 0, 1, time.Millisecond), b.submit("b", 0, 1, time.Millisecond)
			if got := b.answers[again].Outcome; got != Interrupted {
				t.Errorf("got %q for the job that was submitted again, want %q", got, Interrupted)
			}
			if got := b.answers[other].Outcome; got != Refused {
				t.Errorf("got %q for another job, want %q", got, Refused)
			}
			b.advance(recent.RunRetention)
			if got := b.core.MayHaveRun("a"); !got {
				t.Errorf("forgotten %v after the last answer", recent.RunRetention)
			}
			b.advance(time.Millisecond)
			if got := b.answers[b.submit("a", 0, 1, time.Millisecond)].Outcome; got != Refused {
				t.Errorf("got %q after more than %v, want %q", got, recent.RunRetention, Refused)
			}
		})
	}
}

// submitWith submits a job of one task whose caller waits this long, under a route that permits
// this many attempts.
func (b *testBed) submitWith(id string, attempts int, wait time.Duration) uint64 {
	b.calls++
	b.step(Submit{Call: b.calls, Job: Job{
		ID: id, Wait: wait,
		Route: &site.Route{Name: "r", Service: "s", MaxAttempts: attempts, Stretch: 1.6, Margin: 60 * time.Millisecond},
		Steps: []Step{{Count: 1, Demand: message.Resources{MilliCPU: oneCore}, Estimate: time.Millisecond}},
	}})
	return b.calls
}

// TestVerdictByTheAttemptsOfTheResubmission guards against a job that is answered as failed
// after fewer attempts than the submission that is answered was accepted with: they were raised
// before it and lowered after it.
func TestVerdictByTheAttemptsOfTheResubmission(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	b.submitWith("a", 2, 1500*time.Millisecond)
	b.publish(2, 4)
	call := b.submitWith("a", 4, 1500*time.Millisecond)
	b.publish(3, 2)
	for range 2 {
		b.failOnce()
	}
	if got, ok := b.answers[call]; ok {
		t.Errorf("got %+v after two failures of four, want no answer", got)
	}
}

// TestSecondRunIsRemembered guards against a job that is refused as not run right after a run,
// since an earlier submission of it has run as well.
func TestSecondRunIsRemembered(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	for range 2 {
		call := b.submit("a", 0, 1, time.Millisecond)
		offers := b.takeOffers()
		if len(offers) != 1 {
			t.Fatalf("got %d offers, want 1", len(offers))
		}
		b.step(CallerGone{Call: call})
		b.complete(offers[0], message.RunStopped, "")
		for range 18 {
			b.advance(500 * time.Millisecond)
			b.reportIdle(1, 1)
		}
	}
	b.step(step.Drain{})
	// 18 s after the first run, 9 s after the second.
	if got := b.answers[b.submit("a", 0, 1, time.Millisecond)]; got.Outcome != Interrupted {
		t.Errorf("got %+v 9 s after a run, want interrupted", got)
	}
}

// TestInterruptedJobsOutliveCompletedOnes guards against a job that is refused as not run, since
// as many others as are remembered have been completed after it was interrupted. It names the
// load: 1,024 completed jobs a second.
func TestInterruptedJobsOutliveCompletedOnes(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	call := b.submit("a", 0, 1, time.Millisecond)
	offers := b.takeOffers()
	b.step(CallerGone{Call: call})
	b.complete(offers[0], message.RunStopped, "")
	for i := range recent.MaxJobs {
		b.now += time.Second / 1024
		if i%64 == 0 {
			b.sendHeartbeats(1)
		}
		b.submit(fmt.Sprint("other", i), 0, 1, time.Millisecond)
		for _, o := range b.takeOffers() {
			b.complete(o, message.RunDone, "")
		}
	}
	b.step(step.Drain{})
	if got := b.answers[b.submit("a", 0, 1, time.Millisecond)]; got.Outcome != Interrupted {
		t.Errorf("got %+v 2 s after a run, want interrupted", got)
	}
}

// TestJobWithAnIDInUseElsewhereIsRefused guards against a job that is offered to one agent after
// the other while another dispatcher runs another job with the same ID.
func TestJobWithAnIDInUseElsewhereIsRefused(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(2, 1)
	call := b.submit("a", 0, 1, time.Millisecond)
	b.complete(b.takeOffers()[0], message.RunRefused, message.RefusedIDInUse)
	if got := b.answers[call]; got.Outcome != Refused || got.Reason != reasonIDInUse {
		t.Errorf("got %+v, want refused, %s", got, reasonIDInUse)
	}
	if offers := b.takeOffers(); len(offers) != 0 {
		t.Errorf("got %d more offers, want none", len(offers))
	}
}

// TestOtherTasksAreAnotherJob guards against a submission that gets the result of tasks that it
// did not ask for, in whatever the two differ.
func TestOtherTasksAreAnotherJob(t *testing.T) {
	job := func(change func(j *Job, s *Step)) Job {
		j := Job{Spec: "x", Steps: []Step{{Count: 1}, {Count: 2, Demand: message.Resources{MilliCPU: 1}, After: []int{0}, RequiredLabel: "l", MaxPerUpstream: 1}}}
		change(&j, &j.Steps[1])
		return j
	}
	first := job(func(*Job, *Step) {})
	for name, other := range map[string]func(j *Job, s *Step){
		"spec":  func(j *Job, _ *Step) { j.Spec = "y" },
		"steps": func(j *Job, _ *Step) { j.Steps = j.Steps[:1] },
		"count": func(_ *Job, s *Step) { s.Count = 3 },
		"cpu":   func(_ *Job, s *Step) { s.Demand.MilliCPU = 2 },
		"after": func(_ *Job, s *Step) { s.After = nil },
		"label": func(_ *Job, s *Step) { s.RequiredLabel = "" },
		"limit": func(_ *Job, s *Step) { s.MaxPerUpstream = 2 },
	} {
		if first.asksSame(job(other)) {
			t.Errorf("%s: taken for the same job", name)
		}
	}
	if !first.asksSame(job(func(j *Job, s *Step) { j.Request, s.Estimate, s.PreferredLabel = "r", time.Second, "p" })) {
		t.Error("another request, estimate and preference: taken for another job")
	}
}

// TestGivenUpResubmissionIsNotSaidNotToHaveRun guards against a job that is refused as not run
// when it is given up before its first start, although an earlier submission of it has run.
func TestGivenUpResubmissionIsNotSaidNotToHaveRun(t *testing.T) {
	b := newTestBed(t)
	b.connectAgents(1, 1)
	call := b.submit("a", 0, 1, time.Millisecond)
	b.step(CallerGone{Call: call})
	b.submit("b", 0, 1, time.Millisecond) // waits: the only upstream is full
	again := b.submit("a", 0, 1, time.Millisecond)
	b.step(CallerGone{Call: again})
	if got := b.answers[again].Outcome; got != Interrupted {
		t.Errorf("got %q, want %q", got, Interrupted)
	}
}
