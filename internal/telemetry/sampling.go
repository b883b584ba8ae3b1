package telemetry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// routineLines is how many routine lines a process may write in a second: what a host
	// with a fifth of a core writes at the load that it can just serve, at some 300 bytes
	// a line.
	routineLines = 2000
	// maxThinning bounds the sampling: at least one job in so many is kept.
	maxThinning = 64
	// sampleWindow is the time after which the sampling is set anew.
	sampleWindow = time.Second
)

// sampler thins out the routine lines of a process under load. It keeps or leaves out
// all lines of a job, by a hash of its ID, so that every process keeps those of the same
// jobs. It is safe for concurrent use.
type sampler struct {
	now func() time.Time

	mu    sync.Mutex
	begun time.Time
	// seen counts the routine lines since begun, leftOut those that were not written.
	seen, leftOut int
	// thinning keeps one job in so many, a power of two.
	thinning uint64
}

func newSampler(now func() time.Time) *sampler { return &sampler{now: now, begun: now(), thinning: 1} }

// admit reports whether a routine line about a job is to be written, and how many were
// left out in the window that has just ended.
func (s *sampler) admit(job string) (ok bool, leftOut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Sub(s.begun) >= sampleWindow {
		leftOut = s.leftOut
		s.turn(now)
	}
	s.seen++
	if s.seen > routineLines && s.thinning == 1 {
		// The window goes on with the least thinning; the next one fits the load.
		s.thinning = 2
	}
	if xxhash.Sum64String(job)%s.thinning != 0 || s.seen-s.leftOut > routineLines {
		s.leftOut++
		return false, leftOut
	}
	return true, leftOut
}

// turn begins a window with a thinning that fits the lines of the last one.
func (s *sampler) turn(now time.Time) {
	s.thinning = 1
	for s.thinning < maxThinning && uint64(s.seen)/s.thinning > routineLines {
		s.thinning *= 2
	}
	s.begun, s.seen, s.leftOut = now, 0, 0
}
