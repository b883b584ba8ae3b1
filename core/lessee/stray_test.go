package lessee

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// TestStartTakenByAnotherLife: an upstream that crashes and comes back under its name
// may carry out a start that was meant for its former life. Nothing is said of the task
// until the new life is known to run it no more.
func TestStartTakenByAnotherLife(t *testing.T) {
	b := newBench(t)
	b.open()
	b.offer(d0, "j")
	s := b.starts[0]
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second, Running: []ActiveRun{{Name: s.Name, RunNumber: 1}}})
	b.step(StartCallCompleted{Handle: s.Handle, Result: CallOK})
	if len(b.ends) != 0 || b.core.Ready() {
		t.Fatalf("ready %t, said %+v while it runs there", b.core.Ready(), b.ends)
	}
	if len(b.stops) == 0 {
		t.Fatal("not stopped")
	}
	b.now += 10 * time.Millisecond
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second})
	if e := b.lastEnd(); e.Result != message.RunLost {
		t.Errorf("end %+v after the new life was seen without it", e)
	}
	if b.core.Ready() {
		t.Error("ready before the new life has said what it offers")
	}
	b.announce(2, 1, false)
	if !b.core.Ready() {
		t.Error("not ready after the announcement")
	}
}

// TestStrayRunEndsByItself: when the new life cannot be looked at, its longest lease
// ends what it may run.
func TestStrayRunEndsByItself(t *testing.T) {
	b := newBench(t)
	b.open()
	b.offer(d0, "j")
	started := b.now
	b.announce(2, 1, false)
	for b.now < started+lease.MaxUpstreamExpiry {
		if len(b.ends) != 0 {
			t.Fatalf("said %+v after %v", b.ends, b.now-started)
		}
		b.now += 20 * time.Millisecond
		b.alive(d0)
	}
	b.now += 20 * time.Millisecond
	b.alive(d0)
	if e := b.lastEnd(); e.Result != message.RunLost {
		t.Errorf("end %+v after the longest lease", e)
	}
}

// TestLookFromBeforeTheChange: a look that was sent before the agent knew of another life
// may have been answered by it before a start that was on its way as well. It does not
// say that nothing runs.
func TestLookFromBeforeTheChange(t *testing.T) {
	b := newBench(t)
	b.open()
	b.offer(d0, "j")
	before := b.looks[len(b.looks)-1].Token
	b.announce(2, 1, false)
	b.step(PollCompleted{SentAt: b.now, Token: before, Incarnation: 2, Clock: time.Second})
	if len(b.ends) != 0 || b.core.Ready() {
		t.Fatalf("ready %t, said %+v", b.core.Ready(), b.ends)
	}
	b.step(PollCompleted{Renewal: true, SentAt: b.now, Incarnation: 2, Clock: time.Second})
	if e := b.lastEnd(); e.Result != message.RunLost {
		t.Errorf("end %+v after a look with the new token", e)
	}
}
