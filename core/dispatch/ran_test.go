package dispatch

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// TestMayHaveRun guards against refusing a submission, of which only the ID is known, as a job that
// never runs, while an earlier submission has run or may run.
func TestMayHaveRun(t *testing.T) {
	for name, tt := range map[string]struct {
		prepare func(b *testBed)
		want    bool
	}{
		"another job": {func(b *testBed) { b.submit("k", 0, 1, time.Millisecond) }, false},
		"refused": {func(b *testBed) {
			b.step(step.Drain{})
			b.submit("j", 0, 1, time.Millisecond)
		}, false},
		"open": {func(b *testBed) { b.submit("j", 0, 1, time.Millisecond) }, true},
		"completed": {func(b *testBed) {
			b.submit("j", 0, 1, time.Millisecond)
			b.complete(b.takeOffers()[0], message.RunDone, "")
		}, true},
		"given up": {func(b *testBed) {
			call := b.submit("j", 0, 1, time.Millisecond)
			b.confirmStart(b.takeOffers()[0])
			b.step(CallerGone{Call: call})
		}, true},
		"cancelled": {func(b *testBed) {
			b.submit("j", 0, 1, time.Millisecond)
			b.cancel("j")
		}, true},
		"paused": {func(b *testBed) {
			b.now += 2 * time.Second
			b.step(step.Tick{})
		}, true},
		"held":    {func(b *testBed) { b.learnHold("j", false, lease.LateStartExpiry) }, true},
		"crashed": {func(b *testBed) { b.crash(0, "r", "j") }, true},
	} {
		b := newTestBed(t)
		b.connectAgents(2, 4)
		tt.prepare(b)
		if got := b.core.MayHaveRun("j"); got != tt.want {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}
