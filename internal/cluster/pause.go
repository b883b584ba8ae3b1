package cluster

import "github.com/dogwoodgauge/dogwoodgauge/core/node"

// Pause stops an agent or entry where it next touches the log or sends a
// message, as a stopped process would: its core takes no further event, while
// tasks that run on its upstream go on.
func (c *Cluster) Pause(id node.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, paused := c.paused[id]; !paused {
		c.paused[id] = make(chan struct{})
	}
}

// Resume ends a pause.
func (c *Cluster) Resume(id node.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if resumed, paused := c.paused[id]; paused {
		close(resumed)
		delete(c.paused, id)
	}
}

// resumeAll ends every pause.
func (c *Cluster) resumeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, resumed := range c.paused {
		close(resumed)
		delete(c.paused, id)
	}
}

// awaitResume waits while a process is paused.
func (c *Cluster) awaitResume(id node.ID) {
	c.mu.Lock()
	resumed := c.paused[id]
	c.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}
