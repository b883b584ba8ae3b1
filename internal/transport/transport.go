// Package transport carries message envelopes between processes as JSON-RPC 2.0
// notifications over TCP.
package transport

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Handler receives what arrives. Its methods are called from the transport's
// goroutines and must return soon.
type Handler interface {
	// Deliver receives an envelope that is addressed to this run.
	Deliver(env message.Envelope)
	// PeerDead states that the run ref has ended.
	PeerDead(ref node.Ref)
}

// Peer is the configured address of one run of a process.
type Peer struct {
	Ref  node.Ref
	Addr string
}

// Config holds the settings of a Transport. Zero limits take the defaults.
type Config struct {
	// Self names this run.
	Self node.Ref
	// Listen is the IP:port to accept connections on.
	Listen string
	// Handler receives envelopes and proofs of death.
	Handler Handler
	// Annotate fills Offset and Load right before encoding. It may be nil.
	Annotate func(env *message.Envelope)
	// Delay is the one-way link delay added by experiments. It may be nil.
	Delay func(to node.ID) time.Duration
	// Cut reports whether envelopes to a process are dropped, for experiments.
	// It may be nil.
	Cut func(to node.ID) bool
	// MaxFrameBytes bounds one encoded notification.
	MaxFrameBytes int
	// QueueBytes bounds the approximate size of the messages queued to one peer.
	QueueBytes int
	// DialTimeout bounds a connection attempt and the wait for a hello.
	DialTimeout time.Duration
}

// Stats counts what a Transport has carried since it was opened.
type Stats struct {
	EnvelopesIn, EnvelopesOut uint64
	MessagesIn, MessagesOut   uint64
	BytesIn, BytesOut         uint64
	// DroppedFull counts messages that found a full queue.
	DroppedFull uint64
	// DroppedNoAddress counts messages to a run without an address or connection.
	DroppedNoAddress uint64
	// DroppedCut counts messages dropped by Config.Cut.
	DroppedCut uint64
	// DroppedOther counts messages lost with a connection or too large to send.
	DroppedOther uint64
	// Misaddressed counts envelopes that arrived for another run.
	Misaddressed uint64
	// BadFrames counts connections closed because of what they sent.
	BadFrames uint64
}

// Transport exchanges envelopes with other processes. All methods are safe for
// concurrent use.
type Transport struct{ cfg Config }

// Listen opens the listening socket. Connections are served once Run is called.
func Listen(cfg Config) (*Transport, error) { return &Transport{cfg: cfg}, nil }

// Addr returns the bound IP:port.
func (t *Transport) Addr() string { return t.cfg.Listen }

// SetPeers replaces the configured addresses.
func (t *Transport) SetPeers(peers []Peer) {}

// Send queues m to the run to. It never blocks; the message is dropped and
// counted when the queue is full or no address is known.
func (t *Transport) Send(to node.Ref, m message.Message) {}

// Run serves until ctx ends or Close is called.
func (t *Transport) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Close closes the socket and all connections.
func (t *Transport) Close() error { return nil }

// Stats returns the counters.
func (t *Transport) Stats() Stats { return Stats{} }
