package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/sourcegraph/jsonrpc2"
)

func sampleEnvelope(starts int) *message.Envelope {
	env := &message.Envelope{From: ref("a1", 0xabc), To: ref("a2", 0xdef), Offset: 17, Load: &message.Load{Slots: 8, Busy: 3}}
	for i := range starts {
		env.Messages = append(env.Messages, message.Message{Start: &message.Start{
			Seq: uint64(i + 1), Floor: 1, ID: "dg1.a1.abc.18f0a.77.1", Index: i, Team: "records", Class: job.Urgent,
			Timeout: time.Second, Task: job.Task{Payload: []byte(`{"ms":120,"attendant":"A-10442"}`)},
			Trace: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		}})
	}
	return env
}

// TestEnvelopeRoundTrip checks that the fast decoder returns what was encoded, and
// that the encoded text is a JSON-RPC notification for other decoders.
func TestEnvelopeRoundTrip(t *testing.T) {
	env := sampleEnvelope(3)
	var buf bytes.Buffer
	encoded, err := encodeFrame(&buf, deliverPrefix, env, notifySuffix)
	if err != nil {
		t.Fatal(err)
	}
	s := readerOf(encoded, 1<<20)
	text, err := s.readFrame()
	if err != nil {
		t.Fatal(err)
	}
	got, ok := decodeDeliver(text)
	if !ok || !reflect.DeepEqual(got, env) {
		t.Errorf("got %+v, want what was encoded", got)
	}
	var req jsonrpc2.Request
	if err := json.Unmarshal(text, &req); err != nil || req.Method != methodDeliver || !req.Notif {
		t.Errorf("got %+v, error %v, want a JSON-RPC notification", req, err)
	}
}

func TestKindOfEveryMessage(t *testing.T) {
	fields := reflect.TypeFor[message.Message]()
	for i := range fields.NumField() {
		var m message.Message
		reflect.ValueOf(&m).Elem().Field(i).Set(reflect.New(fields.Field(i).Type.Elem()))
		if kind, ok := kindOf(&m); !ok || kind != i {
			t.Errorf("%s: got kind %d, %v, want the index of the field, true", fields.Field(i).Name, kind, ok)
		}
	}
	if _, ok := kindOf(&message.Message{}); ok {
		t.Error("got a kind for an empty message, want none")
	}
	if _, ok := kindOf(&message.Message{Abort: &message.Abort{}, Start: &message.Start{}}); ok {
		t.Error("got a kind for a message with two fields set, want none")
	}
}

// fakeConn is a net.Conn that reads from a byte slice.
type fakeConn struct {
	net.Conn
	bytes.Reader
}

func (c *fakeConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func readerOf(input []byte, limit int64) *stream {
	c := &fakeConn{}
	c.Reset(input)
	s := newStream(c, int(limit), &atomic.Uint64{}, &atomic.Uint64{})
	s.maxRead.Store(limit)
	return s
}

// FuzzRead checks that invalid input causes no panic, and no buffer above the limit
// of a frame.
func FuzzRead(f *testing.F) {
	var buf bytes.Buffer
	good, err := encodeFrame(&buf, deliverPrefix, sampleEnvelope(2), notifySuffix)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte(nil), good...))
	f.Add(frame(goodHello))
	f.Add(frame(`{"jsonrpc":"2.0","method":"deliver","params":{"msgs":[{}]}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"result":null}`))
	f.Add(frame(`[]`))
	f.Add(frame(`{"jsonrpc":"2.0","method":"deliver","params":{"odd":` + strings.Repeat("[", maxNesting+1) + `}}`))
	f.Add(frame(`{"jsonrpc":"2.0","method":"deliver","params":{"off":1e400,"msgs":[{"beat":{"t":9223372036854775808}}]}}`))
	f.Add(frame(`{"jsonrpc":"2.0","method":"deliver","params":{"off":1.5,"msgs":[null,{"offer":null}],"from":[]}}`))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		const limit = 1 << 16
		s := readerOf(input, limit)
		s.onDeliver = func(env *message.Envelope) error {
			wellFormed(env)
			return nil
		}
		for {
			var req jsonrpc2.Request
			if err := s.ReadObject(&req); err != nil {
				break
			}
		}
		if s.readBuf.Len() > limit {
			t.Errorf("got %d buffered bytes, want at most the limit of a frame", s.readBuf.Len())
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	const messages = 16
	env := sampleEnvelope(messages)
	var buf bytes.Buffer
	b.ReportAllocs()
	for b.Loop() {
		encoded, err := encodeFrame(&buf, deliverPrefix, env, notifySuffix)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(encoded)))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/messages, "ns/message")
}

func BenchmarkDecode(b *testing.B) {
	const messages = 16
	var buf bytes.Buffer
	encoded, err := encodeFrame(&buf, deliverPrefix, sampleEnvelope(messages), notifySuffix)
	if err != nil {
		b.Fatal(err)
	}
	text, err := readerOf(encoded, 1<<20).readFrame()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, ok := decodeDeliver(text); !ok {
			b.Fatal("the encoded envelope was not decoded")
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/messages, "ns/message")
}

// counter counts the messages that arrive and closes done at the last one.
type counter struct {
	want int
	got  int
	done chan struct{}
}

func (c *counter) Deliver(env message.Envelope) {
	c.got += len(env.Messages)
	if c.got == c.want {
		close(c.done)
	}
}

func (c *counter) PeerReset(node.Ref) {}
func (c *counter) PeerDead(node.Ref)  {}

func (c *counter) PeerSuspect(node.Ref, liveness.Sign) {}

// BenchmarkSend sends messages from one transport to another.
func BenchmarkSend(b *testing.B) {
	b.ReportAllocs()
	in := &counter{want: b.N, done: make(chan struct{})}
	to, err := Listen(Config{Self: ref("a2", 2), Listen: "127.0.0.1:0", Handler: in})
	if err != nil {
		b.Fatal(err)
	}
	from, err := Listen(Config{Self: ref("a1", 1), Listen: "127.0.0.1:0", Handler: newRecorder(), QueueBytes: 1 << 30})
	if err != nil {
		b.Fatal(err)
	}
	defer from.Close()
	go func() { _ = to.Run(context.Background()) }()
	defer to.Close()
	from.SetPeers([]Peer{{Ref: ref("a2", 2), Addr: to.Addr()}})
	m := sampleEnvelope(1).Messages[0]
	for range b.N {
		from.Send(ref("a2", 2), m)
	}
	select {
	case <-in.done:
	case <-time.After(testWait):
		b.Fatalf("not all messages arrived; stats of the sender: %+v", from.Stats())
	}
	b.ReportMetric(float64(from.Stats().EnvelopesOut), "envelopes")
}
