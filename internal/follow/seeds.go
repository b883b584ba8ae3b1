package follow

import (
	"context"
	"net/netip"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// seedInterval is the time between two rounds of queries to the seeds.
const seedInterval = time.Second

// Peers connects to processes by address and sends messages to them.
type Peers interface {
	// Connect returns the incarnation that answers at an address.
	Connect(ctx context.Context, addr string) (node.Ref, error)
	// Send queues a message to an incarnation.
	Send(to node.Ref, m message.Message)
}

// Seeds queries the processes at known addresses for the control stream while this
// process has not received it from the log. Its fields must be set before Run is
// called.
type Seeds struct {
	Peers Peers
	Addrs []netip.AddrPort
	// Complete reports whether this process needs no seed: it has read the control
	// stream from the log, or received a part of it from a peer, and lacks no record
	// before the offset that it has reached.
	Complete func() bool
	Logs     *telemetry.Logger
}

// Run queries the seeds every seedInterval, unless Complete reports true, until ctx
// ends.
func (s *Seeds) Run(ctx context.Context) error {
	for {
		sleep(ctx, seedInterval)
		if ctx.Err() != nil {
			return nil
		}
		if !s.Complete() {
			s.queryAll(ctx)
		}
	}
}

// queryAll asks each seed for the control stream.
func (s *Seeds) queryAll(ctx context.Context) {
	for _, addr := range s.Addrs {
		ref, err := s.Peers.Connect(ctx, addr.String())
		if err != nil {
			s.Logs.Error(err, "connecting to a seed to get the configuration failed", "addr", addr)
			continue
		}
		s.Logs.Info("asking a seed for the configuration", "peer", ref)
		s.Peers.Send(ref, message.Message{Status: &message.Status{LogAge: -1, Query: true, Unsynced: true}})
	}
}
