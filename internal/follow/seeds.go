package follow

import (
	"context"
	"net/netip"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// seedInterval is the time between two rounds of questions to the seeds.
const seedInterval = time.Second

// Peers reaches processes by address.
type Peers interface {
	// Connect returns the run that answers at an address.
	Connect(ctx context.Context, addr string) (node.Ref, error)
	// Send queues a message to a run.
	Send(to node.Ref, m message.Message)
}

// Seeds asks the processes at known addresses for the control stream, as long
// as this process has not got it from the log. Its fields are set before Run.
type Seeds struct {
	Peers Peers
	Addrs []netip.AddrPort
	// Informed reports whether something of the control stream has come, and no
	// records are missing before the offset that was reached.
	Informed func() bool
	Logs     *telemetry.Logger
}

// Run asks whenever the process is not Informed, until ctx ends.
func (s *Seeds) Run(ctx context.Context) error {
	for {
		sleep(ctx, seedInterval)
		if ctx.Err() != nil {
			return nil
		}
		if !s.Informed() {
			s.askAll(ctx)
		}
	}
}

func (s *Seeds) askAll(ctx context.Context) {
	for _, addr := range s.Addrs {
		ref, err := s.Peers.Connect(ctx, addr.String())
		if err != nil {
			s.Logs.Error(err, "asking a seed for the configuration failed", "addr", addr)
			continue
		}
		s.Logs.Info("asking a seed for the configuration", "peer", ref)
		s.Peers.Send(ref, message.Message{Status: &message.Status{LogAge: -1, Query: true, Unsynced: true}})
	}
}
