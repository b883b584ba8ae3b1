package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	jobA = "5c0e7a21d94b36f8"
	// jobC and jobD belong to clients that neither move nor cancel.
	jobC = "3f92c6b08a1d47e5"
	jobD = "91d0b84e6c27fa53"
	// cancelTime and stopTime are the bounds cancel_ms and stopMs.
	cancelTime = 3000 * time.Millisecond
	stopTime   = 50 * time.Millisecond
)

// job is the body of a submission.
func job(s spec, steps ...step) map[string]any {
	return map[string]any{"taskSpec": s.String(), "bestEffort": true, "steps": steps}
}

// cancelElsewhere cancels a job that is at work. The client, one of three, has moved to another zone
// since it has submitted the job, so that its new connection reaches another dispatcher.
func cancelElsewhere(d *deployment, trouble bool) (int, error) {
	d.configure(1)
	for _, zone := range []string{"a", "b"} {
		if err := d.addDispatcher(zone); err != nil {
			return noRun, err
		}
		if err := d.addAgent(zone, 4000, time.Now()); err != nil {
			return noRun, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return noRun, err
	}
	var steps []step
	for i := range 12 {
		s := step{Count: 2, CPU: 2000, MemMb: 64}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	var wg sync.WaitGroup
	wg.Go(func() { d.send(d.dispatchers[0], "POST", jobA, job(spec{[]int{900}, 2000}, steps...), 16*time.Second) })
	for i, id := range []string{jobC, jobD} {
		wg.Go(func() {
			d.send(d.dispatchers[i], "POST", id, job(spec{[]int{500}, 1000}, step{Count: 1, CPU: 1000, MemMb: 64}), 8*time.Second)
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if !slices.ContainsFunc(d.log.intervals(), ofJobA) {
		return noRun, fmt.Errorf("no task of the job has started")
	}
	at := d.dispatchers[0]
	if trouble {
		at = d.dispatchers[1]
	}
	status, _ := d.send(at, "DELETE", jobA, nil, 4*time.Second)
	acked := d.log.now()
	if status != 200 && status != 410 {
		return noRun, fmt.Errorf("the cancelling got status %d", status)
	}
	wg.Wait()
	code := held
	for _, x := range d.log.intervals() {
		if !ofJobA(x) {
			continue
		}
		if x.from > acked+cancelTime {
			d.log.event("BROKEN: %s run %d started %d ms after the cancelling was acknowledged", x.task, x.run, (x.from - acked).Milliseconds())
			code = broken
		} else if x.until > acked+cancelTime+stopTime {
			d.log.event("BROKEN: %s run %d ran on until %d ms after the cancelling was acknowledged", x.task, x.run, (x.until - acked).Milliseconds())
			code = broken
		}
	}
	return code, nil
}

// ofJobA tells whether a run belongs to the job that is cancelled.
func ofJobA(x interval) bool { return strings.HasPrefix(x.task, jobA) }

// flapTime is how long a runner that goes down and up by turns is down, and up: a period of 0.9 s.
const flapTime = 450 * time.Millisecond

// setBack lets a runner, one of ten, go down and up by turns. When it is up for the first time, its time of day is
// ahead; before it comes up again, the time of day is set back.
func setBack(d *deployment, trouble bool) (int, error) {
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
	if trouble {
		x := d.agents[0].runner
		for _, ahead := range []time.Duration{2 * time.Second, 0} {
			x.crash()
			time.Sleep(flapTime)
			d.log.event("the time of day beside %s is %d ms ahead", x.id, ahead.Milliseconds())
			if err := x.start(time.Now().Add(ahead)); err != nil {
				return noRun, err
			}
			time.Sleep(flapTime)
		}
	}
	d.send(d.dispatchers[0], "POST", jobA, job(spec{[]int{1200}, 3000}, step{Count: 1, CPU: 3000, MemMb: 64, EstMs: 1200}), 8*time.Second)
	time.Sleep(time.Second)
	return overlapping(d), nil
}

// overlapping returns broken if two runs of a task were at work at the same time.
func overlapping(d *deployment) int {
	code := held
	list := d.log.intervals()
	for i, x := range list {
		for _, y := range list[:i] {
			if x.task == y.task && x.from < y.until && y.from < x.until {
				d.log.event("BROKEN: %s was at work on %s and %s for %d ms", x.task, y.runner, x.runner,
					(min(x.until, y.until) - max(x.from, y.from)).Milliseconds())
				code = broken
			}
		}
	}
	return code
}
