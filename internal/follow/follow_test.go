package follow

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// scriptedLog is a Log that calls a function for each read and append.
type scriptedLog struct {
	read   func(from int64) (logclient.ReadResult, error)
	append func(record []byte) error
}

func (l scriptedLog) Append(_ context.Context, _ string, record []byte) (int64, error) {
	return 0, l.append(record)
}

func (l scriptedLog) Read(_ context.Context, _ string, from int64, _ int, _ time.Duration) (logclient.ReadResult, error) {
	return l.read(from)
}

// TestReaderTakesTheTimeBeforeTheRequest guards against a time that is taken after
// the reply: the core would then regard the read state as newer than it is.
func TestReaderTakesTheTimeBeforeTheRequest(t *testing.T) {
	var now time.Duration
	var offset int64
	var from []int64
	reads := 0
	log := scriptedLog{read: func(f int64) (logclient.ReadResult, error) {
		from = append(from, f)
		reads++
		now += time.Second // The reply takes one second.
		if reads == 2 {
			return logclient.ReadResult{}, logclient.ErrUnavailable
		}
		return logclient.ReadResult{From: f, Records: [][]byte{{1}}, End: f + 1}, nil
	}}
	var sentAt []time.Duration
	r := &Reader{
		Log:     log,
		Offset:  func() int64 { return offset },
		Mono:    func() time.Duration { return now },
		Logs:    telemetry.NewLogger("test"),
		Metrics: telemetry.NewMetrics(),
		Deliver: func(read step.LogRead) bool {
			sentAt = append(sentAt, read.SentAt)
			offset = read.End
			return len(sentAt) < 3
		},
	}
	if err := r.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	if want := []time.Duration{0, 2 * time.Second, 3 * time.Second}; !slices.Equal(sentAt, want) {
		t.Errorf("got requests at %v, want %v", sentAt, want)
	}
	if want := []int64{0, 1, 1, 2}; !slices.Equal(from, want) {
		t.Errorf("got reads from the offsets %v, want %v", from, want)
	}
}

func TestAppenderTriesOnceAndFlushes(t *testing.T) {
	var tried []string
	log := scriptedLog{append: func(record []byte) error {
		tried = append(tried, string(record))
		return errors.New("down")
	}}
	a := NewAppender(log, "s", telemetry.NewLogger("test"), telemetry.NewMetrics())
	a.Append([]byte("a"))
	a.Append([]byte("b"))
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- a.Run(ctx) }()
	if err := a.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-runErr; err != nil {
		t.Fatal(err)
	}
	if want := []string{"a", "b"}; !slices.Equal(tried, want) {
		t.Errorf("got appends of %q, want %q", tried, want)
	}
}

func TestAppenderDropsRecordsWhenTheQueueIsFull(t *testing.T) {
	a := NewAppender(scriptedLog{}, "s", telemetry.NewLogger("test"), telemetry.NewMetrics())
	for range maxQueuedRecords + 5 {
		a.Append(nil)
	}
	if got := a.pending.Load(); got != maxQueuedRecords {
		t.Errorf("got %d queued records, want %d", got, maxQueuedRecords)
	}
}

// fakePeers accepts connections at one address and records the queries sent there.
type fakePeers struct {
	addr    string
	queried chan node.Ref
}

func (p fakePeers) Connect(_ context.Context, addr string) (node.Ref, error) {
	if addr != p.addr {
		return node.Ref{}, errors.New("refused")
	}
	return node.Ref{ID: "a", Incarnation: 1}, nil
}

func (p fakePeers) Send(to node.Ref, m message.Message) {
	if m.Status != nil && m.Status.Query && m.Status.Unsynced {
		p.queried <- to
	}
}

// TestSeedsQueryTheReachableSeed checks that the seed that accepts a connection is
// queried although another seed refuses it.
func TestSeedsQueryTheReachableSeed(t *testing.T) {
	peers := fakePeers{addr: "127.0.0.1:2", queried: make(chan node.Ref, 1)}
	calls := 0
	s := &Seeds{
		Peers: peers,
		Addrs: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")},
		Complete: func() bool {
			calls++
			return calls == 1 // The second round finds records missing.
		},
		Logs: telemetry.NewLogger("test"),
	}
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- s.Run(ctx) }()
	if got := <-peers.queried; got != (node.Ref{ID: "a", Incarnation: 1}) {
		t.Errorf("got a query to %v, want one to the seed that accepts connections", got)
	}
	cancel()
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}
