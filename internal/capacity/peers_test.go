package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// BenchmarkPeers reports how many connections an idle process has and how many it
// opens per second. A process has a connection to every peer with which it has
// exchanged a message within the idle time of a connection.
func BenchmarkPeers(b *testing.B) {
	for _, agents := range []int{11, 100, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			const seconds = 10
			f := newFleet(agents, entryCount(agents))
			last := make(map[[2]node.Ref]time.Duration)
			opened := 0
			f.onSend = func(from, to node.Ref) {
				for _, pair := range [][2]node.Ref{{from, to}, {to, from}} {
					if at, ok := last[pair]; !ok || f.now-at > transport.DefaultIdleTime {
						opened++
					}
					last[pair] = f.now
				}
			}
			f.run(5 * time.Second)
			opened = 0
			f.run(seconds * time.Second)
			open := make(map[node.Ref]int)
			for pair, at := range last {
				if f.now-at <= transport.DefaultIdleTime {
					open[pair[0]]++
				}
			}
			var counts []int
			for _, m := range f.members[:agents] {
				counts = append(counts, open[m.ref])
			}
			slices.Sort(counts)
			b.ReportMetric(float64(counts[agents/2]), "conns-median")
			b.ReportMetric(float64(counts[agents-1]), "conns-most")
			b.ReportMetric(float64(open[f.members[agents].ref]), "conns-entry")
			b.ReportMetric(float64(opened)/float64(len(f.members)*seconds), "opened/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// discardHandler is a transport handler that ignores messages and notifications.
type discardHandler struct{}

func (discardHandler) Deliver(message.Envelope) {}
func (discardHandler) PeerReset(node.Ref)       {}
func (discardHandler) PeerDead(node.Ref)        {}

func (discardHandler) PeerSuspect(node.Ref, liveness.Sign) {}

// listen opens a transport that is closed at the end of the benchmark, and returns
// it with its address as a peer.
func listen(b *testing.B, id string) (*transport.Transport, transport.Peer) {
	b.Helper()
	self := node.Ref{ID: node.ID(id), Incarnation: 1}
	t, err := transport.Listen(transport.Config{Self: self, Listen: "127.0.0.1:0", Handler: discardHandler{}, IdleTime: time.Hour})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = t.Run(b.Context()) }()
	b.Cleanup(func() { _ = t.Close() })
	return t, transport.Peer{Ref: self, Addr: t.Addr()}
}

// memoryInUse returns the bytes that this process uses for its heap and its stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkConnection reports the memory of a known peer without a connection, and
// the memory that each end of a connection adds. Both ends of every connection are
// in this process.
func BenchmarkConnection(b *testing.B) {
	const peers = 200
	from, _ := listen(b, "from")
	list := make([]transport.Peer, peers)
	for i := range list {
		_, list[i] = listen(b, fmt.Sprintf("to-%d", i))
	}
	before := memoryInUse()
	from.SetPeers(list)
	known := memoryInUse()
	for _, p := range list {
		from.Send(p.Ref, message.Message{Status: &message.Status{Query: true}})
	}
	for from.Stats().Connections < peers || from.Stats().MessagesOut < peers {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Second)
	b.ReportMetric((known-before)/peers, "B/peer")
	b.ReportMetric((memoryInUse()-known)/(2*peers), "B/connection-end")
	b.ReportMetric(0, "ns/op")
}
