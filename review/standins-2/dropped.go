package main

import (
	"net/http"
	"strings"
	"time"
)

// ackTime is `ackMs` of the small deployments.
const ackTime = 4000 * time.Millisecond

// playDropped cancels a job while it runs. Before that, a change of the configuration has dropped
// the route on which the job was handed in.
func playDropped(w *world) int {
	front, err := newIngress(w.ip(4, 1)+":80", w.dispatchers[0].ip+":8161")
	if err != nil {
		w.logf("%v", err)
		return failed
	}
	const id, wait = "7d94b36f85c0e21a", 20 * time.Second
	path := "/old/" + id
	ended := make(chan int, 1)
	go func() {
		w.logf("the client sends POST %s", path)
		status, body := call(http.MethodPost, front.addr, path, chain(10, 2, 1500*time.Millisecond), wait)
		w.logf("the client's POST gets %d %s", status, strings.TrimSpace(body))
		ended <- status
	}()
	time.Sleep(time.Second)
	if w.startsOf(id, time.Time{}) == 0 {
		w.logf("no task of the job has started")
		return failed
	}
	if w.trouble {
		w.publish(6, route("check"))
	}
	time.Sleep(time.Second)
	// The client repeats its DELETE until it is acknowledged.
	first := time.Now()
	limit := first.Add(ackTime + cancelTime)
	for n := 1; ; n++ {
		status, _ := call(http.MethodDelete, front.addr, path, nil, time.Second)
		w.logf("DELETE %s, try %d, gets %d", path, n, status)
		if status/100 == 2 || status == http.StatusGone {
			limit = time.Now().Add(cancelTime)
			break
		}
		if time.Since(first) > ackTime {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	<-ended
	time.Sleep(500 * time.Millisecond)
	n := w.startsOf(id, limit)
	w.logf("%d tasks of the job were started later than %s, by which the job had to be cancelled", n, w.at(limit))
	if n > 0 {
		return broken
	}
	return held
}
