package loop

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
)

// tick is the event that a loop sends when its timer expires.
const tick = -1

// counter is a core that returns every event twice as its actions, in a slice that
// it reuses.
type counter struct {
	events  []int
	times   []time.Duration
	actions []int
}

func (c *counter) step(now clock.Now, event int) []int {
	c.events = append(c.events, event)
	c.times = append(c.times, now.Mono)
	c.actions = append(c.actions[:0], event, event)
	return c.actions
}

// start runs a loop until the returned function is called.
func start[E, A any](t *testing.T, l *Loop[E, A]) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = l.Run(ctx) }()
	stop = func() {
		cancel()
		<-l.Done()
	}
	t.Cleanup(stop)
	return stop
}

func TestActionsFollowEventsInOrder(t *testing.T) {
	core := &counter{}
	var executed []int
	l := New(Config[int, int]{Step: core.step, Execute: func(a int) { executed = append(executed, a) }, Tick: tick, QueueSize: 4})
	stop := start(t, l)
	const events = 3 * maxBatch
	for i := range events {
		if !l.Post(i) {
			t.Fatal("the loop ended")
		}
	}
	if !l.PostWait(events) {
		t.Fatal("the loop ended")
	}
	stop()
	if len(executed) != 2*(events+1) || !slices.IsSorted(executed) {
		t.Errorf("got %d actions, in order: %v, want two for each event, in order", len(executed), slices.IsSorted(executed))
	}
	if !slices.IsSorted(core.times) {
		t.Error("the time of a step is before that of the previous step")
	}
}

func TestTimerSendsTick(t *testing.T) {
	ticked := make(chan struct{})
	var once sync.Once
	l := New(Config[int, time.Duration]{
		Step: func(now clock.Now, event int) []time.Duration {
			if event == tick {
				once.Do(func() { close(ticked) })
				return nil
			}
			return []time.Duration{now.Mono}
		},
		Tick:      tick,
		QueueSize: 1,
	})
	l.cfg.Execute = l.SetTimer
	start(t, l)
	l.Post(1)
	<-ticked
}

func TestEndedLoopAcceptsNoEvents(t *testing.T) {
	core := &counter{}
	l := New(Config[int, int]{Step: core.step, Execute: func(int) {}, Tick: tick, QueueSize: 1})
	start(t, l)()
	if l.Post(1) || l.PostWait(2) || l.Call(func() { t.Error("an ended loop ran a call") }) {
		t.Error("an ended loop accepted an event or a call")
	}
	if len(core.events) != 0 {
		t.Errorf("got events %v, want none", core.events)
	}
}

// TestWaitersReturnWhenTheLoopEnds guards against callers of PostWait that block
// for ever because the loop ends while its queue is full.
func TestWaitersReturnWhenTheLoopEnds(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	l := New(Config[int, int]{
		Step: func(clock.Now, int) []int {
			once.Do(func() {
				close(entered)
				<-release
			})
			return nil
		},
		Tick:      tick,
		QueueSize: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = l.Run(ctx) }()
	l.Post(1)
	<-entered
	l.Post(2) // Fills the queue.
	returned := make(chan struct{})
	for range 3 {
		go func() {
			l.PostWait(3)
			returned <- struct{}{}
		}()
	}
	cancel()
	close(release)
	<-l.Done()
	for range 3 {
		<-returned
	}
}
