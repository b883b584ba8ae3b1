// Package latestart remembers the jobs of which an upstream may still execute a start call that
// got no answer, while the agent beside it is down or cut off from it. Their tasks must not start
// elsewhere until that is ruled out, also when the jobs are submitted again.
package latestart

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// MaxHolds limits the holds that are remembered, and so the memory: about 0.2 KB each.
	MaxHolds = 2048
	// expiryPrecision is how late a hold that has expired is removed at most. It keeps the cost of
	// frequent changes low.
	expiryPrecision = 50 * time.Millisecond
)

// Key identifies a hold.
type Key struct {
	Job string `json:"j"`
	// Agent is the incarnation of the agent that has sent the start call, and Dispatcher that of
	// the dispatcher that had offered it the task.
	Agent      node.Ref `json:"a"`
	Dispatcher node.Ref `json:"d"`
}

// Hold is what keeps a job from being started.
type Hold struct {
	Key
	// Offer is the highest Offer.Seq of the tasks that may start late.
	Offer uint64 `json:"o"`
	// Released is set once no call of the offers up to Offer can be executed any more. The hold
	// is kept, since a message about its beginning may be received after one about its end.
	Released bool `json:"r,omitempty"`
	// ExpiresAt is the time after which no call can be executed any more.
	ExpiresAt time.Duration `json:"-"`
}

// Memory holds the holds of one process. The zero value is empty.
type Memory struct {
	holds map[Key]Hold
	// order lists the keys in the order of addition.
	order []Key
	// jobs counts the holds of a job that are not released.
	jobs map[string]int
	// nextExpiry is when expired holds are removed again.
	nextExpiry time.Duration
}

// Update adds a hold or replaces an older state of it. It reports whether h was news. If the memory
// is full, it forgets the oldest hold, and returns that unless it was released.
func (m *Memory) Update(now time.Duration, h Hold) (changed bool, forgotten *Hold) {
	m.expire(now)
	old, known := m.holds[h.Key]
	if known && (h.Offer < old.Offer || h.Offer == old.Offer && (old.Released || !h.Released)) {
		return false, nil
	}
	m.Remove(h.Key)
	if len(m.holds) == MaxHolds {
		oldest := m.holds[m.order[0]]
		m.Remove(oldest.Key)
		if !oldest.Released {
			forgotten = &oldest
		}
	}
	if m.holds == nil {
		m.holds, m.jobs = make(map[Key]Hold), make(map[string]int)
	}
	m.holds[h.Key] = h
	m.order = append(m.order, h.Key)
	if !h.Released {
		m.jobs[h.Job]++
	}
	return true, forgotten
}

// Remove forgets a hold of which nobody else was told.
func (m *Memory) Remove(k Key) {
	h, ok := m.holds[k]
	if !ok {
		return
	}
	delete(m.holds, k)
	if !h.Released {
		if m.jobs[h.Job]--; m.jobs[h.Job] == 0 {
			delete(m.jobs, h.Job)
		}
	}
	i := slices.Index(m.order, k)
	m.order = slices.Delete(m.order, i, i+1)
}

// Latest returns the newest known state of a hold.
func (m *Memory) Latest(h Hold) Hold {
	if known, ok := m.holds[h.Key]; ok {
		return known
	}
	return h
}

// Held reports whether a task of the job may start late.
func (m *Memory) Held(now time.Duration, job string) bool {
	if m.jobs[job] == 0 {
		return false
	}
	m.expire(now)
	return m.jobs[job] > 0
}

// Of returns the holds that wait for an incarnation of an agent, the oldest first.
func (m *Memory) Of(now time.Duration, agent node.Ref) []Hold {
	if len(m.jobs) == 0 {
		return nil
	}
	return slices.DeleteFunc(m.Holds(now), func(h Hold) bool { return h.Agent != agent })
}

// Holds returns the holds that are not released, the oldest first.
func (m *Memory) Holds(now time.Duration) []Hold {
	m.expire(now)
	var list []Hold
	for _, k := range m.order {
		if h := m.holds[k]; !h.Released {
			list = append(list, h)
		}
	}
	return list
}

// Len returns the number of jobs of which a task may start late.
func (m *Memory) Len() int { return len(m.jobs) }

// expire removes the holds that have expired. A hold that was learned from another process may
// expire before older ones.
func (m *Memory) expire(now time.Duration) {
	if now < m.nextExpiry {
		return
	}
	m.nextExpiry = now + expiryPrecision
	for _, k := range slices.Clone(m.order) {
		if now > m.holds[k].ExpiresAt {
			m.Remove(k)
		}
	}
}
