package upstreamcall

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// BenchmarkDo measures a call to an upstream that answers at once. The time includes
// the upstream's read and write on the connection.
func BenchmarkDo(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn)
		}
	}()
	start := time.Now()
	pool := NewPool(listener.Addr().String(), 64, func() time.Duration { return time.Since(start) })
	defer pool.Close()
	t := task()
	t.NotAfter = time.Hour
	t.Payload = make([]byte, 200)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if out := pool.Do(context.Background(), t); out.State != job.Done {
				b.Errorf("got outcome %+v, want done", out)
				return
			}
		}
	})
}

// answerAll answers every request on a connection.
func answerAll(conn net.Conn) {
	defer conn.Close()
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Type: application/json\r\n\r\n\"current\"")
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := in.Discard(int(r.ContentLength)); err != nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}
