package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect a host that has
	// vanished while nothing is being sent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// unackedTimeout closes a connection whose sent bytes are not acknowledged.
	unackedTimeout = 3 * time.Second
)

// errMissingHello means that no hello arrived before the timeout or the close.
var errMissingHello = errors.New("the peer sent no hello")

// dial opens a connection to addr and waits for the peer's hello.
func (t *Transport) dial(ctx context.Context, addr string) (*conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	setSocketOptions(nc)
	c, err := t.open(t.ctx, nc, false)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.helloDone:
		return c, nil
	case <-c.rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	c.close()
	return nil, errMissingHello
}

// connect opens a connection to the address of a process, unless experiments refuse it.
func (t *Transport) connect(ctx context.Context, to node.ID, addr string) (*conn, error) {
	if t.refused(to) {
		return nil, syscall.ECONNREFUSED
	}
	return t.dial(ctx, addr)
}

// dial makes one connection attempt to addr, the address of the link's incarnation.
func (l *link) dial(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, l.t.cfg.DialTimeout)
	defer cancel()
	c, err := l.t.connect(ctx, l.ref.ID, addr)
	l.recordDial(err == nil && c.peer == l.ref)
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.refused()
		return
	}
	l.endRefusals()
	switch {
	case err != nil:
		klog.V(2).Infof("transport: connection to %s at %s failed: %v", l.ref, addr, err)
	case c.peer == l.ref:
	case c.peer.ID == l.ref.ID:
		l.declareEnded()
	default:
		klog.Warningf("transport: %s answered at the configured address of %s", c.peer, l.ref)
		c.close()
		l.suspect(liveness.Displaced)
	}
}

// suspect reports the first hint, since the incarnation was last reached, that it may have
// ended.
func (l *link) suspect(hint liveness.Sign) {
	if l.observe(hint) {
		klog.Infof("transport: %s may have ended: %s", l.ref, hint)
		l.t.cfg.Handler.PeerSuspect(l.ref, hint)
	}
}

// declareEnded reports the first proof that the incarnation has ended: another one serves its
// port.
func (l *link) declareEnded() {
	if l.observe(liveness.Restarted) {
		klog.Infof("transport: %s has ended: its port is served by another incarnation", l.ref)
		l.t.cfg.Handler.PeerDead(l.ref)
	}
}

// setSocketOptions sets the keep-alive and timeout of a TCP connection. On an
// error the defaults stay.
func setSocketOptions(nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveProbes,
	})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		millis := int(unackedTimeout.Milliseconds())
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
}
