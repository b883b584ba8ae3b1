package httpserver

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

const (
	// lingerTime is how long a connection stays open after the answer to a request whose body was
	// not read. If the socket were closed at once, the client's system could discard the answer.
	lingerTime = 500 * time.Millisecond
	// stalledAnswerTime is how long a client may leave an answer unread while there are more
	// connections than the limit.
	stalledAnswerTime = time.Second
	// minExpiryInterval and maxExpiryInterval bound the time between two checks for connections
	// that have exceeded a time limit.
	minExpiryInterval = 5 * time.Millisecond
	maxExpiryInterval = 500 * time.Millisecond
)

// phase is what a connection is used for.
type phase uint8

const (
	// phaseLingering: the request was refused before its body was read, and has been answered.
	phaseLingering phase = iota
	// phaseAnswering: a part of an answer is being written.
	phaseAnswering
	// phaseIdle: no byte of a request has been read since the last answer.
	phaseIdle
	// phaseHeader and phaseBody: a part of a request has been read.
	phaseHeader
	phaseBody
	// phaseHandling: a whole request has been read and is not answered.
	phaseHandling
	phases
)

var phaseNames = [phases]string{"lingering", "answering", "idle", "header", "body", "handling"}

// admission bounds the open connections of a server. Once there are as many as permitted, a new
// connection takes the place of one that does not wait for an answer: the one that has been in
// its phase for the longest time, in the order of the phases. If all wait for an answer, the new
// one is refused. A connection that is replaced or refused is closed without an answer: a refusal
// would say that the request never runs, which may be untrue of a repeated one.
type admission struct {
	max     int
	metrics *telemetry.Metrics
	logs    *telemetry.Logger
	// headerTimeout and idleTimeout are durations in nanoseconds.
	headerTimeout, idleTimeout atomic.Int64

	mu   sync.Mutex
	open int
	// byPhase holds the *admittedConn in each phase, in the order in which they entered it.
	byPhase [phases]list.List
}

// admittedConn is an open connection. admission.mu guards its fields.
type admittedConn struct {
	net.Conn
	a       *admission
	phase   phase
	since   time.Time
	element *list.Element
	// evicted is set when the connection is closed to make room or after a time limit. No request
	// of it is processed any more.
	evicted bool
	// unread is set if a request was refused before its body was read.
	unread    bool
	closeOnce sync.Once
}

// admittingListener admits the connections that it accepts.
type admittingListener struct {
	net.Listener
	a *admission
}

// Accept implements net.Listener.
func (l admittingListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.a.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit returns the admitted connection, or nil if it was refused.
func (a *admission) admit(inner net.Conn) *admittedConn {
	c := &admittedConn{Conn: inner, a: a, phase: phaseIdle}
	a.mu.Lock()
	var victim *admittedConn
	if a.open >= a.max {
		if victim = a.victimLocked(time.Now()); victim == nil {
			a.mu.Unlock()
			a.report("refused", phaseIdle, inner)
			_ = inner.Close()
			return nil
		}
		victim.removeLocked()
		victim.evicted = true
	}
	a.open++
	c.enterLocked(phaseIdle)
	a.mu.Unlock()
	if victim != nil {
		a.report("evicted", victim.phase, victim)
		_ = victim.Conn.Close()
	}
	return c
}

// victimLocked returns the connection to close for a new one, or nil if all wait for an answer.
func (a *admission) victimLocked(now time.Time) *admittedConn {
	for p := phaseLingering; p < phaseHandling; p++ {
		oldest := a.byPhase[p].Front()
		if oldest == nil {
			continue
		}
		c := oldest.Value.(*admittedConn)
		if p != phaseAnswering || now.Sub(c.since) >= stalledAnswerTime {
			return c
		}
	}
	return nil
}

// report counts and logs a connection that was closed by the server.
func (a *admission) report(reason string, p phase, c net.Conn) {
	if a.metrics != nil {
		a.metrics.ConnectionsClosed(reason).Inc()
	}
	if a.logs != nil {
		a.logs.Info("connection "+reason, "phase", phaseNames[p], "remote", c.RemoteAddr().String(), "limit", a.max)
	}
}

// enterLocked puts the connection at the end of those in phase p.
func (c *admittedConn) enterLocked(p phase) {
	if c.element != nil {
		c.a.byPhase[c.phase].Remove(c.element)
	}
	c.phase, c.since = p, time.Now()
	c.element = c.a.byPhase[p].PushBack(c)
}

// removeLocked ends the tracking of the connection.
func (c *admittedConn) removeLocked() {
	if c.element != nil {
		c.a.byPhase[c.phase].Remove(c.element)
		c.element = nil
		c.a.open--
	}
}

// enter changes the phase from one of the given to another one. It returns false if the
// connection was evicted.
func (c *admittedConn) enter(to phase, from ...phase) bool {
	c.a.mu.Lock()
	defer c.a.mu.Unlock()
	if c.evicted || c.element == nil {
		return false
	}
	for _, p := range from {
		if c.phase == p {
			c.enterLocked(to)
			break
		}
	}
	return true
}

// Read implements net.Conn.
func (c *admittedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.enter(phaseHeader, phaseIdle) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. Before the whole request has been read, it leaves the phase as it is.
func (c *admittedConn) Write(p []byte) (int, error) {
	if !c.enter(phaseAnswering, phaseHandling) {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.enter(phaseHandling, phaseAnswering)
	return n, err
}

// Close implements net.Conn. If a request was refused before its body was read, the socket is
// closed later.
func (c *admittedConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.a.mu.Lock()
		linger := c.unread && c.element != nil
		if linger {
			c.enterLocked(phaseLingering)
		}
		c.a.mu.Unlock()
		if !linger {
			err = c.closeSocket()
			return
		}
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		time.AfterFunc(lingerTime, func() { _ = c.closeSocket() })
	})
	return err
}

func (c *admittedConn) closeSocket() error {
	c.a.mu.Lock()
	c.removeLocked()
	c.a.mu.Unlock()
	return c.Conn.Close()
}

// expire closes the connections that have exceeded a time limit.
func (a *admission) expire(now time.Time) {
	limits := map[phase]time.Duration{
		phaseIdle: time.Duration(a.idleTimeout.Load()), phaseHeader: time.Duration(a.headerTimeout.Load()), phaseAnswering: answerWriteTimeout,
	}
	var expired []*admittedConn
	a.mu.Lock()
	for p, limit := range limits {
		for e := a.byPhase[p].Front(); e != nil; e = a.byPhase[p].Front() {
			c := e.Value.(*admittedConn)
			if now.Sub(c.since) < limit {
				break
			}
			c.removeLocked()
			c.evicted = true
			expired = append(expired, c)
		}
	}
	a.mu.Unlock()
	for _, c := range expired {
		if c.phase != phaseIdle {
			a.report("expired", c.phase, c)
		}
		_ = c.Conn.Close()
	}
}

// run closes connections that exceed time limits, until stop is closed.
func (a *admission) run(stop <-chan struct{}) {
	for {
		shortest := time.Duration(min(a.headerTimeout.Load(), a.idleTimeout.Load()))
		timer := time.NewTimer(min(max(shortest/4, minExpiryInterval), maxExpiryInterval))
		select {
		case <-stop:
			timer.Stop()
			return
		case now := <-timer.C:
			a.expire(now)
		}
	}
}

// closeAll closes all sockets.
func (a *admission) closeAll() {
	a.mu.Lock()
	var open []*admittedConn
	for p := range a.byPhase {
		for e := a.byPhase[p].Front(); e != nil; e = e.Next() {
			open = append(open, e.Value.(*admittedConn))
		}
	}
	a.mu.Unlock()
	for _, c := range open {
		_ = c.closeSocket()
	}
}

// admittedOf returns the admitted connection below those that other layers have put around it.
func admittedOf(c net.Conn) *admittedConn {
	for {
		switch layer := c.(type) {
		case *admittedConn:
			return layer
		case interface{ NetConn() net.Conn }:
			c = layer.NetConn()
		default:
			return nil
		}
	}
}

// stateChanged implements http.Server.ConnState.
func (a *admission) stateChanged(c net.Conn, state http.ConnState) {
	if admitted := admittedOf(c); admitted != nil && state == http.StateIdle {
		admitted.enter(phaseIdle, phaseAnswering, phaseHandling, phaseBody, phaseHeader)
	}
}

// wrap returns a handler that processes no request of a connection that was evicted.
func (a *admission) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil {
			next := phaseHandling
			if r.ContentLength != 0 {
				next = phaseBody
			}
			if !c.enter(next, phaseIdle, phaseHeader) {
				panic(http.ErrAbortHandler)
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// connOf returns the connection of a request, or nil if its server is not a Server.
func connOf(ctx context.Context) *admittedConn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return admittedOf(c)
}
