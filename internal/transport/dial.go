package transport

import (
	"context"
	"net"
	"syscall"
	"time"

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
	// unackedTimeout closes a connection whose sent bytes stay unacknowledged.
	unackedTimeout = 3 * time.Second
)

// dial makes one connection attempt to addr and waits for the peer's hello.
func (l *link) dial(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, l.t.cfg.DialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.dialed(false)
		l.proveDead("its port refused a connection")
		return
	}
	if err != nil {
		klog.V(2).Infof("transport: connection to %s at %s failed: %v", l.ref, addr, err)
		l.dialed(false)
		return
	}
	tune(nc)
	c, err := l.t.open(l.t.ctx, nc)
	if err != nil {
		l.dialed(false)
		return
	}
	select {
	case <-c.helloDone:
	case <-c.rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	l.checkHello(c)
}

// checkHello compares the process that answered with the one that was addressed.
func (l *link) checkHello(c *conn) {
	if !c.saidHello() {
		l.dialed(false)
		c.close()
		return
	}
	l.dialed(c.peer == l.ref)
	switch {
	case c.peer == l.ref:
	case c.peer.ID == l.ref.ID:
		l.proveDead("its port is served by another incarnation")
	default:
		klog.Warningf("transport: %s answered at the address of %s", c.peer, l.ref)
		c.close()
	}
}

func (l *link) proveDead(why string) {
	if !l.markDead() {
		return
	}
	klog.Infof("transport: %s has ended: %s", l.ref, why)
	l.t.cfg.Handler.PeerDead(l.ref)
}

// tune sets the socket options of a connection. Errors leave the defaults.
func tune(nc net.Conn) {
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
