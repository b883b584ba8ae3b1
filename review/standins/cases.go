package main

import (
	"net/http"
	"time"
)

// resetCut cuts one agent after the other off from the dispatchers for a second. The cut resets
// and refuses connections. No two runs of one task may overlap.
func resetCut(w *world, trouble, keep bool) error {
	d, err := newDeployment(w, 2, 7)
	if err != nil {
		return err
	}
	defer d.close(keep)
	w.overlapBreaks = true
	if err := d.start("a"); err != nil {
		return err
	}
	c := newClients(w, d.frontAddrs)
	end := time.Now().Add(34 * time.Second)
	c.press(jobKind{name: "currency-check", count: 8, workMs: 60, cpu: 1000, deadline: 1600 * time.Millisecond}, 34, end)
	c.press(jobKind{name: "cert-pull", count: 2, workMs: 200, cpu: 1000, deadline: 1900 * time.Millisecond}, 60, end)
	c.press(jobKind{name: "session-closeout", count: 4, workMs: 1200, cpu: 1000, deadline: 3500 * time.Millisecond}, 10, end)
	time.Sleep(3 * time.Second)
	for i, l := range d.links {
		if trouble {
			w.record("cut of %s from the dispatchers begins", d.sides[i].name)
			l.cut()
		}
		time.Sleep(time.Second)
		if trouble {
			if err := l.open(); err != nil {
				return err
			}
			w.record("cut of %s ends", d.sides[i].name)
		}
		time.Sleep(3 * time.Second)
	}
	c.wg.Wait()
	w.record("answers: %s", c.summary())
	return nil
}

// changedKind restarts an idle runner as one of another kind. No task may start on a runner
// without the label that it requires.
func changedKind(w *world, trouble, keep bool) error {
	d, err := newDeployment(w, 2, 3)
	if err != nil {
		return err
	}
	defer d.close(keep)
	first := d.runners[0]
	kind := "a"
	w.onBegin = func(r *runner, t *taskRun) {
		if r.labels[0] != "a" {
			w.breaks("run %d of %s begins on %s, which has the label %q, and its step requires \"a\"", t.run, t.task, r.id, r.labels[0])
		}
	}
	if err := d.start("a"); err != nil {
		return err
	}
	c := newClients(w, d.frontAddrs)
	end := time.Now().Add(76 * time.Second)
	c.press(jobKind{name: "currency-check", count: 1, workMs: 20, cpu: 1000, requires: "a", deadline: 1500 * time.Millisecond}, 10, end)
	time.Sleep(time.Second)
	for range 36 {
		for !first.idle() {
			time.Sleep(time.Millisecond)
		}
		if trouble {
			first.crash()
			if kind == "a" {
				kind = "b"
			} else {
				kind = "a"
			}
			time.Sleep(60 * time.Millisecond)
			if err := first.start(kind); err != nil {
				return err
			}
		}
		time.Sleep(2 * time.Second)
	}
	c.wg.Wait()
	w.record("answers: %s", c.summary())
	return nil
}

// cancelledAgain cancels jobs at the dispatcher that runs them. Later than cancel_ms and stopMs
// after the acknowledgement, no task of them may run.
func cancelledAgain(w *world, trouble, keep bool) error {
	const cancelTime, stopTime = 3000 * time.Millisecond, 50 * time.Millisecond
	d, err := newDeployment(w, 2, 3)
	if err != nil {
		return err
	}
	defer d.close(keep)
	if err := d.start("a"); err != nil {
		return err
	}
	c := newClients(w, d.frontAddrs)
	kind := jobKind{name: "session-closeout", steps: 3, count: 4, workMs: 900, cpu: 1000, deadline: 5 * time.Second}
	for i := range 10 {
		id := newID()
		c.wg.Go(func() { c.submit(client(), kind, id, i, 2) })
		if trouble && i%3 == 0 {
			c.wg.Go(func() {
				time.Sleep(400 * time.Millisecond)
				status, _ := c.call(client(), http.MethodDelete, c.addrs[i%len(c.addrs)], id, "", 2*time.Second)
				if status/100 != 2 && status != http.StatusGone {
					return
				}
				acked := time.Now()
				w.record("the cancelling of %s is acknowledged", id)
				time.Sleep(cancelTime)
				w.watchCancelled(id, acked, cancelTime, stopTime)
			})
		}
		time.Sleep(700 * time.Millisecond)
	}
	c.wg.Wait()
	time.Sleep(time.Second)
	w.record("answers: %s", c.summary())
	return nil
}
