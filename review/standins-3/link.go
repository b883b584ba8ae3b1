package main

import (
	"encoding/json"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// link is a proxy between a dispatcher and an agent that can be cut.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

// newLink returns a link to the agent at target.
func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	return x, nil
}

// cut makes the link drop what is sent, in both directions. Connections stay open, without an answer.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
}

// heal ends the cut. The connections of before are closed: what was sent on them is lost.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = false
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) dropping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

func (l *link) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

func (l *link) serve(from net.Conn) {
	l.track(from, true)
	defer l.track(from, false)
	defer from.Close()
	if l.dropping() {
		_, _ = io.Copy(io.Discard, from)
		return
	}
	to, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	l.track(to, true)
	defer l.track(to, false)
	defer to.Close()
	done := make(chan struct{}, 2)
	go func() { l.forward(from, to); done <- struct{}{} }()
	go func() { l.forward(to, from); done <- struct{}{} }()
	<-done
}

// forward passes on what a sends until either side closes.
func (l *link) forward(a, b net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := a.Read(buf)
		if n > 0 && !l.dropping() {
			if _, err := b.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if l.dropping() {
				time.Sleep(time.Minute) // The other side does not learn of the end.
			}
			return
		}
	}
}

// throughLink makes a dispatcher reach an agent through their link.
func (d *deployment) throughLink(process, key string, value []byte) []byte {
	var record map[string]json.RawMessage
	if json.Unmarshal(value, &record) != nil {
		return value
	}
	d.mu.Lock()
	for _, a := range d.agents {
		if l := a.links[process]; l != nil && a.name == key {
			record["addr"] = json.RawMessage(strconv.Quote(l.listener.Addr().String()))
		}
	}
	d.mu.Unlock()
	changed, err := json.Marshal(record)
	if err != nil {
		return value
	}
	return changed
}
