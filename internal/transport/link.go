package transport

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// maxBatchBytes bounds the estimated size of one envelope of several messages.
	maxBatchBytes = 512 << 10
	// minBackoff and maxBackoff bound the delay between connection attempts.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// suspectDialPause is the delay after a hint that the peer has ended. Its owner may open a
	// connection sooner.
	suspectDialPause = time.Second
	// maxConnsPerLink bounds the connections to one incarnation; both sides may
	// dial.
	maxConnsPerLink = 2
)

// queued is a message that waits to be sent.
type queued struct {
	msg      message.Message
	bytes    int
	queuedAt time.Time
	// sendAt is queuedAt plus the link delay.
	sendAt time.Time
}

// link holds the queue and the connections to one incarnation of a process. Its
// sending goroutine ends when it has nothing to wait for, and a signal starts it
// again.
type link struct {
	t   *Transport
	ref node.Ref
	// wake is a channel of capacity 1 that signals a change of the state.
	wake chan struct{}

	mu sync.Mutex
	// senderRunning is true while the sending goroutine runs.
	senderRunning bool
	queue         []queued
	queueBytes    int
	conns         []*conn
	addr          string
	// life is what is known of the end of the incarnation.
	life     liveness.Incarnation
	refusals refusals
	removed  bool
	backoff  time.Duration
	nextDial time.Time
}

func newLink(t *Transport, ref node.Ref) *link {
	return &link{t: t, ref: ref, wake: make(chan struct{}, 1)}
}

// signal notifies the sending goroutine that the state has changed, and starts it
// if it is not running.
func (l *link) signal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signalLocked()
}

func (l *link) signalLocked() {
	if !l.senderRunning {
		l.senderRunning = true
		go l.run(l.t.ctx)
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// enqueue adds a message and reports false when the queue is full.
func (l *link) enqueue(m message.Message, delay time.Duration) bool {
	now := time.Now()
	size := encodedBytes(&m)
	l.mu.Lock()
	if l.queueBytes+size > l.t.cfg.QueueBytes {
		l.mu.Unlock()
		return false
	}
	l.queue = append(l.queue, queued{msg: m, bytes: size, queuedAt: now, sendAt: now.Add(delay)})
	l.queueBytes += size
	l.signalLocked()
	l.mu.Unlock()
	return true
}

// action is what the sending goroutine does next. It waits when only wait is set.
type action struct {
	// done ends the goroutine, because there is nothing to wait for.
	done bool
	// bye is a connection to end, which the link no longer uses.
	bye *conn
	// conn is the connection to send batch on, dial the address to connect to.
	conn  *conn
	batch []message.Message
	dial  string
	wait  time.Duration
}

// run is the sending goroutine of the link.
func (l *link) run(ctx context.Context) {
	for {
		next := l.nextAction(time.Now())
		switch {
		case next.done:
			return
		case next.bye != nil:
			next.bye.sendBye()
		case next.conn != nil:
			next.conn.send(next.batch)
		case next.dial != "":
			l.dial(ctx, next.dial)
		}
		if next.wait != 0 && !l.sleep(ctx, next.wait) {
			return
		}
	}
}

// sleep waits for a signal or for d. It reports false when ctx has ended.
func (l *link) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-l.wake:
	case <-timer.C:
	}
	return true
}

// waitForever is a wait that only a signal can end.
const waitForever = -1

// nextAction returns what the sending goroutine does next, and records whether the
// goroutine ends.
func (l *link) nextAction(now time.Time) action {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.nextActionLocked(now)
	if next.wait == waitForever {
		next.done = true
	}
	l.senderRunning = !next.done
	return next
}

func (l *link) nextActionLocked(now time.Time) action {
	l.dropStale(now)
	if l.removed {
		l.dropAll()
		return action{done: true}
	}
	c, idleIn := l.connToEnd(now)
	switch {
	case c != nil:
		l.removeLocked(c)
		return action{bye: c}
	case len(l.queue) == 0:
		return l.emptyQueueAction(now, idleIn)
	case l.queue[0].sendAt.After(now):
		return action{wait: l.queue[0].sendAt.Sub(now)}
	case len(l.conns) > 0:
		return action{conn: l.conns[len(l.conns)-1], batch: l.nextBatch(now)}
	case l.addr == "" || l.ended():
		l.dropAll()
		return action{wait: waitForever}
	case l.nextDial.After(now):
		return action{wait: l.nextDial.Sub(now)}
	case l.t.cut(l.ref.ID):
		return action{wait: maxBackoff}
	default:
		return action{dial: l.addr}
	}
}

// connToEnd returns a connection to end: the oldest one above the limit, one whose
// peer has sent bye, or an idle one that this side can open again. When there is
// none, it returns the time until the next connection may become idle, or
// waitForever.
func (l *link) connToEnd(now time.Time) (*conn, time.Duration) {
	var wait time.Duration = waitForever
	if len(l.conns) > maxConnsPerLink {
		return l.conns[0], 0
	}
	if len(l.queue) > 0 && len(l.conns) < 2 {
		return nil, wait
	}
	for _, c := range l.conns {
		if c.byeReceived() {
			return c, 0
		}
		at, ok := c.idleDeadline()
		switch {
		case !ok || l.addr == "":
		case !at.After(now):
			return c, 0
		case wait < 0 || at.Sub(now) < wait:
			wait = at.Sub(now)
		}
	}
	return nil, wait
}

// removeLocked removes a connection from those that the link sends on.
func (l *link) removeLocked(c *conn) {
	if i := slices.Index(l.conns, c); i >= 0 {
		l.conns = slices.Delete(slices.Clone(l.conns), i, i+1)
	}
}

// nextBatch removes and returns the messages that are due, up to the size of one
// envelope.
func (l *link) nextBatch(now time.Time) []message.Message {
	limit := min(maxBatchBytes, l.t.cfg.MaxFrameBytes/2)
	var n, size int
	for n < len(l.queue) && !l.queue[n].sendAt.After(now) {
		size += l.queue[n].bytes
		if n > 0 && size > limit {
			break
		}
		n++
	}
	batch := make([]message.Message, n)
	for i := range batch {
		batch[i] = l.queue[i].msg
	}
	l.discard(n)
	return batch
}

// discard removes the first n queued messages.
func (l *link) discard(n int) {
	for i := range n {
		l.queueBytes -= l.queue[i].bytes
	}
	clear(l.queue[:n])
	l.queue = l.queue[n:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
}

// dropStale drops the messages that have waited longer than Config.QueueAge.
func (l *link) dropStale(now time.Time) {
	n := 0
	for n < len(l.queue) && now.Sub(l.queue[n].queuedAt) > l.t.cfg.QueueAge {
		n++
	}
	if n > 0 {
		l.t.counters.droppedStale.Add(uint64(n))
		l.discard(n)
	}
}

// dropAll drops the queue, because there is no address to send it to.
func (l *link) dropAll() {
	l.t.counters.droppedNoAddress.Add(uint64(len(l.queue)))
	l.queue, l.queueBytes = nil, 0
}

// setAddr replaces the configured address. Empty means that none is known.
func (l *link) setAddr(addr string) {
	l.mu.Lock()
	if l.addr != addr {
		l.addr = addr
		l.backoff, l.nextDial = 0, time.Time{}
		l.refusals = refusals{}
	}
	if len(l.queue)+len(l.conns) > 0 {
		l.signalLocked()
	}
	l.mu.Unlock()
}

// recordDial resets or increases the backoff after a connection attempt.
func (l *link) recordDial(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.backoff, l.nextDial = 0, time.Time{}
		return
	}
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	jittered := l.backoff/2 + rand.N(l.backoff/2)
	l.nextDial = time.Now().Add(jittered)
}

// ended reports whether it is proven that the incarnation has ended. The caller holds l.mu.
func (l *link) ended() bool {
	proof, _ := l.life.Ended()
	return proof != ""
}

// observe records a sign that the incarnation may have ended, and reports whether it is new:
// the first proof, or the first hint since the incarnation was last reached.
func (l *link) observe(s liveness.Sign) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended() || !s.Proves() && len(l.conns) > 0 {
		return false
	}
	l.nextDial = time.Now().Add(suspectDialPause)
	isNew := s.Proves() || l.life.Suspect() == ""
	l.life.Observe(time.Since(l.t.startedAt), s)
	return isNew
}

// attach adds an open connection. When this exceeds the limit, the sending
// goroutine ends the oldest connection with bye. If the peer of the oldest one
// does not support bye, attach returns it for the caller to close.
func (l *link) attach(c *conn) (excess *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	l.life.Heard()
	l.refusals = refusals{}
	l.backoff, l.nextDial = 0, time.Time{}
	if _, ok := l.conns[0].idleDeadline(); len(l.conns) > maxConnsPerLink && !ok {
		excess = l.conns[0]
	}
	l.signalLocked()
	return excess
}

// detach removes a connection and reports whether none is left.
func (l *link) detach(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
	return len(l.conns) == 0
}

// openConns returns the connections that are in use.
func (l *link) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.conns)
}

// removeIfUnused marks the link as removed if it has neither address nor connection,
// and reports whether it did. The sending goroutine then drops the queue and ends.
func (l *link) removeIfUnused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr != "" || len(l.conns) > 0 {
		return false
	}
	l.removed = true
	l.signalLocked()
	return true
}
