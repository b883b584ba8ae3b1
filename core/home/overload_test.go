package home

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/admission"
)

// testSlots and testService are those of the only executor.
const (
	testSlots   = 8
	testService = 80 * time.Millisecond
)

// send submits a new job and returns its answer, if it came at once, and the
// number of starts.
func (h *testHome) send(class job.Class, timeout time.Duration, tasks int) (*job.Answer, int) {
	h.seq++
	h.out = Output{}
	h.Submit(h.now, testEntry, &message.Submit{Request: h.seq, SentAt: h.now.Wall, Job: job.Job{
		ID:   job.Minted{Home: testSelf, Created: h.now.Wall, Minter: 3, Seq: h.seq}.ID(),
		Team: "records", Created: h.now.Wall, Timeout: timeout, Class: class, Tasks: make([]job.Task, tasks),
	}}, &h.out)
	return h.sent()
}

// report sets what the executor reports of itself.
func (h *testHome) report(busy int, overloaded bool) {
	h.ObserveLoad(h.now, testSelf, message.Load{
		Slots: testSlots, Busy: busy, Queued: testSlots, QueuedUrgent: testSlots, MeanServiceTime: testService, Overloaded: overloaded,
	})
}

// TestOverload checks what becomes of a new job while every slot is taken.
func TestOverload(t *testing.T) {
	const timeout = 5 * time.Second
	tests := []struct {
		name       string
		overloaded bool
		ahead      int
		class      job.Class
		timeout    time.Duration
		kind       errkind.Kind
	}{
		{"urgent waits without lasting load", false, 3, job.Urgent, timeout, errkind.None},
		{"batch waits without lasting load", false, 3, job.Batch, timeout, errkind.None},
		{"no time before the deadline", false, 12, job.Urgent, 100 * time.Millisecond, errkind.NotRun},
		{"batch is shed", true, 0, job.Batch, timeout, errkind.NotRun},
		{"normal is shed", true, 0, job.Normal, timeout, errkind.NotRun},
		{"one urgent job waits for the next slot", true, 0, job.Urgent, timeout, errkind.None},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newTestHome(t)
			h.site.set(true)
			h.report(testSlots, tt.overloaded)
			for range tt.ahead {
				h.send(job.Urgent, timeout, 1)
			}
			a, starts := h.send(tt.class, tt.timeout, 1)
			if starts > 0 || (a != nil) != (tt.kind != errkind.None) {
				t.Fatalf("answer %+v, %d starts", a, starts)
			}
			if a != nil && (a.Kind != tt.kind || a.RetryAfter <= 0) {
				t.Errorf("answer %+v", a)
			}
		})
	}
}

// TestOverloadEndsWaits checks that a job of which nothing has been sent is
// refused once it has waited for its target, that a job which has begun is not,
// and that all is as before when the load is over.
func TestOverloadEndsWaits(t *testing.T) {
	h := newTestHome(t)
	h.site.set(true)
	h.ObserveLoad(h.now, testSelf, message.Load{Slots: 1, MeanServiceTime: testService, Overloaded: true})
	if a, starts := h.send(job.Urgent, time.Second, 2); a != nil || starts != 1 {
		t.Fatalf("the first job: answer %+v, %d starts", a, starts)
	}
	h.report(testSlots, false)
	if a, _ := h.send(job.Urgent, time.Second, 1); a != nil {
		t.Fatalf("refused without lasting load: %+v", a)
	}
	h.report(testSlots, true)
	answered := 0
	for range 20 {
		h.out = Output{}
		h.now = h.now.After(max(admission.UrgentTarget, testService/testSlots))
		h.Tick(h.now, &h.out)
		if a, _ := h.sent(); a != nil {
			answered++
			if a.Kind != errkind.NotRun || a.RetryAfter <= 0 {
				t.Errorf("answer %+v", a)
			}
		}
	}
	if answered != 1 {
		t.Errorf("%d answers, want that of the job of which nothing was sent", answered)
	}
	h.now = h.now.After(admission.Recovery + 1)
	h.ObserveLoad(h.now, testSelf, message.Load{Slots: testSlots, MeanServiceTime: testService})
	h.Place(h.now, &h.out)
	if a, starts := h.send(job.Batch, time.Second, 1); a != nil || starts != 1 {
		t.Errorf("after the load: answer %+v, %d starts", a, starts)
	}
}
