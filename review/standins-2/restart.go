package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// restartedHosts is the number of hosts that restart, one after the other, restartPause apart.
	restartedHosts = 3
	restartPause   = 7 * time.Second
	// runnerDown and agentDown are how long the two processes of a host are down.
	runnerDown = 200 * time.Millisecond
	agentDown  = 3500 * time.Millisecond
	// restartAfter is the time from the order that gets no answer to the restart of its host, and
	// carriedOutAfter that until the runner carries the order out.
	restartAfter    = 150 * time.Millisecond
	carriedOutAfter = 3 * time.Second
	// jobPause is the pause between two jobs.
	jobPause = 60 * time.Millisecond
	// resends is how often a client sends a job again.
	resends = 2
)

// lateOrders leaves a runner's next start call without an answer and carries it out later.
type lateOrders struct {
	w *world
	r *runner
	// armed is set while the next start call is to get no answer, and left receives its time.
	armed atomic.Bool
	left  chan time.Time
}

// ServeHTTP implements http.Handler.
func (l *lateOrders) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/v1/run-start" || !l.armed.CompareAndSwap(true, false) {
		l.r.upstream.ServeHTTP(rw, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	l.w.logf("applied_late: the runner of %s leaves an order without an answer: %s", l.r.agent.name, body)
	l.left <- time.Now()
	time.AfterFunc(carriedOutAfter, func() {
		late := httptest.NewRequest(http.MethodPost, req.URL.Path, bytes.NewReader(body))
		late.Header = req.Header.Clone()
		answer := httptest.NewRecorder()
		l.r.upstream.ServeHTTP(answer, late)
		l.w.logf("the runner of %s carries the order out: %d %s", l.r.agent.name, answer.Code, answer.Body.String())
	})
	<-req.Context().Done()
}

// playRestart restarts hosts of runners shortly after one order to the runner got no answer. The
// runner is back before its agent and carries the order out.
func playRestart(w *world) int {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	go w.submitJobs(stop, &clients)
	time.Sleep(time.Second)
	for i := range restartedHosts {
		r := w.runners[i]
		if w.trouble {
			orders := &lateOrders{w: w, r: r, left: make(chan time.Time, 1)}
			_ = r.server.Close()
			if err := r.serveWith(orders); err != nil {
				w.logf("%v", err)
				return failed
			}
			time.Sleep(500 * time.Millisecond)
			orders.armed.Store(true)
			select {
			case <-orders.left:
			case <-time.After(10 * time.Second):
				w.logf("no order has reached the runner of %s", r.agent.name)
				return failed
			}
			time.Sleep(restartAfter)
			if err := w.restartHost(r, orders); err != nil {
				w.logf("%v", err)
				return failed
			}
		}
		time.Sleep(restartPause)
	}
	close(stop)
	clients.Wait()
	w.mu.Lock()
	n, all := 0, len(w.starts)
	for _, s := range w.starts {
		if len(s.others) > 0 {
			n++
		}
	}
	w.mu.Unlock()
	w.logf("%d starts, %d of them while the task was running elsewhere", all, n)
	switch {
	case all == 0:
		return failed
	case n > 0:
		return broken
	}
	return held
}

// restartHost restarts a runner and its agent.
func (w *world) restartHost(r *runner, orders *lateOrders) error {
	w.logf("node_kill and srv_crash: the host of %s restarts", r.agent.name)
	r.agent.stop()
	r.upstream.Crash()
	_ = r.server.Close()
	time.Sleep(runnerDown)
	r.upstream.BeginIncarnation()
	if err := r.serveWith(orders); err != nil {
		return err
	}
	w.logf("the runner of %s is back", r.agent.name)
	time.Sleep(agentDown - runnerDown)
	w.logf("the agent %s starts", r.agent.name)
	return r.agent.start()
}

// serveWith opens the runner's port for this handler.
func (r *runner) serveWith(h http.Handler) error {
	for try := 0; ; try++ {
		l, err := net.Listen("tcp", r.listen)
		if err == nil {
			r.server = &http.Server{Handler: h}
			go func(s *http.Server) { _ = s.Serve(l) }(r.server)
			return nil
		}
		if try == 20 {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// submitJobs lets clients hand in jobs of the kind session-closeout. A client whose connection is
// broken, or that gets no answer, 502 or 504, sends its job again, to the next node.
func (w *world) submitJobs(stop chan struct{}, clients *sync.WaitGroup) {
	job := chain(1, 4, 900*time.Millisecond)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(jobPause):
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprintf("%08x%08x", w.startAt.UnixNano()&0xffffffff, n)
			for try := range resends + 1 {
				d := w.dispatchers[(n+try)%len(w.dispatchers)]
				w.logf("POST /check/%s to %s", id, d.name)
				status, body := call(http.MethodPost, d.ip+":8161", "/check/"+id, job, 1500*time.Millisecond)
				w.logf("the POST /check/%s to %s gets %d %s", id, d.name, status, strings.TrimSpace(body))
				if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
					return
				}
				if try < resends {
					time.Sleep(resendPause)
				}
			}
		}()
	}
}
