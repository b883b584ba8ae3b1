package main

import (
	"fmt"
	"sync"
	"time"
)

// resendPause is the pause before a client sends a job again (retransmitMs).
const resendPause = 1300 * time.Millisecond

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
