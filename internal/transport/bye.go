package transport

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"k8s.io/klog/v2"
)

// byeDials is how long the peer's bye is waited for, in units of
// Config.DialTimeout.
const byeDials = 3

// parting is the orderly end of a connection. The side that finds it idle says
// bye and sends nothing more on it; the other side sends what waits and says bye
// too; the first side closes once it has heard that, and so the other side knows
// that everything has been read. Nothing that was sent is lost, and the end is
// not reported as a reset.
type parting struct {
	// said is true from before bye is written, and written from after that.
	said, written bool
	heard         bool
	// answering is true when the peer's bye came first.
	answering bool
	// closed is true when this side closes because it has heard bye after its
	// own, and eof when the peer has closed.
	closed, eof bool
	// offered is true when the peer's hello says that it knows bye.
	offered bool
	// timer closes the connection when the other side does not go on.
	timer *time.Timer
}

// toClose reports whether this side closes now.
func (p *parting) toClose() bool {
	p.closed = p.written && p.heard && !p.answering
	return p.closed
}

// orderly reports whether everything that was sent has been read.
func (p *parting) orderly() bool { return p.said && p.heard && (p.closed || p.eof) }

// sayBye ends the sending on a connection that its link no longer uses. Only the
// sending goroutine of the link calls it.
func (c *conn) sayBye() {
	c.mu.Lock()
	c.parting.said = true
	c.parting.answering = c.parting.heard
	c.mu.Unlock()
	err := c.stream.notify(byePrefix, struct{}{})
	if err != nil {
		klog.V(2).Infof("transport: bye to %s failed: %v", c.peer, err)
	}
	c.mu.Lock()
	c.parting.said = err == nil
	c.parting.written = err == nil
	done := c.parting.toClose() || err != nil
	if !done {
		c.parting.timer = time.AfterFunc(byeDials*c.t.cfg.DialTimeout, c.close)
	}
	c.mu.Unlock()
	if done {
		c.close()
	}
}

// onBye takes the peer's bye. It reports whether the connection is to be closed.
func (c *conn) onBye() bool {
	c.mu.Lock()
	c.parting.heard = true
	done := c.parting.toClose()
	said := c.parting.said
	c.mu.Unlock()
	if !said && c.link != nil {
		c.link.signal()
	}
	return done
}

// onEOF notes that the peer has closed.
func (c *conn) onEOF() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parting.eof = true
}

// heardBye reports whether the peer will send nothing more.
func (c *conn) heardBye() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parting.heard
}

// ended stops the timer of a closed connection. It reports whether the
// connection was being ended, and whether that was orderly.
func (c *conn) ended() (parting, orderly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parting.timer != nil {
		c.parting.timer.Stop()
	}
	return c.parting.said || c.parting.heard, c.parting.orderly()
}

// used notes that messages have passed.
func (c *conn) used(messages []message.Message) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = now
	for i := range messages {
		if messages[i].Status == nil && messages[i].Records == nil {
			c.lastWork = now
			return
		}
	}
}

// idleAt returns when the connection may be ended if nothing passes until then,
// or false when the peer does not know bye.
func (c *conn) idleAt() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.lastUsed.Add(c.t.cfg.IdleTime)
	if work := c.lastWork.Add(c.t.cfg.WorkIdleTime); !c.lastWork.IsZero() && work.After(at) {
		at = work
	}
	return at, c.parting.offered
}
