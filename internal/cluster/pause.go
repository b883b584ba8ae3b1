package cluster

import "github.com/dogwoodgauge/dogwoodgauge/core/node"

// Pause blocks an agent or entry when it next uses the log or sends a message. Like
// in a process stopped by a signal, the core then processes no further event, while
// the tasks that run on the local upstream continue.
func (c *Cluster) Pause(id node.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, paused := c.paused[id]; !paused {
		c.paused[id] = make(chan struct{})
	}
}

// Resume unblocks a paused agent or entry.
func (c *Cluster) Resume(id node.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if resumed, paused := c.paused[id]; paused {
		close(resumed)
		delete(c.paused, id)
	}
}

// resumeAll unblocks every paused process.
func (c *Cluster) resumeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, resumed := range c.paused {
		close(resumed)
		delete(c.paused, id)
	}
}

// isPaused reports whether the process is paused.
func (c *Cluster) isPaused(id node.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, paused := c.paused[id]
	return paused
}

// awaitResume blocks while the process is paused.
func (c *Cluster) awaitResume(id node.ID) {
	c.mu.Lock()
	resumed := c.paused[id]
	c.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}
