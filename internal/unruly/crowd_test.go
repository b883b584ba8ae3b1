package unruly

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// behaviour is what a client does on a new connection. It returns nil once the client has sent
// all that it will send, and an error if it was cut off.
type behaviour func(c net.Conn, client int) error

// crowd is a number of clients that all behave in the same way.
type crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// settled is done once each client has sent on one connection all that it will send.
	settled sync.WaitGroup
}

// gather starts a crowd at an address. A client whose connection has ended opens another one.
// Clients that do not read keep their connection open after sending.
func gather(t *testing.T, clients int, addr string, reads bool, behave behaviour) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	w := &crowd{cancel: cancel}
	w.settled.Add(clients)
	for i := range clients {
		settled := sync.OnceFunc(w.settled.Done)
		w.wg.Go(func() {
			defer settled()
			for ctx.Err() == nil {
				visit(ctx, addr, reads, func(c net.Conn) error {
					defer settled()
					return behave(c, i)
				})
			}
		})
	}
	t.Cleanup(w.disperse)
	return w
}

// visit opens a connection, calls behave and waits until the server closes the connection.
func visit(ctx context.Context, addr string, reads bool, behave func(net.Conn) error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if behave(c) != nil {
		return
	}
	if !reads {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// settle waits until each client has sent all that it will send.
func (w *crowd) settle(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		w.settled.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
		t.Log("some clients are still sending")
	}
}

// disperse closes all connections of the crowd.
func (w *crowd) disperse() {
	w.cancel()
	w.wg.Wait()
}

// header returns the header of a request with a body. Its length is that of the body, or
// chunked if it is negative.
func header(method, host, path string, length int) string {
	framing := "Transfer-Encoding: chunked"
	if length >= 0 {
		framing = fmt.Sprintf("Content-Length: %d", length)
	}
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nDeadline-Ms: 60000\r\n" + framing + "\r\n\r\n"
}

// write sends texts one after the other.
func write(c net.Conn, texts ...[]byte) error {
	for _, text := range texts {
		if _, err := c.Write(text); err != nil {
			return err
		}
	}
	return nil
}

// target is an interface that takes requests with bodies.
type target struct {
	method, host string
	// path returns the path of a client's request.
	path func(client int) string
}

// shortOfEnd is by how many bytes the clients stop before the end of a body.
const shortOfEnd = 10

// stopShort announces a body of size bytes and stops just short of its end.
func (a target) stopShort(size int) behaviour {
	body := bytes.Repeat([]byte("x"), size-shortOfEnd)
	return func(c net.Conn, i int) error {
		return write(c, []byte(header(a.method, a.host, a.path(i), size)), body)
	}
}

// stopShortInChunks does the same with chunks of a size.
func (a target) stopShortInChunks(size, chunk int) behaviour {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	body := []byte(strings.Repeat(one, (size-shortOfEnd)/chunk))
	return func(c net.Conn, i int) error {
		return write(c, []byte(header(a.method, a.host, a.path(i), -1)), body)
	}
}

// flood sends a body of many times piece, announced or in chunks.
func (a target) flood(piece, times int, announced bool) behaviour {
	block, length := bytes.Repeat([]byte("x"), piece), piece*times
	if !announced {
		block, length = []byte(fmt.Sprintf("%x\r\n%s\r\n", piece, block)), -1
	}
	return func(c net.Conn, i int) error {
		err := write(c, []byte(header(a.method, a.host, a.path(i), length)))
		for range times {
			if err == nil {
				err = write(c, block)
			}
		}
		return err
	}
}

// exchanges is how many requests a client of submit sends on a connection.
const exchanges = 3

// submit sends whole requests and reads their answers.
func (a target) submit(body []byte) behaviour { return a.submitTimes(exchanges, body) }

// submitTimes sends a number of whole requests, each after the answer to the one before.
func (a target) submitTimes(times int, body []byte) behaviour {
	return func(c net.Conn, i int) error {
		r := bufio.NewReader(c)
		for range times {
			if err := write(c, []byte(header(a.method, a.host, a.path(i), len(body))), body); err != nil {
				return err
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
		}
		return io.EOF
	}
}

// submitOnce sends a whole request and does not read its answer yet.
func (a target) submitOnce(body []byte) behaviour {
	return func(c net.Conn, i int) error {
		return write(c, []byte(header(a.method, a.host, a.path(i), len(body))), body)
	}
}

// headerBytes is the size of the header that operators allow.
const headerBytes = 16 << 10

// halfHeader sends a header up to nearly its largest size, without its end.
func halfHeader(c net.Conn, _ int) error {
	return write(c, []byte("GET / HTTP/1.1\r\nHost: x\r\nX-Long: "), bytes.Repeat([]byte("x"), headerBytes-100))
}

// silent sends nothing.
func silent(net.Conn, int) error { return nil }

// pipelined is how many requests a client of pipeline sends.
const pipelined = 20_000

// pipeline sends many requests without reading an answer.
func pipeline(path string) behaviour {
	requests := bytes.Repeat([]byte("GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"), pipelined/100)
	return func(c net.Conn, _ int) error {
		// The server stops reading once its answers are not read. What is sent by then is all.
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		for range 100 {
			if write(c, requests) != nil {
				break
			}
		}
		return nil
	}
}
