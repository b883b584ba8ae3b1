// Package latestart remembers the jobs of which an upstream may still execute a start call that
// got no answer, while the agent beside it is down or cut off from it. Their tasks must not start
// elsewhere until that is ruled out, also when the jobs are submitted again.
package latestart

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// MaxHolds limits the holds that are remembered, and so the memory: about 0.2 KB each.
const MaxHolds = 2048

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
	// holds is in the order of addition, and jobs counts those of a job that are not released.
	holds []Hold
	jobs  map[string]int
}

// Update adds a hold or replaces an older state of it. It reports whether h was news. If the memory
// is full, it forgets and returns the oldest hold.
func (m *Memory) Update(now time.Duration, h Hold) (changed bool, forgotten *Hold) {
	m.expire(now)
	if i := m.index(h.Key); i >= 0 {
		old := m.holds[i]
		if h.Offer < old.Offer || h.Offer == old.Offer && (old.Released || !h.Released) {
			return false, nil
		}
		m.remove(i)
	}
	if len(m.holds) == MaxHolds {
		oldest := m.holds[0]
		m.remove(0)
		if !oldest.Released {
			forgotten = &oldest
		}
	}
	m.holds = append(m.holds, h)
	if !h.Released {
		if m.jobs == nil {
			m.jobs = make(map[string]int)
		}
		m.jobs[h.Job]++
	}
	return true, forgotten
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
	var list []Hold
	for _, h := range m.holds {
		if h.Agent == agent && !h.Released && now <= h.ExpiresAt {
			list = append(list, h)
		}
	}
	return list
}

// Holds returns the holds that are not released, the oldest first.
func (m *Memory) Holds(now time.Duration) []Hold {
	m.expire(now)
	return slices.DeleteFunc(slices.Clone(m.holds), func(h Hold) bool { return h.Released })
}

// Len returns the number of holds that were not released when they were last changed.
func (m *Memory) Len() int { return len(m.jobs) }

func (m *Memory) index(k Key) int {
	return slices.IndexFunc(m.holds, func(h Hold) bool { return h.Key == k })
}

func (m *Memory) remove(i int) {
	h := m.holds[i]
	m.holds = slices.Delete(m.holds, i, i+1)
	if h.Released {
		return
	}
	if m.jobs[h.Job]--; m.jobs[h.Job] == 0 {
		delete(m.jobs, h.Job)
	}
}

func (m *Memory) expire(now time.Duration) {
	for i := len(m.holds) - 1; i >= 0; i-- {
		if now > m.holds[i].ExpiresAt {
			m.remove(i)
		}
	}
}
