package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// storeDownAfter is the time from one change of the configuration to the outage of the
	// store, and storeDownFor the length of the outage.
	storeDownAfter = 400 * time.Millisecond
	storeDownFor   = 3320 * time.Millisecond
	// changeAfter is the time from the end of the outage to the next change.
	changeAfter = 900 * time.Millisecond
	// margin is added to the bounds, for the delays of this machine.
	margin        = 20 * time.Millisecond
	probeInterval = 20 * time.Millisecond
)

// playConfig changes the configuration after an outage of the store: one route is added and one
// is dropped. It then asks each dispatcher for both.
func playConfig(w *world) int {
	w.publish(4, route("check"), route("old"))
	time.Sleep(storeDownAfter)
	if w.trouble {
		w.store.setDown(true)
		w.logf("platform_down: the store answers no call")
	}
	time.Sleep(storeDownFor)
	w.store.setDown(false)
	up := time.Now()
	w.logf("the store answers")
	time.Sleep(changeAfter)
	w.publish(9, route("check"), route("new"))
	// In force by configApplyMs after the acknowledgement, for machines in touch, which all are
	// contactMs after the end of the outage.
	due := time.Now().Add(configApplyTime)
	if inTouch := up.Add(contactTime); inTouch.After(due) {
		due = inTouch
	}
	due = due.Add(margin)
	w.logf("the change has to be in force from %s on", w.at(due))

	time.Sleep(time.Until(due))
	var wg sync.WaitGroup
	var mu sync.Mutex
	stale, answers := 0, 0
	for _, d := range w.dispatchers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(due) < 2*time.Second; n++ {
				sent := time.Now()
				added, _ := call(http.MethodGet, d.ip+":8161", "/new/", nil, time.Second)
				id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, n)
				dropped, body := call(http.MethodPost, d.ip+":8161", "/old/"+id, chain(1, 1, 20*time.Millisecond), 1500*time.Millisecond)
				mu.Lock()
				answers += 2
				if added == http.StatusNotFound {
					stale++
					w.logf("stale: %s answers the GET of the added route, sent at %s, with 404", d.name, w.at(sent))
				}
				if dropped == http.StatusOK {
					stale++
					w.logf("stale: %s answers a job on the dropped route, sent at %s, with 200 %s", d.name, w.at(sent), body)
				}
				mu.Unlock()
				time.Sleep(probeInterval)
			}
		}()
	}
	wg.Wait()
	w.logf("%d requests, %d handled as only the older version allows", answers, stale)
	switch {
	case stale > 0:
		return broken
	case answers == 0:
		return failed
	}
	return held
}
