package home

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestNoMatchWait checks how long a job waits that no upstream matches, and that
// it starts when one appears just before.
func TestNoMatchWait(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name string
		// changed and left are how long ago the fleet changed and a matching
		// upstream left; zero is never.
		changed, left time.Duration
		timeout, want time.Duration
	}{
		{"stable fleet", time.Minute, 0, 20 * s, 0},
		{"fleet is reshaping", s / 2, 0, 20 * s, 3 * s / 2},
		{"fleet is reshaping, short timeout", s / 2, 0, 2 * s, s / 2},
		{"an upstream left", 3 * s, 3 * s, 20 * s, 5 * s},
		{"an upstream left, short timeout", 3 * s, 3 * s, 4 * s, 3 * s},
		{"an upstream left long ago", time.Minute, 30 * s, 20 * s, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := unmatchedHome(t, test.changed, test.left)
			arrived := h.now.Mono
			a := h.submitUnmatched(test.timeout)
			for a == nil {
				a = h.next(t)
			}
			if a.Kind != errkind.NoUpstreamMatches || a.RetryAfter == 0 || h.now.Mono-arrived != test.want {
				t.Errorf("answer %+v after %v, want %v", a, h.now.Mono-arrived, test.want)
			}
			if test.want == 0 {
				return
			}
			h = unmatchedHome(t, test.changed, test.left)
			h.submitUnmatched(test.timeout)
			h.now = h.now.After(test.want - time.Millisecond)
			h.site.set(true)
			h.Place(h.now, &h.out)
			if a, starts := h.sent(); a != nil || starts != 1 {
				t.Errorf("a match appeared: answer %+v, %d starts", a, starts)
			}
		})
	}
}

// unmatchedHome returns a home whose executors match nothing.
func unmatchedHome(t *testing.T, changed, left time.Duration) *testHome {
	h := newTestHome(t)
	h.Tick(h.now, &h.out)
	h.now = h.now.After(time.Hour)
	h.site.set(false)
	h.Tick(h.now, &h.out)
	h.now = h.now.After(changed)
	if left > 0 {
		h.site.leftAt = h.now.Mono - left
	}
	return h
}

func (h *testHome) submitUnmatched(timeout time.Duration) *job.Answer {
	j := job.Job{
		ID:   job.Minted{Home: testSelf, Created: h.now.Wall, Minter: 1, Seq: 1}.ID(),
		Team: "records", Created: h.now.Wall, Timeout: timeout, Tasks: make([]job.Task, 1),
	}
	h.Submit(h.now, testEntry, &message.Submit{Request: 1, SentAt: h.now.Wall, Job: j}, &h.out)
	a, _ := h.sent()
	return a
}

// next moves to what is due next and returns the answer, if it came.
func (h *testHome) next(t *testing.T) *job.Answer {
	at, due := h.Next()
	if !due {
		t.Fatal("no answer")
	}
	h.now = h.now.After(at - h.now.Mono)
	h.Tick(h.now, &h.out)
	a, _ := h.sent()
	return a
}
