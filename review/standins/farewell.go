package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// wire is a proxy between a runner and the control address of its agent. What is sent while it is cut
// arrives later, as TCP would send it again: data after 0.2 s, 0.6 s, 1.4 s and so on, the first
// packet of a connection after 1 s, 3 s and so on.
type wire struct {
	addr, target string

	mu     sync.Mutex
	cutEnd time.Time
}

func (l *wire) open() error {
	listener, err := listenRetry(l.addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return nil
}

// cut cuts the wire for a time.
func (l *wire) cut(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutEnd = time.Now().Add(d)
}

// arrival returns when a packet arrives that is sent now and, while the wire is cut, again after
// first and then after twice the last pause.
func (l *wire) arrival(first time.Duration) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now()
	for at.Before(l.cutEnd) {
		at = at.Add(first)
		first *= 2
	}
	return at
}

func (l *wire) serve(from net.Conn) {
	time.Sleep(time.Until(l.arrival(time.Second)))
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(from)
		return
	}
	forward := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				time.Sleep(time.Until(l.arrival(200 * time.Millisecond)))
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go forward(from, to)
	forward(to, from)
}

// drain makes the runner say that it is draining, and reports whether that was acknowledged.
func (r *runner) drain() bool {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	ok := r.tell(http.MethodPut, "draining", time.Second)
	r.world.record("runner %s is draining, acknowledged: %v", r.id, ok)
	return ok
}

// leave sends DELETE and ends the life of the runner a moment later, acknowledged or not. What
// the runner has sent is not lost by its end.
func (r *runner) leave() {
	r.world.record("runner %s sends DELETE", r.id)
	done := make(chan struct{})
	id, beats := r.id, r.beats
	go func() {
		defer close(done)
		ok := r.tell(http.MethodDelete, "", 30*time.Second)
		r.world.record("the DELETE of runner %s has arrived, acknowledged: %v", id, ok)
		beats.CloseIdleConnections()
	}()
	select {
	case <-done:
	case <-time.After(300 * time.Millisecond):
	}
	r.crash()
}

// lateFarewell replaces the runners one after the other. Each comes back under its id. A short cut
// between the runner and its agent delays its DELETE until its next life is at work. No two runs of one
// task may overlap.
func lateFarewell(w *world, trouble, keep bool) error {
	const drainFor, cutFor = 2100 * time.Millisecond, 1600 * time.Millisecond
	d, err := newDeployment(w, 2, 4)
	if err != nil {
		return err
	}
	defer d.close(keep)
	var wires []*wire
	for i, r := range d.runners {
		l := &wire{addr: d.address(4, i, controlPort), target: r.control}
		if err := l.open(); err != nil {
			return err
		}
		r.control = l.addr
		wires = append(wires, l)
	}
	w.overlapBreaks = true
	if err := d.start("a"); err != nil {
		return err
	}
	c := newClients(w, d.frontAddrs)
	end := time.Now().Add(36 * time.Second)
	c.press(jobKind{name: "cert-pull", count: 2, workMs: 200, cpu: 1000, deadline: 1900 * time.Millisecond}, 30, end)
	c.press(jobKind{name: "session-closeout", count: 4, workMs: 900, cpu: 1000, deadline: 3 * time.Second}, 8, end)
	time.Sleep(2 * time.Second)
	for i, r := range d.runners {
		r.drain()
		time.Sleep(drainFor)
		if trouble {
			w.record("the wire between %s and its agent is cut for %v", r.id, cutFor)
			wires[i].cut(cutFor)
		}
		r.leave()
		time.Sleep(200 * time.Millisecond)
		if err := r.start("a"); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
	}
	c.wg.Wait()
	w.record("answers: %s", c.summary())
	return nil
}
