// Package share decides which priority is served next when the demand exceeds the capacity:
// each priority with waiting work gets at least a minimum share, the first one the rest.
//
// Work is demand times expected duration. If only demand were counted, a priority whose tasks
// take 15 times as long as those of another would hold most of the capacity with a tenth of
// the starts.
package share

import (
	"math"
	"time"
)

const (
	// Lifetime is the time in which the weight of served work falls to 1/e. A priority that
	// was served alone has less than a tenth of the total 2.3 lifetimes later, so that it has
	// returned what it borrowed within a second.
	Lifetime = 400 * time.Millisecond
	// memory is the age at which served work says nothing more about shares.
	memory = 5 * Lifetime
	// negligible is the share below which a priority does not count as served recently.
	negligible = 0.01
)

// Shares measures the work of each priority that was served recently. Lower priority numbers
// are more urgent. Times are monotonic.
type Shares struct {
	minimum float64
	served  []served
	total   float64
	// at is the time up to which served and total have decayed.
	at time.Duration
}

type served struct {
	priority int
	work     float64
}

// New returns Shares in which nothing was served, with a minimum share from 0 to 1.
func New(minimum float64) *Shares { return &Shares{minimum: minimum} }

// Record adds work that was served at now. A negative amount takes back work that was
// recorded shortly before. The unit is any that is the same for all priorities.
func (s *Shares) Record(now time.Duration, priority int, work float64) {
	s.decay(now)
	i := s.find(priority)
	work = max(work, -s.served[i].work)
	s.served[i].work += work
	s.total += work
}

func (s *Shares) decay(now time.Duration) {
	factor := math.Exp(-float64(now-s.at) / float64(Lifetime))
	s.at, s.total = now, 0
	for i := range s.served {
		s.served[i].work *= factor
		s.total += s.served[i].work
	}
}

func (s *Shares) find(priority int) int {
	for i := range s.served {
		if s.served[i].priority == priority {
			return i
		}
	}
	s.served = append(s.served, served{priority: priority})
	return len(s.served) - 1
}

// balanced reports whether too little is known to favour a priority.
func (s *Shares) balanced(now time.Duration) bool { return s.total <= 0 || now-s.at > memory }

// Share returns the share of a priority in the work that was served recently, from 0 to 1.
// It is 0 if no work was served recently.
func (s *Shares) Share(now time.Duration, priority int) float64 {
	if s.balanced(now) {
		return 0
	}
	for i := range s.served {
		if s.served[i].priority == priority {
			return s.served[i].work / s.total
		}
	}
	return 0
}

// Below reports whether a priority was served less than the minimum share recently.
func (s *Shares) Below(now time.Duration, priority int) bool {
	return !s.balanced(now) && s.Share(now, priority) < s.minimum
}

// Turn is the decision about what is served next.
type Turn struct {
	// Priority is the priority that is served next.
	Priority int
	// ByShare is set if it is served for its share, not as the first one that waits.
	ByShare bool
	// Rank is the urgency of the turn compared with the waiting work of other processes: for
	// a turn by share, the first priority that waits or was served recently. Otherwise it is
	// Priority.
	Rank int
}

// Next returns whose turn it is. Waiting lists the priorities with work that should be served,
// the first one first; it must not be empty. The turn is that of the priority with the lowest
// share below the minimum, among equals of the more urgent one.
func (s *Shares) Next(now time.Duration, waiting []int) Turn {
	first := min(waiting[0], s.firstServed(now))
	turn := Turn{Priority: waiting[0], Rank: waiting[0]}
	lowest := s.minimum
	for _, p := range waiting {
		if p == first || !s.Below(now, p) {
			continue
		}
		if share := s.Share(now, p); share < lowest {
			lowest = share
			turn = Turn{Priority: p, ByShare: true, Rank: first}
		}
	}
	return turn
}

// firstServed returns the first priority that was served recently.
func (s *Shares) firstServed(now time.Duration) int {
	first := math.MaxInt
	if s.balanced(now) {
		return first
	}
	for _, x := range s.served {
		if x.work >= negligible*s.total {
			first = min(first, x.priority)
		}
	}
	return first
}
