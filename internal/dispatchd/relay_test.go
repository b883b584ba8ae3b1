package dispatchd

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// relay forwards connections from a fixed address to a process, and can disturb them.
type relay struct {
	t    *testing.T
	addr string

	mu       sync.Mutex
	listener net.Listener
	target   string
	conns    map[net.Conn]bool
	// pass is closed while data passes. A silent relay keeps connections open.
	pass chan struct{}
}

func newRelay(t *testing.T) *relay {
	pass := make(chan struct{})
	close(pass)
	r := &relay{t: t, addr: relayIP() + ":0", conns: make(map[net.Conn]bool), pass: pass}
	r.open()
	r.addr = r.listener.Addr().String()
	t.Cleanup(func() {
		r.setSilent(false)
		r.refuse()
	})
	return r
}

func (r *relay) setTarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// relays counts the relays of this process.
var relays atomic.Uint32

// relayIP returns a loopback address of its own for a relay. An outgoing connection of another
// process could otherwise take the port while the relay refuses connections.
func relayIP() string {
	pid, n := os.Getpid(), relays.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(128 + n%100), byte(pid >> 8), byte(pid)}).String()
}

// open accepts connections, if the relay does not yet.
func (r *relay) open() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		return
	}
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.listener = listener
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
}

// refuse refuses connections and resets the open ones.
func (r *relay) refuse() {
	r.mu.Lock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	r.mu.Unlock()
	r.reset()
}

// reset resets the open connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (r *relay) setSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.pass:
		if silent {
			r.pass = make(chan struct{})
		}
	default:
		if !silent {
			close(r.pass)
		}
	}
}

func (r *relay) passes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pass
}

func (r *relay) serve(from net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	to, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0)
		_ = from.Close()
		return
	}
	r.mu.Lock()
	r.conns[from], r.conns[to] = true, true
	r.mu.Unlock()
	var wg sync.WaitGroup
	forward := func(a, b net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := a.Read(buf)
			<-r.passes()
			if _, writeErr := b.Write(buf[:n]); err != nil || writeErr != nil {
				break
			}
		}
		_ = a.Close()
		_ = b.Close()
	}
	wg.Go(func() { forward(from, to) })
	wg.Go(func() { forward(to, from) })
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
}
