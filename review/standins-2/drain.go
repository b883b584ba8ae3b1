package main

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"
)

const (
	// drainTime is `drainMs` of the small deployments.
	drainTime = 2000 * time.Millisecond
	// foreignAfter is the time from the acknowledgement to the heartbeat of another writer.
	foreignAfter = 500 * time.Millisecond
	// observeTime is how long the case goes on after the acknowledgement. The runner goes on to
	// serve for that time.
	observeTime = 7 * time.Second
	jobInterval = 50 * time.Millisecond
)

// playDrain lets a runner drain. Then a heartbeat of another writer arrives under its name, with
// fields missing and of another type.
func playDrain(w *world) int {
	r := w.runners[0]
	r.upstream.Drain()
	var acked time.Time
	for end := time.Now().Add(5 * time.Second); acked.IsZero(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.logf("the draining runner gets no acknowledgement")
			return failed
		}
		r.mu.Lock()
		acked = r.drainingAckedAt
		r.mu.Unlock()
	}
	w.logf("%s acknowledges that its runner is draining", r.agent.name)
	time.Sleep(time.Until(acked.Add(foreignAfter)))
	if w.trouble {
		r.mu.Lock()
		foreign := maps.Clone(r.lastBeat)
		r.mu.Unlock()
		delete(foreign, "address")
		delete(foreign, "version")
		foreign["slots"], foreign["state"] = "eight", "ready"
		foreign["seq"] = foreign["seq"].(float64) + 1000
		status := r.beat("/v1/instances/i-"+r.agent.name, foreign)
		w.logf("a heartbeat of another writer, without address and version and with slots = \"eight\", gets %d", status)
	}
	limit := acked.Add(drainTime + margin)
	for n := 0; time.Since(acked) < observeTime; n++ {
		d := w.dispatchers[n%len(w.dispatchers)]
		path := fmt.Sprintf("/check/%08x%08x", acked.UnixNano()&0xffffffff, n)
		go func() {
			w.logf("POST %s to %s", path, d.name)
			status, body := call(http.MethodPost, d.ip+":8161", path, chain(1, 8, 60*time.Millisecond), 1500*time.Millisecond)
			w.logf("the POST %s to %s gets %d %s", path, d.name, status, strings.TrimSpace(body))
		}()
		time.Sleep(jobInterval)
	}
	time.Sleep(time.Second)
	w.mu.Lock()
	late, all := 0, 0
	for _, s := range w.starts {
		if s.at.After(limit) {
			all++
			if s.runner == r.upstream {
				late++
			}
		}
	}
	w.mu.Unlock()
	w.logf("after %s, %d ms after the acknowledgement: %d tasks started, %d of them on the draining runner of %s", w.at(limit), (drainTime + margin).Milliseconds(), all, late, r.agent.name)
	switch {
	case all == 0:
		return failed
	case late > 0:
		return broken
	}
	return held
}
