// Package process holds what the daemons of all roles have in common: their
// options and the way from the transport to the core.
package process

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loop"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Bounds of a process.
const (
	// EventQueue is the number of events that wait for the core.
	EventQueue = 1024
	// TracerTime bounds the export of the last spans.
	TracerTime = 2 * time.Second
	// FlushTime bounds the wait for the last messages and control records.
	FlushTime = 2 * time.Second
	// ProbeTime bounds the wait of a readiness check for the core.
	ProbeTime = time.Second
	// logTimeout bounds a request to the log service, on top of a read's wait.
	logTimeout = 5 * time.Second
)

// Options changes a daemon for tests and experiments. The zero value is that of
// a process in service.
type Options struct {
	// Log replaces the client of the service that the settings name. It may be
	// nil.
	Log logclient.Log
	// Seed makes the choices of the policies repeatable. Zero draws a seed.
	Seed uint64
	// PanicOnViolation makes a violated invariant panic.
	PanicOnViolation bool
	// Delay and Cut change the links to other processes. They may be nil.
	Delay func(to node.ID) time.Duration
	Cut   func(to node.ID) bool
}

// LogClient returns Log, or a client of the service that s names.
func (o *Options) LogClient(s settings.Log) logclient.Log {
	if o.Log != nil {
		return o.Log
	}
	return logclient.New("http://"+s.Address.String(), logTimeout)
}

// DrawnSeed returns Seed, or a random number in place of zero.
func (o *Options) DrawnSeed() uint64 {
	if o.Seed != 0 {
		return o.Seed
	}
	return lifecycle.RandomNumber()
}

// Loop runs the core of a process.
type Loop = loop.Loop[step.Event, step.Action]

// NewLoop returns a loop with the queue and the tick of a process; cfg gives the
// rest.
func NewLoop(cfg loop.Config[step.Event, step.Action]) *Loop {
	cfg.Tick = step.Tick{}
	cfg.QueueSize = EventQueue
	return loop.New(cfg)
}

// Handler passes what the transport receives to the core. It implements
// transport.Handler.
type Handler struct{ Loop *Loop }

// Deliver implements transport.Handler.
func (h Handler) Deliver(env message.Envelope) { h.Loop.Post(step.Received{Envelope: env}) }

// PeerReset implements transport.Handler.
func (h Handler) PeerReset(ref node.Ref) { h.Loop.Post(step.PeerReset{Ref: ref}) }

// PeerDead implements transport.Handler.
func (h Handler) PeerDead(ref node.Ref) { h.Loop.Post(step.PeerDead{Ref: ref}) }

// Peers returns the peers of a core as the transport knows them.
func Peers(peers []step.Peer) []transport.Peer {
	list := make([]transport.Peer, len(peers))
	for i, p := range peers {
		list[i] = transport.Peer(p)
	}
	return list
}
