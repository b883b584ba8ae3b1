package telemetry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRoutineLinesPerWindow bounds the routine lines that a process writes per second.
	// It is the number that a host with a fifth of a core writes at the highest load
	// that it can serve. A line has about 300 bytes.
	maxRoutineLinesPerWindow = 2000
	// maxSampleDivisor bounds the divisor of a sampler: the lines of at least one job in
	// 64 are kept.
	maxSampleDivisor = 64
	// sampleWindow is the time after which a sampler computes its divisor again.
	sampleWindow = time.Second
)

// sampler limits the routine lines that a process writes under load. It keeps or omits
// all lines of a job according to a hash of the job's ID, so that every process keeps
// the lines of the same jobs. It is safe for concurrent use.
type sampler struct {
	now func() time.Time

	mu          sync.Mutex
	windowStart time.Time
	// offered counts the routine lines since windowStart, leftOut those of them that were
	// not written.
	offered, leftOut int
	// divisor is a power of two. The lines of a job are kept if the hash of its ID is a
	// multiple of divisor.
	divisor uint64
}

func newSampler(now func() time.Time) *sampler {
	return &sampler{now: now, windowStart: now(), divisor: 1}
}

// sample reports whether to write a routine line about a job. A call that starts a new
// window also returns how many lines were left out in the previous window.
func (s *sampler) sample(job string) (ok bool, leftOut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Sub(s.windowStart) >= sampleWindow {
		leftOut = s.leftOut
		s.startWindow(now)
	}
	s.offered++
	if s.offered > maxRoutineLinesPerWindow && s.divisor == 1 {
		// Halve the lines for the rest of the window; startWindow computes the divisor
		// for the next one from the number of lines offered.
		s.divisor = 2
	}
	if xxhash.Sum64String(job)%s.divisor != 0 || s.offered-s.leftOut > maxRoutineLinesPerWindow {
		s.leftOut++
		return false, leftOut
	}
	return true, leftOut
}

// startWindow begins a window. It sets the smallest divisor, up to maxSampleDivisor,
// that would have kept the lines of the previous window within the limit.
func (s *sampler) startWindow(now time.Time) {
	s.divisor = 1
	for s.divisor < maxSampleDivisor && uint64(s.offered)/s.divisor > maxRoutineLinesPerWindow {
		s.divisor *= 2
	}
	s.windowStart, s.offered, s.leftOut = now, 0, 0
}
