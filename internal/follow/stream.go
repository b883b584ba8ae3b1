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
	// Wait is how long a read waits at the end of the stream. Zero is
	// DefaultWait.
	Wait time.Duration
	// Offset returns the offset that the core has reached.
	Offset func() int64
	// Synced reports whether the core holds every record before Offset.
	Synced func() bool
	// Mono returns the monotonic time.
	Mono func() time.Duration
	// Deliver hands an event to the core and returns when it has been handled. It
	// reports false when the core has ended.
	Deliver func(step.Event) bool
	// Peers reaches the processes at Seeds.
	Peers Peers
	Seeds []netip.AddrPort
	// Logs and Metrics receive the outages and the counts of requests.
	Logs    *telemetry.Logger
	Metrics *telemetry.Metrics
}

// Stream joins the core of one process to the control stream: it reads, appends,
// and asks the seeds for the configuration until something of it has come. Its
// methods are safe for concurrent use.
type Stream struct {
	cfg      StreamConfig
	appender *Appender
	// answered says that the log has answered.
	answered atomic.Bool
}

// NewStream returns a stream whose Actors do not run yet.
func NewStream(cfg StreamConfig) *Stream {
	if cfg.Wait == 0 {
		cfg.Wait = DefaultWait
	}
	return &Stream{cfg: cfg, appender: NewAppender(cfg.Log, cfg.Name, cfg.Logs, cfg.Metrics)}
}

// Append queues a record. It never blocks.
func (s *Stream) Append(record []byte) { s.appender.Append(record) }

// Flush waits until the queued records have been tried.
func (s *Stream) Flush(ctx context.Context) error { return s.appender.Flush(ctx) }

// Informed reports whether anything of the control stream has come, be it that
// it is empty.
func (s *Stream) Informed() bool { return s.answered.Load() || s.cfg.Offset() > 0 }

// Actors returns what must run, each until its context ends.
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
		Informed: func() bool { return s.Informed() && s.cfg.Synced() },
		Logs:     s.cfg.Logs,
	}
	return []func(context.Context) error{reader.Run, seeds.Run, s.appender.Run}
}

func (s *Stream) deliver(r step.LogRead) bool {
	s.answered.Store(true)
	return s.cfg.Deliver(r)
}
