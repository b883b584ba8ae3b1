// Package transport carries message envelopes between processes as JSON-RPC 2.0
// notifications over TCP.
//
// The first notification in each direction of a connection is "hello" with the
// protocol version and the sender's node.Ref. Each "deliver" after it carries
// one message.Envelope. Frames have a varint length prefix.
//
// Connections are opened on demand. A side that knows the other's address ends an
// idle connection: IdleTime after the last message, and WorkIdleTime after the
// last message other than status and records. The close loses no message and is
// not reported as a reset; see closeHandshake. Any open connection between two
// incarnations carries messages both ways, so that a process can answer peers
// whose address it does not know. Messages that are queued while a write is in
// progress are sent in one envelope. Messages may be lost, but they are never
// delivered to another incarnation than the addressed one.
//
// A hello at a configured address with the same ID and another incarnation proves
// that the addressed incarnation has ended. A process must therefore listen before
// it publishes its address, and must not close its transport while it can still
// start a task. A refused connection, and a hello of another process, are reported
// as hints, and the address is dialled again while messages wait, or until the
// refusal has lasted for Config.RefusalLimit. Missing replies,
// resets and timeouts are not reported. See docs/design/liveness.md.
package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/listen"
	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// Defaults of the limits in Config.
const (
	DefaultMaxFrameBytes = 32 << 20
	DefaultQueueBytes    = 32 << 20
	DefaultDialTimeout   = time.Second
	// DefaultQueueAge is short, since durations in a message, such as the time left, are
	// as of Send: a long wait makes them wrong.
	DefaultQueueAge = 2 * time.Second
	// DefaultIdleTime is longer than the interval of the status queries to a
	// watched peer, so that these keep the connection open.
	DefaultIdleTime = 3 * time.Second
	// DefaultWorkIdleTime is longer than the longest interval after which an
	// unanswered request is repeated. A connection thus stays open while an answer
	// is pending, and the end of the peer is noticed on it.
	DefaultWorkIdleTime = 30 * time.Second
)

const (
	// maxConns bounds the open connections; further incoming ones are refused.
	maxConns = 4096
	// maxAwaitingHello bounds the incoming connections whose peer is not known yet.
	maxAwaitingHello = 512
	// helloBufferBytes is the size of the receive buffer of an incoming connection until the
	// peer's hello, and peerBufferBytes after it. The kernel may reduce the latter.
	helloBufferBytes = 16 << 10
	peerBufferBytes  = 1 << 20
)

// acceptRetry is the delay before the next accept after one has failed.
const acceptRetry = 50 * time.Millisecond

// Handler receives envelopes and events of peers. Its methods are called on the
// transport's goroutines and must not block.
type Handler interface {
	// Deliver receives an envelope that is addressed to this incarnation.
	Deliver(env message.Envelope)
	// PeerReset reports that the last connection with ref was lost, so that
	// messages sent on it may be lost too.
	PeerReset(ref node.Ref)
	// PeerSuspect reports the first hint, since ref was last reached, that ref may have
	// ended: liveness.Refused or liveness.Displaced. It also reports once, with
	// liveness.RefusedLong, that ref has refused connections for Config.RefusalLimit.
	PeerSuspect(ref node.Ref, hint liveness.Sign)
	// PeerDead reports that the incarnation ref has certainly ended.
	PeerDead(ref node.Ref)
}

// Peer is the configured address of one incarnation of a process.
type Peer struct {
	Ref  node.Ref
	Addr string
}

// Config holds the settings of a Transport. Zero limits take the defaults.
type Config struct {
	// Self is the ID and incarnation of this process.
	Self node.Ref
	// Listen is the IP:port to accept connections on.
	Listen string
	// Handler receives envelopes and events of peers.
	Handler Handler
	// Annotate sets Offset and Load of an envelope right before it is encoded. It
	// may be nil.
	Annotate func(env *message.Envelope)
	// Delay returns the one-way delay that experiments add to the link to a process.
	// It may be nil.
	Delay func(to node.ID) time.Duration
	// Cut reports whether experiments cut the link to a process, so that messages to
	// it are dropped. It may be nil.
	Cut func(to node.ID) bool
	// Refused reports whether experiments make the link to a process refuse connections
	// and reset those that are open. It may be nil.
	Refused func(to node.ID) bool
	// RefusalLimit is how long a peer must refuse connections, without being reached, until
	// liveness.RefusedLong is reported. Zero means that it never is.
	RefusalLimit time.Duration
	// MaxFrameBytes bounds one encoded notification.
	MaxFrameBytes int
	// QueueBytes bounds the approximate size of the messages queued to one peer.
	QueueBytes int
	// QueueAge is how long a message waits for a connection before it is dropped.
	QueueAge time.Duration
	// DialTimeout bounds a connection attempt and the wait for a hello.
	DialTimeout time.Duration
	// IdleTime and WorkIdleTime are the times without messages after which a
	// connection is ended; see the package comment.
	IdleTime, WorkIdleTime time.Duration
}

// Transport exchanges envelopes with other processes. All methods are safe for
// concurrent use.
type Transport struct {
	cfg      Config
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	counters counters
	// startedAt is the origin of the times of signs.
	startedAt time.Time

	mu     sync.Mutex
	closed bool
	// awaitingHello counts incoming connections whose peer has not sent hello.
	awaitingHello int
	links         map[node.Ref]*link
	conns         map[*conn]struct{}
}

// Listen opens the listening socket. Incoming connections are accepted once Run
// is called; messages can be sent before that.
func Listen(cfg Config) (*Transport, error) {
	if cfg.Handler == nil || cfg.Self.ID == "" || cfg.Self.Incarnation == 0 {
		return nil, errors.New("transport.Config lacks Handler, Self.ID or Self.Incarnation")
	}
	cfg.setDefaults()
	listener, err := listen.TCP(cfg.Listen, helloBufferBytes)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	t := &Transport{
		cfg:      cfg,
		listener: listener,
		links:    make(map[node.Ref]*link),
		conns:    make(map[*conn]struct{}),

		startedAt: time.Now(),
	}
	t.counters.sent, t.counters.received = newKindCounters(), newKindCounters()
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t, nil
}

func (cfg *Config) setDefaults() {
	if cfg.MaxFrameBytes == 0 {
		cfg.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if cfg.QueueBytes == 0 {
		cfg.QueueBytes = DefaultQueueBytes
	}
	if cfg.QueueAge == 0 {
		cfg.QueueAge = DefaultQueueAge
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.IdleTime == 0 {
		cfg.IdleTime = DefaultIdleTime
	}
	if cfg.WorkIdleTime == 0 {
		cfg.WorkIdleTime = DefaultWorkIdleTime
	}
}

// Addr returns the bound IP:port.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// SetPeers replaces the configured addresses. Open connections stay open.
func (t *Transport) SetPeers(peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addrs := make(map[node.Ref]string, len(peers))
	for _, p := range peers {
		if p.Ref == t.cfg.Self {
			continue
		}
		addrs[p.Ref] = p.Addr
		t.linkLocked(p.Ref)
	}
	for ref, l := range t.links {
		l.setAddr(addrs[ref])
		if l.removeIfUnused() {
			delete(t.links, ref)
		}
	}
}

// linkLocked returns the link to ref and creates it if there is none. It returns
// nil when there is none and the transport is closed.
func (t *Transport) linkLocked(ref node.Ref) *link {
	if l, ok := t.links[ref]; ok || t.closed {
		return l
	}
	l := newLink(t, ref)
	t.links[ref] = l
	return l
}

// Send queues m for the incarnation to. It never blocks. The message is dropped
// and counted when the queue is full, or when there is neither an address nor a
// connection. Messages to this process itself are not carried.
func (t *Transport) Send(to node.Ref, m message.Message) {
	if t.cut(to.ID) {
		t.counters.droppedCut.Add(1)
		return
	}
	t.mu.Lock()
	l, ok := t.links[to]
	t.mu.Unlock()
	if !ok {
		t.counters.droppedNoAddress.Add(1)
		return
	}
	if t.refused(to.ID) {
		t.Reset(to)
	}
	var delay time.Duration
	if t.cfg.Delay != nil {
		delay = t.cfg.Delay(to.ID)
	}
	if !l.enqueue(m, delay) {
		t.counters.droppedFull.Add(1)
	}
}

// Connect opens a connection to a process whose incarnation is not known, and
// returns the incarnation that answers. Both sides then send on the connection.
func (t *Transport) Connect(ctx context.Context, addr string) (node.Ref, error) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.DialTimeout)
	defer cancel()
	c, err := t.dial(ctx, addr)
	if err != nil {
		return node.Ref{}, err
	}
	return c.peer, nil
}

// Connected reports whether a connection with an incarnation is open.
func (t *Transport) Connected(to node.Ref) bool {
	t.mu.Lock()
	l, ok := t.links[to]
	t.mu.Unlock()
	return ok && len(l.openConns()) > 0
}

// Reset closes the connections with an incarnation that has become unresponsive
// although its connections show no error. The next message opens a new one.
func (t *Transport) Reset(to node.Ref) {
	t.mu.Lock()
	l, ok := t.links[to]
	t.mu.Unlock()
	if !ok {
		return
	}
	for _, c := range l.openConns() {
		c.close()
	}
}

func (t *Transport) cut(to node.ID) bool {
	return t.cfg.Cut != nil && t.cfg.Cut(to)
}

func (t *Transport) refused(to node.ID) bool {
	return t.cfg.Refused != nil && t.cfg.Refused(to)
}

// Run accepts connections until ctx ends or Close is called, then closes the
// transport.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.Close() })
	defer stop()
	for {
		nc, err := t.listener.Accept()
		if t.ctx.Err() != nil {
			if err == nil {
				_ = nc.Close()
			}
			return nil
		}
		if err != nil {
			klog.Errorf("transport: accept failed: %v", err)
			time.Sleep(acceptRetry)
			continue
		}
		go t.accept(nc)
	}
}

// accept serves an incoming connection, or closes it when there are too many.
func (t *Transport) accept(nc net.Conn) {
	t.mu.Lock()
	full := t.awaitingHello+len(t.conns) >= maxConns || t.awaitingHello >= maxAwaitingHello
	if !full {
		t.awaitingHello++
	}
	t.mu.Unlock()
	if full {
		klog.Warningf("transport: refused a connection from %s: too many connections", nc.RemoteAddr())
		_ = nc.Close()
		return
	}
	setSocketOptions(nc)
	c, err := t.open(t.ctx, nc, true)
	if err == nil {
		select {
		case <-c.helloDone:
		case <-c.rpc.DisconnectNotify():
		}
	}
	t.mu.Lock()
	t.awaitingHello--
	t.mu.Unlock()
}

// attach registers a connection whose peer has sent hello.
func (t *Transport) attach(c *conn) {
	t.mu.Lock()
	l := t.linkLocked(c.peer)
	if l == nil {
		t.mu.Unlock()
		_ = c.stream.Close()
		return
	}
	c.link = l
	t.conns[c] = struct{}{}
	excess := l.attach(c)
	t.mu.Unlock()
	if excess != nil {
		excess.close()
	}
}

// detach unregisters a closed connection and reports a reset if messages may be
// lost.
func (t *Transport) detach(c *conn) {
	if t.unregister(c) {
		t.cfg.Handler.PeerReset(c.peer)
	}
}

// unregister removes a connection from its link, and the link if it is unused. It
// reports whether the transport is open and messages may be lost: the link has no
// other connection, or the close handshake was not completed.
func (t *Transport) unregister(c *conn) bool {
	handshake, orderly := c.finishClose()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.conns[c]; !ok {
		return false
	}
	delete(t.conns, c)
	last := c.link.detach(c)
	if t.links[c.peer] == c.link && c.link.removeIfUnused() {
		delete(t.links, c.peer)
	}
	return (last || handshake) && !orderly && !t.closed
}

// Close closes the socket and all connections. Queued messages are dropped.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	err := t.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
