package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/interference"
)

const (
	// minEvidenceInterval is the shortest pause between two reports of evidence to one
	// dispatcher. evidencePause is the mean pause between two reports to any dispatcher: with
	// at most 0.6 kB each, an agent sends about 1.2 kB a second to any number of dispatchers.
	minEvidenceInterval = 5 * time.Second
	evidencePause       = 500 * time.Millisecond
	// maxWatchedRoutes bounds the size of CapacityReport.Running.
	maxWatchedRoutes = 8
)

// setWatch records a dispatcher's request for evidence. Runs are observed while any
// dispatcher requests it.
func (c *Core) setWatch(h *leaseHolder, w *message.InterferenceWatch) {
	ended := h.watch != nil && w == nil
	h.watch = w
	if w != nil && c.observer == nil {
		c.observer = interference.NewObserver()
		c.observer.SetLoad(c.now.Mono, c.loadShare())
	}
	if ended {
		c.endUnusedObservation()
	}
}

// endUnusedObservation drops the evidence if no dispatcher requests it any more.
func (c *Core) endUnusedObservation() {
	for _, h := range c.holderOrder {
		if h.watch != nil {
			return
		}
	}
	c.observer = nil
	for _, r := range c.runs {
		r.observed = nil
	}
}

// observeStart records the start of a run, after its demand was added to used.
func (c *Core) observeStart(r *run) {
	if c.observer != nil {
		r.observed = c.observer.Start(c.now.Mono, r.route, r.name.Job)
		c.observer.SetLoad(c.now.Mono, c.loadShare())
	}
}

// observeEnd records the end of a run, after its demand was subtracted from used. Only a run
// that has succeeded tells how long its task takes.
func (c *Core) observeEnd(r *run, result message.RunResult, duration time.Duration) {
	if c.observer == nil {
		return
	}
	if r.observed != nil {
		ratio := 0.0
		if result == message.RunDone && r.expectedDuration > 0 {
			ratio = float64(duration) / float64(r.expectedDuration)
		}
		c.observer.End(c.now.Mono, r.observed, ratio)
		r.observed = nil
	}
	c.observer.SetLoad(c.now.Mono, c.loadShare())
}

// loadShare returns the share of the upstream's cores in use.
func (c *Core) loadShare() float64 {
	return float64(c.used.MilliCPU) / float64(max(c.upstream.capacity.MilliCPU, 1))
}

// dueEvidence returns the evidence if it is due to be sent to a dispatcher, or nil.
func (c *Core) dueEvidence(h *leaseHolder) *message.InterferenceReport {
	pause := max(minEvidenceInterval, time.Duration(len(c.holders))*evidencePause)
	if h.watch == nil || c.observer == nil || h.evidenceSentAt > 0 && c.now.Mono-h.evidenceSentAt < pause {
		return nil
	}
	h.evidenceSentAt = c.now.Mono
	return c.observer.Report(c.now.Mono)
}

// watchedRuns returns the numbers of open runs of the routes that a dispatcher watches, or
// nil if there are none.
func (c *Core) watchedRuns(h *leaseHolder) map[string]int {
	if h.watch == nil || c.observer == nil {
		return nil
	}
	var counts map[string]int
	for _, route := range h.watch.Routes[:min(len(h.watch.Routes), maxWatchedRoutes)] {
		if n := c.observer.Open(route); n > 0 {
			if counts == nil {
				counts = make(map[string]int)
			}
			counts[route] = n
		}
	}
	return counts
}
