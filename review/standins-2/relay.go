package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// cutFor is how long edge-2 is cut off from the agents, and cancelAfter the time from the
	// start of the cut to the cancellings.
	cutFor      = 4 * time.Second
	cancelAfter = 1500 * time.Millisecond
	// cancelledJobs is the number of jobs that are cancelled.
	cancelledJobs = 8
)

// playRelay cancels jobs at edge-1 while edge-2 is cut off from the agents for a short time. Some
// seconds after their answers, when all are in touch again, the submissions arrive once more, at
// edge-2.
func playRelay(w *world) int {
	if w.trouble {
		for _, k := range w.links {
			k.cut(true)
		}
		w.logf("node_cut: edge-2 is cut off from the agents")
	}
	cutAt := time.Now()
	time.Sleep(cancelAfter - 500*time.Millisecond)
	var wg sync.WaitGroup
	post := func(d *proc, path string) {
		defer wg.Done()
		w.logf("POST %s arrives at %s", path, d.name)
		status, body := call(http.MethodPost, d.ip+":8161", path, chain(1, 1, 2*time.Second), 8*time.Second)
		w.logf("the POST %s at %s gets %d %s", path, d.name, status, strings.TrimSpace(body))
	}
	ids := make([]string, cancelledJobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("5c0e7a21d94b36%02x", i)
		wg.Add(1)
		go post(w.dispatchers[0], "/check/"+ids[i])
	}
	time.Sleep(500 * time.Millisecond)
	for _, id := range ids {
		status, _ := call(http.MethodDelete, w.dispatchers[0].ip+":8161", "/check/"+id, nil, time.Second)
		w.logf("DELETE /check/%s at edge-1 gets %d", id, status)
		if status != http.StatusOK {
			return failed
		}
	}
	acknowledged := time.Now()
	wg.Wait()
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if w.trouble {
		for _, k := range w.links {
			k.cut(false)
		}
		w.logf("the cut ends")
	}
	time.Sleep(contactTime + 300*time.Millisecond)
	if status, _ := call(http.MethodGet, w.dispatchers[1].ip+":8167", "/v1/ready", nil, time.Second); status != http.StatusOK {
		w.logf("edge-2 is not ready: %d", status)
		return failed
	}
	for _, id := range ids {
		wg.Add(1)
		go post(w.dispatchers[1], "/check/"+id)
	}
	wg.Wait()
	limit := acknowledged.Add(cancelTime)
	n := 0
	for _, id := range ids {
		n += w.startsOf(id, limit)
	}
	w.logf("%d tasks of cancelled jobs were started later than %s, cancel_ms after the last acknowledgement", n, w.at(limit))
	if n > 0 {
		return broken
	}
	return held
}
