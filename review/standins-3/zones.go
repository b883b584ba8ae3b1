package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// resendPause is the pause before a client sends a job again (retransmitMs).
	resendPause = 1300 * time.Millisecond
	jobB        = "b17e4a90c2d8f653"
)

// lostZone cuts the power of a zone while an order to a runner there has no answer yet. The client's
// dispatcher is in the zone, so the client sends its job again to another one.
func lostZone(d *deployment, trouble bool) (int, error) {
	d.configure(1)
	for _, zone := range []string{"a", "b"} {
		if err := d.addDispatcher(zone); err != nil {
			return noRun, err
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		if err := d.addAgent(zone, 4000, time.Now()); err != nil {
			return noRun, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return noRun, err
	}
	x := d.agents[0]
	if trouble {
		x.runner.mu.Lock()
		x.runner.lateStart = true
		x.runner.mu.Unlock()
	}
	body := job(spec{[]int{1200, 5000}, 3000}, step{Count: 1, CPU: 3000, MemMb: 64, EstMs: 1200}, step{Count: 1, CPU: 3000, MemMb: 64, EstMs: 5000})
	var wg sync.WaitGroup
	wg.Go(func() {
		for try := 0; ; try++ {
			status, _ := d.send(d.dispatchers[min(try, 1)], "POST", jobA, body, 16*time.Second)
			if try == 3 || status != 0 && status != 504 && status != 502 {
				return
			}
			time.Sleep(resendPause)
		}
	})
	if trouble {
		time.Sleep(2 * time.Second)
		if x.runner.late == nil {
			return noRun, fmt.Errorf("no start was sent to %s", x.runner.id)
		}
		d.log.event("zone a loses power")
		d.dispatchers[0].kill()
		x.kill()
		x.runner.crash()
		time.Sleep(500 * time.Millisecond)
		if err := x.runner.start(time.Now()); err != nil {
			return noRun, err
		}
		time.Sleep(500 * time.Millisecond)
		x.runner.carryOutLate()
		time.Sleep(500 * time.Millisecond)
		d.log.event("the machines of zone a are back")
		if err := x.start(); err != nil {
			return noRun, err
		}
		if err := d.dispatchers[0].start(); err != nil {
			return noRun, err
		}
	}
	wg.Wait()
	return overlapping(d), nil
}

// cutZone cuts a zone off right after a task has started in another zone.
func cutZone(d *deployment, trouble bool) (int, error) {
	const cutTime = 5400 * time.Millisecond
	d.configure(1)
	for _, zone := range []string{"a", "b"} {
		if err := d.addDispatcher(zone); err != nil {
			return noRun, err
		}
	}
	for _, zone := range []string{"a", "b"} {
		if err := d.addAgent(zone, 4000, time.Now()); err != nil {
			return noRun, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return noRun, err
	}
	a, b := d.dispatchers[0], d.dispatchers[1]
	between := []*link{d.agents[1].links[a.name], d.agents[0].links[b.name]}
	started := make(chan string, 16)
	d.agents[1].runner.onStart = func(task string) { started <- task }
	var wg sync.WaitGroup
	status := 0
	wg.Go(func() {
		status, _ = d.send(a, "POST", jobA, job(spec{[]int{150}, 3000}, step{Count: 1, CPU: 3000, MemMb: 64, Requires: "b"}), 7*time.Second)
	})
	<-started
	begun := time.Now()
	go d.askCounts(a)
	if trouble {
		time.Sleep(20 * time.Millisecond)
		d.log.event("zone a is cut off")
		for _, l := range between {
			l.cut()
		}
	}
	for i, at := range []time.Duration{1000, 2900, 4900} {
		time.Sleep(time.Until(begun.Add(at * time.Millisecond)))
		wg.Go(func() {
			d.send(b, "POST", fmt.Sprintf("%s%d", jobB[:15], i), job(spec{[]int{2100}, 3000}, step{Count: 1, CPU: 3000, MemMb: 64, EstMs: 2100, Requires: "b"}), 9*time.Second)
		})
	}
	time.Sleep(time.Until(begun.Add(cutTime)))
	if trouble {
		d.log.event("zone a is no longer cut off")
		for _, l := range between {
			l.heal()
		}
	}
	wg.Wait()
	if status != 429 && status != 503 {
		return held, nil
	}
	for _, x := range d.log.intervals() {
		if x.task[:16] == jobA {
			d.log.event("BROKEN: %s started, and every attempt to hand %s in was rejected: %d", x.task, jobA, status)
			return broken, nil
		}
	}
	return held, nil
}
