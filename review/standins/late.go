package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// longWorkMs is the work of the tasks of which a start call may be late.
const longWorkMs = 3000

// lateOrder leaves one start call of a runner without an answer and keeps it, so that it is carried
// out late.
type lateOrder struct {
	mu      sync.Mutex
	armed   bool
	leftAt  time.Time
	task    string
	execute func()
}

// take is the runner's mute function.
func (o *lateOrder) take(path string, body callBody, execute func()) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.armed || path != "/v1/run-start" || !strings.Contains(body.TaskSpec, fmt.Sprintf(`"workMs":%d,`, longWorkMs)) {
		return false
	}
	o.armed, o.leftAt, o.task, o.execute = false, time.Now(), body.Task, execute
	return true
}

// arm makes the next start call of a long task a late one.
func (o *lateOrder) arm() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.armed, o.execute = true, nil
}

// taken returns the call that was left without an answer, if any.
func (o *lateOrder) taken() (at time.Time, task string, execute func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leftAt, o.task, o.execute
}

// lateStart leaves one start call of a runner without an answer. The runner's host restarts: the
// runner and its agent end. The runner is back under its id before the agent, and its next life carries
// the call out late. No two runs of one task may overlap.
func lateStart(w *world, trouble, keep bool) error {
	const (
		late      = 2100 * time.Millisecond
		restartAt = 1700 * time.Millisecond
		downTime  = 200 * time.Millisecond
		agentBack = 1500 * time.Millisecond
	)
	d, err := newDeployment(w, 2, 7)
	if err != nil {
		return err
	}
	defer d.close(keep)
	d.store.RewriteAgentRecord = nil // The dispatchers reach the agents without a proxy.
	orders := make([]*lateOrder, len(d.runners))
	for i, r := range d.runners {
		orders[i] = &lateOrder{}
		r.mute = orders[i].take
	}
	w.overlapBreaks = true
	if err := d.start("a"); err != nil {
		return err
	}
	c := newClients(w, d.frontAddrs)
	end := time.Now().Add(50 * time.Second)
	c.press(jobKind{name: "cert-pull", count: 2, workMs: 200, cpu: 1000, deadline: 1900 * time.Millisecond}, 20, end)
	c.press(jobKind{name: "session-closeout", count: 4, workMs: longWorkMs, cpu: 1000, deadline: 8 * time.Second}, 3, end)
	time.Sleep(time.Second)
	for i := 0; i < 2*len(d.runners) && time.Now().Before(end.Add(-5*time.Second)); i++ {
		r, agent, order := d.runners[i%len(d.runners)], d.sides[i%len(d.runners)], orders[i%len(d.runners)]
		if !trouble {
			time.Sleep(5 * time.Second)
			continue
		}
		order.arm()
		at, task, execute := order.taken()
		for execute == nil && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
			at, task, execute = order.taken()
		}
		if execute == nil {
			break
		}
		w.record("%s leaves a start call of %s without an answer", r.id, task)
		time.Sleep(time.Until(at.Add(restartAt)))
		w.record("the host of %s restarts", r.id)
		agent.kill()
		r.crash()
		time.Sleep(downTime)
		if err := r.start("a"); err != nil {
			return err
		}
		time.Sleep(time.Until(at.Add(late)))
		w.record("%s carries out the start call of %s, %.1f s late", r.id, task, time.Since(at).Seconds())
		execute()
		time.Sleep(time.Until(at.Add(restartAt + agentBack)))
		if err := agent.start(); err != nil {
			return err
		}
		w.record("%s is started again", agent.name)
		time.Sleep(2 * time.Second)
	}
	c.wg.Wait()
	w.record("answers: %s", c.summary())
	return nil
}
