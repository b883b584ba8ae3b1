package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// BenchmarkPeers reports with how many peers an idle process exchanges messages
// within the idle time of a connection, which is the number of its connections,
// and how many of them it opens anew in a second.
func BenchmarkPeers(b *testing.B) {
	for _, agents := range []int{11, 100, 920} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			const seconds = 10
			f := newFleet(agents, entriesFor(agents))
			last := make(map[[2]node.Ref]time.Duration)
			opened := 0
			f.sent = func(from, to node.Ref) {
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

// quiet takes what arrives and does nothing.
type quiet struct{}

func (quiet) Deliver(message.Envelope) {}
func (quiet) PeerReset(node.Ref)       {}
func (quiet) PeerDead(node.Ref)        {}

// listen opens a transport for a benchmark.
func listen(b *testing.B, id string) (*transport.Transport, transport.Peer) {
	b.Helper()
	self := node.Ref{ID: node.ID(id), Incarnation: 1}
	t, err := transport.Listen(transport.Config{Self: self, Listen: "127.0.0.1:0", Handler: quiet{}, IdleTime: time.Hour})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = t.Run(b.Context()) }()
	b.Cleanup(func() { _ = t.Close() })
	return t, transport.Peer{Ref: self, Addr: t.Addr()}
}

// inUse returns the memory that the process uses on its heap and its stacks.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkConnection reports the memory of a known peer without a connection,
// and what a connection adds. The two ends of each are in this process.
func BenchmarkConnection(b *testing.B) {
	const peers = 200
	from, _ := listen(b, "from")
	list := make([]transport.Peer, peers)
	for i := range list {
		_, list[i] = listen(b, fmt.Sprintf("to-%d", i))
	}
	before := inUse()
	from.SetPeers(list)
	known := inUse()
	for _, p := range list {
		from.Send(p.Ref, message.Message{Status: &message.Status{Query: true}})
	}
	for from.Stats().Connections < peers || from.Stats().MessagesOut < peers {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Second)
	b.ReportMetric((known-before)/peers, "B/peer")
	b.ReportMetric((inUse()-known)/(2*peers), "B/connection-end")
	b.ReportMetric(0, "ns/op")
}
