// Package process holds what the daemons of all roles share: options, the event loop that
// runs the core, pending calls, readiness checks and metrics.
package process

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loop"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Limits of every daemon.
const (
	// EventQueueSize is the capacity of the queue of events for the core.
	EventQueueSize = 1024
	// TracerTimeout bounds the export of the last spans at shutdown.
	TracerTimeout = 2 * time.Second
	// FlushTimeout bounds the wait at shutdown for the last messages and control records.
	FlushTimeout = 2 * time.Second
	// ProbeTimeout bounds how long a readiness check waits for an answer of the core.
	ProbeTimeout = time.Second
	// RefusalLimit is how long a process must refuse connections until the roles with a
	// control stream take it for ended. It is longer than a short refusal by a live process.
	RefusalLimit = 2 * time.Second
	// logTimeout bounds a request to the log service, in addition to the wait of a long
	// poll.
	logTimeout = 5 * time.Second
)

// Options changes a daemon for tests and experiments. The zero value is for production.
type Options struct {
	// Log replaces the client of the log service named in the settings. It may be nil.
	Log logclient.Log
	// Seed seeds the random choices of the placement policies. Zero means a random seed.
	Seed uint64
	// PanicOnViolation makes the daemon panic if an invariant is violated.
	PanicOnViolation bool
	// LinkDelay returns the extra delay of messages to a process. LinkCut reports whether
	// the link to a process is cut, and LinkRefused whether it refuses connections. All may
	// be nil.
	LinkDelay   func(to node.ID) time.Duration
	LinkCut     func(to node.ID) bool
	LinkRefused func(to node.ID) bool
}

// LogClient returns o.Log, or a client of the log service at the address in s if that is
// nil.
func (o *Options) LogClient(s settings.Log) logclient.Log {
	if o.Log != nil {
		return o.Log
	}
	return logclient.New("http://"+s.Address.String(), logTimeout)
}

// SeedOrRandom returns o.Seed, or a random seed if that is zero.
func (o *Options) SeedOrRandom() uint64 {
	if o.Seed != 0 {
		return o.Seed
	}
	return lifecycle.RandomNumber()
}

// Loop is the event loop that runs the core of a process.
type Loop = loop.Loop[step.Event, step.Action]

// NewLoop returns a loop configured by cfg. It sets the tick event and the queue size.
func NewLoop(cfg loop.Config[step.Event, step.Action]) *Loop {
	cfg.Tick = step.Tick{}
	cfg.QueueSize = EventQueueSize
	return loop.New(cfg)
}

// Handler passes received messages, and reports of lost connections and ended
// incarnations, to the core. It implements transport.Handler.
type Handler struct{ Loop *Loop }

// Deliver implements transport.Handler.
func (h Handler) Deliver(env message.Envelope) { h.Loop.Post(step.Received{Envelope: env}) }

// PeerReset implements transport.Handler.
func (h Handler) PeerReset(ref node.Ref) { h.Loop.Post(step.PeerReset{Ref: ref}) }

// PeerSuspect implements transport.Handler. The roles with a control stream take a refusal
// that has lasted for the end of the process; see docs/design/liveness.md.
func (h Handler) PeerSuspect(ref node.Ref, hint liveness.Sign) {
	switch hint {
	case liveness.Refused:
		h.Loop.Post(step.PeerSuspect{Ref: ref, Hint: hint})
	case liveness.RefusedLong:
		h.Loop.Post(step.PeerDead{Ref: ref})
	}
}

// PeerDead implements transport.Handler.
func (h Handler) PeerDead(ref node.Ref) { h.Loop.Post(step.PeerDead{Ref: ref}) }

// Peers converts the peers of a core to peers of the transport.
func Peers(peers []step.Peer) []transport.Peer {
	list := make([]transport.Peer, len(peers))
	for i, p := range peers {
		list[i] = transport.Peer(p)
	}
	return list
}
