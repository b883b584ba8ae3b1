package home

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/admission"
)

// testSlots and testService are the slots and the mean service time that the only
// executor reports.
const (
	testSlots   = 8
	testService = 80 * time.Millisecond
)

// submitNew submits a new job. It returns the answer, or nil if there is none at
// once, and the number of tasks sent to the executor.
func (h *testHome) submitNew(class job.Class, timeout time.Duration, tasks int) (*job.Answer, int) {
	h.seq++
	h.out = Output{}
	h.Submit(h.now, testEntry, &message.Submit{Request: h.seq, SentAt: h.now.Wall, Job: job.Job{
		ID:   job.Minted{Home: testSelf, Created: h.now.Wall, Minter: 3, Seq: h.seq}.ID(),
		Team: "records", Created: h.now.Wall, Timeout: timeout, Class: class, Tasks: make([]job.Task, tasks),
	}}, &h.out)
	return h.answerAndStarts()
}

// reportLoad delivers a load report of the executor.
func (h *testHome) reportLoad(busy int, overloaded bool) {
	h.ObserveLoad(h.now, testSelf, message.Load{
		Slots: testSlots, Busy: busy, Queued: testSlots, QueuedUrgent: testSlots, MeanServiceTime: testService, Overloaded: overloaded,
	})
}

// TestOverload checks which new jobs wait and which are refused while every slot is
// in use.
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
			h.site.setMatches(true)
			h.reportLoad(testSlots, tt.overloaded)
			for range tt.ahead {
				h.submitNew(job.Urgent, timeout, 1)
			}
			a, starts := h.submitNew(tt.class, tt.timeout, 1)
			if starts > 0 || (a != nil) != (tt.kind != errkind.None) {
				t.Fatalf("got answer %+v and %d starts, want 0 starts and an answer only if the job is refused", a, starts)
			}
			if a != nil && (a.Kind != tt.kind || a.RetryAfter <= 0) {
				t.Errorf("got answer %+v, want kind not_run with a retry delay", a)
			}
		})
	}
}

// TestOverloadRefusesWaitingJobs checks what happens to waiting urgent jobs under
// overload: a job is refused once it has waited for the target time of its class,
// unless one of its tasks has been sent. After the overload, jobs are admitted again.
func TestOverloadRefusesWaitingJobs(t *testing.T) {
	h := newTestHome(t)
	h.site.setMatches(true)
	h.ObserveLoad(h.now, testSelf, message.Load{Slots: 1, MeanServiceTime: testService, Overloaded: true})
	if a, starts := h.submitNew(job.Urgent, time.Second, 2); a != nil || starts != 1 {
		t.Fatalf("the first job: got answer %+v and %d starts, want no answer and 1 start", a, starts)
	}
	h.reportLoad(testSlots, false)
	if a, _ := h.submitNew(job.Urgent, time.Second, 1); a != nil {
		t.Fatalf("the second job, without sustained overload: got answer %+v, want none", a)
	}
	h.reportLoad(testSlots, true)
	answered := 0
	for range 20 {
		h.out = Output{}
		h.now = h.now.After(max(admission.UrgentTarget, testService/testSlots))
		h.Tick(h.now, &h.out)
		if a, _ := h.answerAndStarts(); a != nil {
			answered++
			if a.Kind != errkind.NotRun || a.RetryAfter <= 0 {
				t.Errorf("got answer %+v, want kind not_run with a retry delay", a)
			}
		}
	}
	if answered != 1 {
		t.Errorf("got %d answers, want 1: that of the job without a sent task", answered)
	}
	h.now = h.now.After(admission.Recovery + 1)
	h.ObserveLoad(h.now, testSelf, message.Load{Slots: testSlots, MeanServiceTime: testService})
	h.PlaceWaiting(h.now, &h.out)
	if a, starts := h.submitNew(job.Batch, time.Second, 1); a != nil || starts != 1 {
		t.Errorf("after the overload: got answer %+v and %d starts, want no answer and 1 start", a, starts)
	}
}
