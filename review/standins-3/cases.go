package main

import (
	"time"
)

const jobA = "5c0e7a21d94b36f8"

// job is the body of a submission.
func job(s spec, steps ...step) map[string]any {
	return map[string]any{"taskSpec": s.String(), "bestEffort": true, "steps": steps}
}

// crashTime is how long a runner that crashes is down, and how long it is up before it crashes again.
const crashTime = 450 * time.Millisecond

// setBack lets a runner, one of ten, crash twice. When it starts for the first time, its time of day
// is ahead; before it starts again, the time of day is set back.
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
			time.Sleep(crashTime)
			d.log.event("the time of day beside %s is %d ms ahead", x.id, ahead.Milliseconds())
			if err := x.start(time.Now().Add(ahead)); err != nil {
				return noRun, err
			}
			time.Sleep(crashTime)
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
