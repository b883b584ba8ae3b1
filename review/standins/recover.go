package main

import "time"

// lostAgents kills all processes of the system and starts them again. Then it cuts each agent off
// from the dispatchers twice for half a second; the cuts reset and refuse connections. Of the jobs
// sent recoveryS after the processes are back, a quarter has to be served.
func lostAgents(w *world, trouble, keep bool) error {
	const (
		before   = 5 * time.Second
		recovery = 12 * time.Second
		after    = 10 * time.Second
		cutFor   = 500 * time.Millisecond
		pause    = 400 * time.Millisecond
	)
	d, err := newDeployment(w, 2, 3)
	if err != nil {
		return err
	}
	defer d.close(keep)
	if err := d.start("a"); err != nil {
		return err
	}
	c := newClients(w, d.frontAddrs)
	began := time.Now()
	end := began.Add(before + time.Second + recovery + after)
	c.press(jobKind{name: "currency-check", count: 4, workMs: 60, cpu: 1000, deadline: 1500 * time.Millisecond}, 20, end)
	time.Sleep(before)
	fault := time.Now()
	w.record("all processes of the system are killed")
	all := append(append([]*program{}, d.sides...), d.fronts...)
	for _, p := range all {
		p.kill()
	}
	time.Sleep(500 * time.Millisecond)
	for _, p := range all {
		if err := p.start(); err != nil {
			return err
		}
	}
	back := time.Now()
	w.record("all processes of the system are started again")
	time.Sleep(3 * time.Second)
	for range 2 {
		for i, l := range d.links {
			if !trouble {
				continue
			}
			w.record("cut of %s from the dispatchers begins", d.sides[i].name)
			l.cut()
			time.Sleep(cutFor)
			if err := l.open(); err != nil {
				return err
			}
			w.record("cut of %s ends", d.sides[i].name)
			time.Sleep(pause)
		}
	}
	w.record("the last cut has ended %.1f s after the processes were back", time.Since(back).Seconds())
	time.Sleep(time.Until(end))
	c.wg.Wait()
	servedBefore, sentBefore := c.served(began, fault.Add(-2*time.Second))
	servedAfter, sentAfter := c.served(back.Add(recovery), end)
	w.record("before the fault, %d of %d jobs were served; of those sent 12 s after the processes were back, %d of %d",
		servedBefore, sentBefore, servedAfter, sentAfter)
	w.record("answers: %s", c.summary())
	if 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter {
		w.breaks("of %d jobs sent later than 12 s after the processes were back, %d were served", sentAfter, servedAfter)
	}
	return nil
}
