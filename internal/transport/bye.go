package transport

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"k8s.io/klog/v2"
)

// byeTimeoutDials is how long a connection waits for the peer's bye, in units
// of Config.DialTimeout.
const byeTimeoutDials = 3

// closeHandshake is the state of the orderly close of a connection, by which no
// sent message is lost. The side that finds the connection idle sends bye, and
// nothing after it. The other side sends the rest of its messages and answers
// with its own bye. The first side closes when it receives that bye, which tells
// the other side that every message has been read. An orderly close is not
// reported as a reset.
type closeHandshake struct {
	// byeStarted is true from before bye is written, byeWritten from after that.
	// Both are false if the write has failed.
	byeStarted, byeWritten bool
	byeReceived            bool
	// peerFirst is true when the peer's bye arrived before this side sent one.
	peerFirst bool
	// localClosed is true when this side closes because the peer has answered
	// its bye, peerClosed when the peer has closed the connection.
	localClosed, peerClosed bool
	// peerSupportsBye is true when the peer's hello says that it supports bye.
	peerSupportsBye bool
	// timer closes the connection when the peer does not complete the handshake.
	timer *time.Timer
}

// mustClose reports whether this side closes the connection now, and stores the
// result in localClosed.
func (h *closeHandshake) mustClose() bool {
	h.localClosed = h.byeWritten && h.byeReceived && !h.peerFirst
	return h.localClosed
}

// orderly reports whether both sides have read everything that was sent.
func (h *closeHandshake) orderly() bool {
	return h.byeStarted && h.byeReceived && (h.localClosed || h.peerClosed)
}

// sendBye ends the sending on a connection that its link no longer uses. It is
// called only by the sending goroutine of the link.
func (c *conn) sendBye() {
	c.mu.Lock()
	c.closing.byeStarted = true
	c.closing.peerFirst = c.closing.byeReceived
	c.mu.Unlock()
	err := c.stream.notify(byePrefix, struct{}{})
	if err != nil {
		klog.V(2).Infof("transport: sending bye to %s failed: %v", c.peer, err)
	}
	c.mu.Lock()
	c.closing.byeStarted = err == nil
	c.closing.byeWritten = err == nil
	done := c.closing.mustClose() || err != nil
	if !done {
		c.closing.timer = time.AfterFunc(byeTimeoutDials*c.t.cfg.DialTimeout, c.close)
	}
	c.mu.Unlock()
	if done {
		c.close()
	}
}

// onBye handles the peer's bye and reports whether to close the connection.
func (c *conn) onBye() bool {
	c.mu.Lock()
	c.closing.byeReceived = true
	done := c.closing.mustClose()
	byeStarted := c.closing.byeStarted
	c.mu.Unlock()
	if !byeStarted && c.link != nil {
		c.link.signal()
	}
	return done
}

// onEOF records that the peer has closed the connection.
func (c *conn) onEOF() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing.peerClosed = true
}

// byeReceived reports whether the peer has sent bye and so sends nothing more.
func (c *conn) byeReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing.byeReceived
}

// finishClose stops the timer of a closed connection. It reports whether either
// side had started the close handshake, and whether the close was orderly.
func (c *conn) finishClose() (handshake, orderly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.timer != nil {
		c.closing.timer.Stop()
	}
	return c.closing.byeStarted || c.closing.byeReceived, c.closing.orderly()
}

// recordActivity stores the present time as that of the last activity, after
// messages were sent or received. If one of them is neither status nor records, it
// is also the time of the last work.
func (c *conn) recordActivity(messages []message.Message) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastActivityAt = now
	for i := range messages {
		if messages[i].Status == nil && messages[i].Records == nil {
			c.lastWorkAt = now
			return
		}
	}
}

// idleDeadline returns when the connection may be ended if no message is sent or
// received until then. It reports false when the peer does not support bye.
func (c *conn) idleDeadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.lastActivityAt.Add(c.t.cfg.IdleTime)
	if work := c.lastWorkAt.Add(c.t.cfg.WorkIdleTime); !c.lastWorkAt.IsZero() && work.After(at) {
		at = work
	}
	return at, c.closing.peerSupportsBye
}
