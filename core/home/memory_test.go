package home

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// testMaxRecords is Config.MaxRecords, and testOpenBytes Config.MaxOpenBytes.
const (
	testMaxRecords = 100
	testOpenBytes  = 1 << 20
)

// TestRefusedJobsShareStates guards against records of refused jobs that take 24 KiB each: a caller may
// leave tens of thousands of them.
func TestRefusedJobsShareStates(t *testing.T) {
	h := newTestHome(t)
	refuse := func() []job.TaskState {
		a, _ := h.submitNew(job.Urgent, -time.Second, job.MaxTasks)
		if a == nil || a.Kind != errkind.NotRun || len(a.States) != job.MaxTasks {
			t.Fatalf("got answer %+v, want a refusal with %d states", a, job.MaxTasks)
		}
		return a.States
	}
	if first, second := refuse(), refuse(); &first[0] != &second[0] {
		t.Error("two refused jobs have their own copies of equal states")
	}
}

// submitLarge submits a job of one task with the largest payload, which takes too much memory to be
// open as often as the test submits it. It returns whether the job was refused.
func (h *testHome) submitLarge(timeout time.Duration) bool {
	h.seq++
	h.out = Output{}
	h.Submit(h.now, testEntry, &message.Submit{Request: h.seq, SentAt: h.now.Wall, Job: job.Job{
		ID:   job.Minted{Home: testSelf, Created: h.now.Wall, Minter: 3, Seq: h.seq}.ID(),
		Team: "records", Created: h.now.Wall, Timeout: timeout, Class: job.Urgent,
		Tasks: []job.Task{{Payload: make([]byte, job.MaxPayloadBytes)}},
	}}, &h.out)
	a, _ := h.answerAndStarts()
	return a != nil && a.Kind == errkind.NotRun
}

// TestOpenJobsAreBounded guards against jobs that wait, for which nobody does, and whose payloads
// take all memory. Once they are answered, there is room for others.
func TestOpenJobsAreBounded(t *testing.T) {
	const most, timeout = testOpenBytes / job.MaxPayloadBytes, time.Second
	h := newTestHome(t)
	h.site.setMatches(true)
	for range 2 {
		h.reportLoad(testSlots, false)
		for i := range most + 2 {
			if got, want := h.submitLarge(timeout), i >= most; got != want {
				t.Errorf("job %d: refused %v, want %v", i, got, want)
			}
		}
		for range 8 {
			h.now = h.now.After(timeout / 4)
			h.Tick(h.now, &h.out)
		}
	}
	if h.records.openBytes != 0 {
		t.Errorf("%d bytes are counted without an open job, want 0", h.records.openBytes)
	}
}

// TestCancelledJobsOfTheFuture guards against a caller that cancels jobs with IDs of its own making, whose
// creation times lie ahead: once their records are evicted, all jobs would count as too old.
func TestCancelledJobsOfTheFuture(t *testing.T) {
	h := newTestHome(t)
	h.site.setMatches(true)
	ahead := h.now.Wall + time.Hour.Milliseconds()
	for i := range 2 * testMaxRecords {
		id := job.Minted{Home: testSelf, Created: ahead, Minter: 4, Seq: uint64(i + 1)}.ID()
		h.Cancel(h.now, testEntry, &message.Cancel{ID: id, Request: uint64(i + 1)}, &h.out)
	}
	if a, starts := h.submitNew(job.Urgent, time.Second, 1); starts != 1 {
		t.Errorf("got answer %+v and %d starts of an ordinary job, want 1 start", a, starts)
	}
}
