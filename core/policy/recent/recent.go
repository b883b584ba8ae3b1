// Package recent remembers jobs of which something is known that must outlive them, such as
// that they were cancelled, for as long as their callers may submit them again.
package recent

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Retention is how long a job is remembered: several times the pause before a
	// resubmission.
	Retention = 10 * time.Second
	// MaxJobs limits the jobs that are remembered, and so the memory: about 0.1 KB each.
	MaxJobs = 2048
	// RunRetention and MaxRuns are the same for the jobs of which a task may have run. They are
	// submitted again after the caller has waited for an answer elsewhere, once or more.
	RunRetention = time.Minute
	MaxRuns      = 4096
)

// Memory holds the IDs of jobs. The zero value is empty, with the limits Retention and MaxJobs.
type Memory struct {
	retention time.Duration
	limit     int
	at        map[string]time.Duration
	// order lists the keys of at, the oldest first.
	order []string
}

// NewRuns returns an empty memory with the limits RunRetention and MaxRuns.
func NewRuns() Memory { return Memory{retention: RunRetention, limit: MaxRuns} }

// Limit returns the largest number of jobs that are remembered.
func (m *Memory) Limit() int { return cmp.Or(m.limit, MaxJobs) }

func (m *Memory) keeps(age time.Duration) bool { return age <= cmp.Or(m.retention, Retention) }

// Add remembers a job from now on. It reports false if the job is known already, and returns
// the job that was forgotten for it, or an empty string.
func (m *Memory) Add(now time.Duration, id string) (added bool, forgotten string) {
	m.expire(now)
	if _, ok := m.at[id]; ok {
		return false, ""
	}
	if len(m.order) == m.Limit() {
		forgotten = m.order[0]
		m.drop(1)
	}
	if m.at == nil {
		m.at = make(map[string]time.Duration)
	}
	m.at[id] = now
	m.order = append(m.order, id)
	return true, forgotten
}

// Renew remembers a job from now on, also if it is known already. It returns the job that was
// forgotten for it, or an empty string.
func (m *Memory) Renew(now time.Duration, id string) (forgotten string) {
	if at, ok := m.at[id]; ok {
		i, _ := slices.BinarySearchFunc(m.order, at, func(x string, at time.Duration) int { return cmp.Compare(m.at[x], at) })
		for m.order[i] != id {
			i++
		}
		m.order = slices.Delete(m.order, i, i+1)
		delete(m.at, id)
	}
	_, forgotten = m.Add(now, id)
	return forgotten
}

// Known reports whether the job was added within the retention, as far as remembered.
func (m *Memory) Known(now time.Duration, id string) bool {
	at, ok := m.at[id]
	return ok && m.keeps(now-at)
}

// Jobs returns the remembered jobs, the oldest first.
func (m *Memory) Jobs(now time.Duration) []string {
	m.expire(now)
	return slices.Clone(m.order)
}

func (m *Memory) expire(now time.Duration) {
	n := 0
	for n < len(m.order) && !m.keeps(now-m.at[m.order[n]]) {
		n++
	}
	m.drop(n)
}

// drop forgets the n oldest jobs.
func (m *Memory) drop(n int) {
	for _, id := range m.order[:n] {
		delete(m.at, id)
	}
	m.order = slices.Delete(m.order, 0, n)
}
