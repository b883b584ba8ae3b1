package main

import (
	"fmt"
	"sync"
	"time"
)

// jobB is the start of the IDs of the jobs beside jobA.
const jobB = "b17e4a90c2d8f653"

// restartTwice restarts the host of a runner twice, while an order to the runner has no answer yet.
func restartTwice(d *deployment, trouble bool) (int, error) {
	d.configure(1)
	if err := d.addDispatcher("a"); err != nil {
		return noRun, err
	}
	for _, zone := range []string{"a", "b", "c", "b", "c", "b", "c", "b", "c", "b"} {
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
	var wg sync.WaitGroup
	wg.Go(func() {
		d.send(d.dispatchers[0], "POST", jobA, job(spec{[]int{9000}, 3000}, step{Count: 1, CPU: 3000, MemMb: 64, EstMs: 9000}), 20*time.Second)
	})
	if trouble {
		time.Sleep(time.Second)
		if x.runner.late == nil {
			return noRun, fmt.Errorf("no start was sent to %s", x.runner.id)
		}
		for i := range 2 {
			d.log.event("the host of %s restarts", x.runner.id)
			x.kill()
			x.runner.crash()
			time.Sleep(200 * time.Millisecond)
			if err := x.runner.start(time.Now()); err != nil {
				return noRun, err
			}
			time.Sleep(300 * time.Millisecond)
			if i == 1 {
				x.runner.carryOutLate()
			}
			time.Sleep(time.Second)
			d.log.event("the agent of %s is back", x.runner.id)
			if err := x.start(); err != nil {
				return noRun, err
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}
	wg.Wait()
	return overlapping(d), nil
}

// cutNode cuts a dispatcher off, one of seven machines, right after a task has started by its order.
func cutNode(d *deployment, trouble bool) (int, error) {
	const cutTime = 5400 * time.Millisecond
	d.configure(1)
	for _, zone := range []string{"a", "b"} {
		if err := d.addDispatcher(zone); err != nil {
			return noRun, err
		}
	}
	for _, zone := range []string{"a", "b", "c", "c", "c"} {
		if err := d.addAgent(zone, 4000, time.Now()); err != nil {
			return noRun, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return noRun, err
	}
	a, b := d.dispatchers[0], d.dispatchers[1]
	var links []*link
	for _, x := range d.agents {
		links = append(links, x.links[a.name])
	}
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
		d.log.event("%s is cut off", a.name)
		for _, l := range links {
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
		d.log.event("%s is no longer cut off", a.name)
		for _, l := range links {
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
