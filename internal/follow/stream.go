package follow

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// StreamConfig holds the settings of a Stream.
type StreamConfig struct {
	Log logclient.Log
	// Name is the name of the control stream.
	Name string
	// Wait is how long a read waits at the end of the stream. Zero means
	// DefaultWait.
	Wait time.Duration
	// Offset returns the offset that the core has reached.
	Offset func() int64
	// Synced reports whether the core holds every record before Offset.
	Synced func() bool
	// Mono returns the monotonic time.
	Mono func() time.Duration
	// Deliver passes an event to the core and returns when the core has handled it.
	// It reports false when the core has ended.
	Deliver func(step.Event) bool
	// Peers sends queries to the processes at the addresses in Seeds.
	Peers Peers
	Seeds []netip.AddrPort
	// Logs receives the outages of the log, Metrics the counts of requests to it.
	Logs    *telemetry.Logger
	Metrics *telemetry.Metrics
}

// Stream connects the core of one process to the control stream. It reads and appends
// records. It queries the seeds while it has read nothing from the log and received
// nothing from a peer, and while records are missing. Its methods are safe for
// concurrent use.
type Stream struct {
	cfg      StreamConfig
	appender *Appender
	// logRead is true once a read of the log has succeeded.
	logRead atomic.Bool
}

// NewStream returns a stream. The caller must run its Actors.
func NewStream(cfg StreamConfig) *Stream {
	if cfg.Wait == 0 {
		cfg.Wait = DefaultWait
	}
	return &Stream{cfg: cfg, appender: NewAppender(cfg.Log, cfg.Name, cfg.Logs, cfg.Metrics)}
}

// Append queues a record. It never blocks.
func (s *Stream) Append(record []byte) { s.appender.Append(record) }

// Flush waits until every queued record has been tried once, or ctx ends.
func (s *Stream) Flush(ctx context.Context) error { return s.appender.Flush(ctx) }

// Initialized reports whether the process has read the control stream, even if it is
// empty, or has received a part of it from a peer.
func (s *Stream) Initialized() bool { return s.logRead.Load() || s.cfg.Offset() > 0 }

// Actors returns the functions that the caller must run. Each ends with its
// context.
func (s *Stream) Actors() []func(context.Context) error {
	reader := &Reader{
		Log:     s.cfg.Log,
		Stream:  s.cfg.Name,
		Offset:  s.cfg.Offset,
		Mono:    s.cfg.Mono,
		Deliver: s.deliver,
		Wait:    s.cfg.Wait,
		Logs:    s.cfg.Logs,
		Metrics: s.cfg.Metrics,
	}
	seeds := &Seeds{
		Peers:    s.cfg.Peers,
		Addrs:    s.cfg.Seeds,
		Complete: func() bool { return s.Initialized() && s.cfg.Synced() },
		Logs:     s.cfg.Logs,
	}
	return []func(context.Context) error{reader.Run, seeds.Run, s.appender.Run}
}

func (s *Stream) deliver(r step.LogRead) bool {
	s.logRead.Store(true)
	return s.cfg.Deliver(r)
}
