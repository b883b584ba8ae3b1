// Package loop runs a deterministic state machine, the core, on one goroutine. It
// receives events through a bounded channel and executes the actions that the
// core returns in order.
package loop

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
)

// maxBatch is the largest number of events between two rounds of actions.
const maxBatch = 256

// idleTimer is the duration of the timer until the first call of SetTimer.
const idleTimer = time.Hour

// Config holds the settings of a Loop with events E and actions A.
type Config[E, A any] struct {
	// Step passes one event to the core and returns its actions. The next call may
	// reuse the returned slice.
	Step func(now clock.Now, event E) []A
	// EndBatch is called once after the calls of Step for a batch of events, and its
	// actions follow theirs. Work that depends on the state and not on single events
	// is thus done once for a batch. It may be nil.
	EndBatch func(now clock.Now) []A
	// Execute performs one action. It must not block.
	Execute func(action A)
	// BeforeActions is called after the events of a batch are handled and before its
	// actions are executed. Messages that the actions send can thus state the core's
	// offset after the batch. It may be nil.
	BeforeActions func()
	// Tick is the event that Step receives when the timer expires.
	Tick E
	// QueueSize is the number of queued events above which Post blocks.
	QueueSize int
	// Clock returns monotonic time since an arbitrary origin. When it is nil,
	// CLOCK_MONOTONIC since the start is used.
	Clock func() time.Duration
}

// Loop runs a core. Its methods are safe for concurrent use, except SetTimer,
// which only Config.Execute may call.
type Loop[E, A any] struct {
	cfg     Config[E, A]
	start   time.Time
	items   chan item[E]
	done    chan struct{}
	timer   *time.Timer
	actions []A
	waiters []chan struct{}
}

// item is an event, or a function to call between two batches.
type item[E any] struct {
	event E
	call  func()
	// done is closed once the item's actions have been executed. It may be nil.
	done chan struct{}
}

// New returns a loop that handles no events until Run is called.
func New[E, A any](cfg Config[E, A]) *Loop[E, A] {
	start := time.Now()
	if cfg.Clock == nil {
		cfg.Clock = func() time.Duration { return time.Since(start) }
	}
	return &Loop[E, A]{
		cfg:   cfg,
		start: start,
		items: make(chan item[E], cfg.QueueSize),
		done:  make(chan struct{}),
		timer: time.NewTimer(idleTimer),
	}
}

// Now returns the monotonic time and the wall-clock time for the core. The
// monotonic part is read from Config.Clock. CLOCK_MONOTONIC advances while the
// process is stopped by a signal or waits for a processor, but not while the whole
// host is suspended; the clock of BootClock advances then too. The wall-clock part
// is the wall-clock time of New plus the monotonic part, so that it never steps
// back: the age of a job record is computed from it.
func (l *Loop[E, A]) Now() clock.Now {
	mono := l.Mono()
	return clock.Now{Mono: mono, Wall: l.start.Add(mono).UnixMilli()}
}

// Mono returns the monotonic part of Now.
func (l *Loop[E, A]) Mono() time.Duration { return l.cfg.Clock() }

// Post queues an event. It blocks while the queue is full and reports false when
// the loop has ended.
func (l *Loop[E, A]) Post(event E) bool {
	return l.enqueue(item[E]{event: event})
}

// PostWait queues an event and waits until its actions have been executed.
// It reports false when the loop ended before that.
func (l *Loop[E, A]) PostWait(event E) bool {
	return l.enqueueAndWait(item[E]{event: event, done: make(chan struct{})})
}

// Call runs f on the goroutine of the loop and waits until f has returned. It
// reports false when the loop ended before that.
func (l *Loop[E, A]) Call(f func()) bool {
	return l.enqueueAndWait(item[E]{call: f, done: make(chan struct{})})
}

// Done returns a channel that is closed once the loop has ended.
func (l *Loop[E, A]) Done() <-chan struct{} { return l.done }

// SetTimer makes the timer expire at the monotonic time at, in place of its
// previous time.
func (l *Loop[E, A]) SetTimer(at time.Duration) {
	l.timer.Reset(max(at-l.Mono(), 0))
}

// Run handles events until ctx ends. It must be called once.
func (l *Loop[E, A]) Run(ctx context.Context) error {
	defer close(l.done)
	defer l.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case it := <-l.items:
			l.handle(it)
			l.handleQueued()
		case <-l.timer.C:
			l.step(l.cfg.Tick)
			l.handleQueued()
		}
		l.finishBatch()
	}
}

// handleQueued handles the items that are already queued, up to the size of a batch.
func (l *Loop[E, A]) handleQueued() {
	for range maxBatch - 1 {
		select {
		case it := <-l.items:
			l.handle(it)
		default:
			return
		}
	}
}

func (l *Loop[E, A]) handle(it item[E]) {
	if it.call != nil {
		it.call()
	} else {
		l.step(it.event)
	}
	if it.done != nil {
		l.waiters = append(l.waiters, it.done)
	}
}

func (l *Loop[E, A]) step(event E) {
	l.actions = append(l.actions, l.cfg.Step(l.Now(), event)...)
}

// finishBatch executes the actions of a batch and wakes the callers that wait for
// them.
func (l *Loop[E, A]) finishBatch() {
	if l.cfg.EndBatch != nil {
		l.actions = append(l.actions, l.cfg.EndBatch(l.Now())...)
	}
	if l.cfg.BeforeActions != nil {
		l.cfg.BeforeActions()
	}
	for _, a := range l.actions {
		l.cfg.Execute(a)
	}
	clear(l.actions)
	l.actions = l.actions[:0]
	for _, done := range l.waiters {
		close(done)
	}
	clear(l.waiters)
	l.waiters = l.waiters[:0]
}

func (l *Loop[E, A]) enqueue(it item[E]) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.items <- it:
		return true
	case <-l.done:
		return false
	}
}

func (l *Loop[E, A]) enqueueAndWait(it item[E]) bool {
	if !l.enqueue(it) {
		return false
	}
	select {
	case <-it.done:
		return true
	case <-l.done:
		return false
	}
}
