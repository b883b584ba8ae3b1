package home

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestNoMatchWait checks how long a job without a matching upstream waits before it
// is refused, and that the job starts when a match appears just before that time.
func TestNoMatchWait(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name string
		// changed is how long before the submission the set of upstreams changed;
		// left is how long before it a matching upstream left, or zero for never.
		changed, left time.Duration
		timeout, want time.Duration
	}{
		{"stable fleet", time.Minute, 0, 20 * s, 0},
		{"fleet has just changed", s / 2, 0, 20 * s, 3 * s / 2},
		{"fleet has just changed, short timeout", s / 2, 0, 2 * s, s / 2},
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
				a = h.advance(t)
			}
			if a.Kind != errkind.NoUpstreamMatches || a.RetryAfter == 0 || h.now.Mono-arrived != test.want {
				t.Errorf("got answer %+v after %v, want kind no_upstream_matches with a retry delay after %v", a, h.now.Mono-arrived, test.want)
			}
			if test.want == 0 {
				return
			}
			h = unmatchedHome(t, test.changed, test.left)
			h.submitUnmatched(test.timeout)
			h.now = h.now.After(test.want - time.Millisecond)
			h.site.setMatches(true)
			h.PlaceWaiting(h.now, &h.out)
			if a, starts := h.answerAndStarts(); a != nil || starts != 1 {
				t.Errorf("a match appeared: got answer %+v and %d starts, want no answer and 1 start", a, starts)
			}
		})
	}
}

// unmatchedHome returns a home without a matching upstream. The set of upstreams
// changed the given time ago; a matching one left the given time ago unless zero.
func unmatchedHome(t *testing.T, changed, left time.Duration) *testHome {
	h := newTestHome(t)
	h.Tick(h.now, &h.out)
	h.now = h.now.After(time.Hour)
	h.site.setMatches(false)
	h.Tick(h.now, &h.out)
	h.now = h.now.After(changed)
	if left > 0 {
		h.site.leftAt = h.now.Mono - left
	}
	return h
}

// submitUnmatched submits a job and returns its answer, or nil if there is none at
// once.
func (h *testHome) submitUnmatched(timeout time.Duration) *job.Answer {
	j := job.Job{
		ID:   job.Minted{Home: testSelf, Created: h.now.Wall, Minter: 1, Seq: 1}.ID(),
		Team: "records", Created: h.now.Wall, Timeout: timeout, Tasks: make([]job.Task, 1),
	}
	h.Submit(h.now, testEntry, &message.Submit{Request: 1, SentAt: h.now.Wall, Job: j}, &h.out)
	a, _ := h.answerAndStarts()
	return a
}

// advance moves the clock to the next timer, and returns the answer or nil.
func (h *testHome) advance(t *testing.T) *job.Answer {
	at, due := h.NextTick()
	if !due {
		t.Fatal("the job has no answer and no timer is set")
	}
	h.now = h.now.After(at - h.now.Mono)
	h.Tick(h.now, &h.out)
	a, _ := h.answerAndStarts()
	return a
}
