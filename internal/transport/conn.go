package transport

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"
)

// hello is the first notification in each direction of a connection.
type hello struct {
	Version int      `json:"version"`
	Node    node.Ref `json:"node"`
	// Bye is true when the sender supports the notification "bye".
	Bye bool `json:"bye,omitempty"`
}

var (
	errVersionMismatch = errors.New("the peer has another protocol version")
	errExpectedHello   = errors.New("the peer sent another notification before its hello")
	errSecondHello     = errors.New("the peer sent a second hello")
	errBadHello        = errors.New("the hello has no process ID or incarnation")
	errSenderMismatch  = errors.New("the sender of the envelope is not the sender of the hello")
	errUnknownMethod   = errors.New("unknown method")
)

// conn is one connection. Its peer is known once helloDone is closed.
type conn struct {
	t      *Transport
	stream *stream
	rpc    *jsonrpc2.Conn
	remote string
	// incoming is set if the peer has opened the connection.
	incoming bool

	// peer is the sender of the received hello. The reading goroutine sets it once,
	// before it closes helloDone.
	peer      node.Ref
	helloDone chan struct{}
	// link is set once, before helloDone is closed. It stays nil if the transport
	// was already closed.
	link *link

	mu             sync.Mutex
	closing        closeHandshake
	lastActivityAt time.Time
	// lastWorkAt is when the last message other than status or records was sent or
	// received, or zero.
	lastWorkAt time.Time
}

// open sends hello on nc and starts to read. It takes ownership of nc, and closes it
// on an error.
func (t *Transport) open(ctx context.Context, nc net.Conn, incoming bool) (*conn, error) {
	c := &conn{t: t, remote: nc.RemoteAddr().String(), incoming: incoming, helloDone: make(chan struct{})}
	c.stream = newStream(nc, t.cfg.MaxFrameBytes, &t.counters.bytesIn, &t.counters.bytesOut)
	c.stream.onDeliver = c.onDeliver
	if err := c.stream.notify(helloPrefix, hello{Version: message.Version, Node: t.cfg.Self, Bye: true}); err != nil {
		_ = nc.Close()
		return nil, err
	}
	if err := nc.SetReadDeadline(time.Now().Add(t.cfg.DialTimeout)); err != nil {
		_ = nc.Close()
		return nil, err
	}
	c.rpc = jsonrpc2.NewConn(ctx, &closeReporter{stream: c.stream, c: c}, c, jsonrpc2.SetLogger(quietLogger{}))
	return c, nil
}

// quietLogger discards the log lines of jsonrpc2; closeReporter logs why a
// connection ended.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

// closeReporter logs the error that ends the reading of a connection.
type closeReporter struct {
	*stream
	c *conn
}

// ReadObject implements jsonrpc2.ObjectStream.
func (r *closeReporter) ReadObject(v any) error {
	err := r.stream.ReadObject(v)
	if err != nil {
		r.c.readFailed(err)
	}
	return err
}

// readFailed ends the connection after a read error.
func (c *conn) readFailed(err error) {
	if err == io.EOF {
		c.onEOF()
	}
	if !isConnectionError(err) {
		c.t.counters.badFrames.Add(1)
		klog.Warningf("transport: closing the connection from %s: %v", c.remote, err)
	} else {
		klog.V(2).Infof("transport: connection with %s ended: %v", c.remote, err)
	}
	c.close()
}

// isConnectionError reports whether err is the end of a connection, as opposed to
// invalid data from the peer.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) ||
		(errors.As(err, &netErr) && !netErr.Timeout())
}

// Handle implements jsonrpc2.Handler for everything but the deliver
// notifications that the stream decodes itself. It runs on the reading goroutine.
func (c *conn) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if err := c.handle(req); err != nil {
		c.readFailed(err)
	}
}

func (c *conn) handle(req *jsonrpc2.Request) error {
	if req.Params == nil || !req.Notif {
		return errBadFrame
	}
	switch req.Method {
	case methodHello:
		return c.onHello(*req.Params)
	case methodDeliver:
		env := &message.Envelope{}
		if err := json.Unmarshal(*req.Params, env); err != nil {
			return errors.Wrap(errBadFrame, err.Error())
		}
		return c.onDeliver(env)
	case methodBye:
		if !c.helloReceived() {
			return errExpectedHello
		}
		if c.onBye() {
			c.close()
		}
		return nil
	default:
		return errors.Wrapf(errUnknownMethod, "%.32q", req.Method)
	}
}

func (c *conn) helloReceived() bool {
	select {
	case <-c.helloDone:
		return true
	default:
		return false
	}
}

func (c *conn) onHello(params json.RawMessage) error {
	var h hello
	if err := json.Unmarshal(params, &h); err != nil {
		return errors.Wrap(errBadFrame, err.Error())
	}
	switch {
	case c.helloReceived():
		return errSecondHello
	case h.Version != message.Version:
		return errors.Wrapf(errVersionMismatch, "version %d, want %d", h.Version, message.Version)
	case h.Node.ID == "" || h.Node.Incarnation == 0:
		return errBadHello
	}
	if err := c.stream.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.stream.maxRead.Store(int64(c.t.cfg.MaxFrameBytes))
	if tcp, ok := c.stream.conn.(*net.TCPConn); ok && c.incoming {
		_ = tcp.SetReadBuffer(peerBufferBytes) // A smaller buffer only makes large messages slower.
	}
	c.peer = h.Node
	c.mu.Lock()
	c.closing.peerSupportsBye = h.Bye
	c.lastActivityAt = time.Now()
	c.mu.Unlock()
	c.t.attach(c)
	close(c.helloDone)
	return nil
}

func (c *conn) onDeliver(env *message.Envelope) error {
	if !c.helloReceived() {
		return errExpectedHello
	}
	if env.From != c.peer {
		return errSenderMismatch
	}
	if !wellFormed(env) {
		return errors.Wrap(errBadFrame, "a message must set exactly one field")
	}
	if env.To != c.t.cfg.Self {
		c.t.counters.misaddressed.Add(1)
		return nil
	}
	c.t.counters.envelopesIn.Add(1)
	c.t.counters.messagesIn.Add(uint64(len(env.Messages)))
	c.t.counters.received.add(env.Messages)
	c.recordActivity(env.Messages)
	c.t.cfg.Handler.Deliver(*env)
	return nil
}

// send writes a batch of messages as one envelope. If the envelope is too large, or
// experiments have cut the peer off, the batch is dropped and the connection stays
// open. Any other error closes the connection.
func (c *conn) send(batch []message.Message) {
	if c.t.cut(c.peer.ID) {
		c.t.counters.droppedCut.Add(uint64(len(batch)))
		return
	}
	env := message.Envelope{From: c.t.cfg.Self, To: c.peer, Messages: batch}
	if c.t.cfg.Annotate != nil {
		c.t.cfg.Annotate(&env)
	}
	err := c.stream.notify(deliverPrefix, &env)
	if err == nil {
		c.t.counters.envelopesOut.Add(1)
		c.t.counters.messagesOut.Add(uint64(len(batch)))
		c.t.counters.sent.add(batch)
		c.recordActivity(batch)
		return
	}
	c.t.counters.droppedOther.Add(uint64(len(batch)))
	if errors.Is(err, errFrameTooLarge) {
		klog.Errorf("transport: dropped an envelope to %s: %v", c.peer, err)
		return
	}
	klog.V(2).Infof("transport: write to %s failed: %v", c.peer, err)
	c.close()
}

// close ends the connection. It may be called more than once.
func (c *conn) close() {
	_ = c.stream.Close()
	c.t.detach(c)
}
