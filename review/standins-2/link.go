package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// cutDispatcher is the dispatcher that reaches the agents by links that can be cut.
const cutDispatcher = "edge-2"

// link is the network between a dispatcher and an agent. While it is cut, no byte passes in
// either direction, and new connections get no answer. What was held up passes afterwards, if the
// connection is still open.
type link struct {
	to string

	mu   sync.Mutex
	open chan struct{}
}

func newLink(addr, to string) (*link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &link{to: to, open: make(chan struct{})}
	close(k.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c)
		}
	}()
	return k, nil
}

// cut cuts the link, or mends it.
func (k *link) cut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut {
		k.open = make(chan struct{})
	} else {
		close(k.open)
	}
}

// pass waits until the link is not cut.
func (k *link) pass() {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	<-open
}

func (k *link) forward(from net.Conn) {
	k.pass()
	to, err := net.DialTimeout("tcp", k.to, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	pipe := func(dst, src net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			k.pass()
			if n > 0 {
				if _, err := dst.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = dst.Close()
		_ = src.Close()
	}
	go pipe(to, from)
	pipe(from, to)
}

// addLinks opens a link to each agent, and the store's address for the dispatcher that uses them:
// there, the records of the agents name the links.
func (w *world) addLinks(agents int) error {
	for i := range agents {
		k, err := newLink(w.ip(10, i+1)+":7720", w.ip(2, i+1)+":7720")
		if err != nil {
			return err
		}
		w.links = append(w.links, k)
	}
	w.store.topics.RewriteAgentRecord = func(process, _ string, value []byte) []byte {
		var record map[string]any
		if process != cutDispatcher || json.Unmarshal(value, &record) != nil {
			return value
		}
		for i := range agents {
			if record["addr"] == w.ip(2, i+1)+":7720" {
				value = []byte(fmt.Sprintf(`{"id":%q,"addr":%q,"domain":%q,"inc":%s}`,
					record["id"], w.ip(10, i+1)+":7720", record["domain"], rawField(value, "inc")))
			}
		}
		return value
	}
	w.cutStore = w.ip(3, 2) + ":8169"
	l, err := net.Listen("tcp", w.cutStore)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: w.store.handlerFor(cutDispatcher)}).Serve(l) }()
	return nil
}

// rawField returns a field of a JSON object as it stands there.
func rawField(object []byte, name string) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(object, &fields) != nil || fields[name] == nil {
		return "0"
	}
	return string(fields[name])
}
