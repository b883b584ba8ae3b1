package backlog

import (
	"math"
	"time"
)

const (
	// slotWidth and rateSlots give a window of one second: a rate follows the loss of capacity
	// within that time. shortSlots is the length of a second window. The higher rate of both
	// counts, so that a pause of a few hundred milliseconds in one of them refuses nobody.
	slotWidth  = 100 * time.Millisecond
	rateSlots  = 10
	shortSlots = 5
	// slotCount is the window of arrivals. A single job of 16 long tasks is a third of what
	// a dispatcher of a large deployment places in a second, so one second is too short.
	slotCount = 20
	// minObserved is how long there must have been a backlog within the window before the
	// rate is known. Shorter ones also occur at ordinary load.
	minObserved = 300 * time.Millisecond
)

// slot holds what was observed in one slotWidth.
type slot struct {
	// backlogged is how long there was a backlog, and placed the demand placed then.
	backlogged time.Duration
	placed     int
	// arrived is the demand that arrived, by priority.
	arrived []arrival
}

// arrival is the demand that has arrived with one priority, and the sum of the squares of the
// demand of each job, which is the variance of demand that arrives at random.
type arrival struct {
	priority int
	demand   int
	variance float64
}

// Meter measures the rates of the last seconds. The zero value has observed nothing.
type Meter struct {
	slots [slotCount]slot
	// current is the number of the slot in use, counted from time zero.
	current    int64
	updatedAt  time.Duration
	backlogged bool
}

// Update records whether there is a backlog from now on: demand that could not be placed.
func (m *Meter) Update(now time.Duration, backlogged bool) {
	m.advance(now)
	m.backlogged = backlogged
}

// Placed records that demand was placed, or with a negative sign that it was not after all.
func (m *Meter) Placed(now time.Duration, demand int) {
	m.advance(now)
	if m.backlogged {
		m.slot(m.current).placed += demand
	}
}

// Arrived records demand that has arrived, or with a negative sign that was withdrawn.
func (m *Meter) Arrived(now time.Duration, priority, demand int) {
	m.advance(now)
	s := m.slot(m.current)
	for i := range s.arrived {
		if s.arrived[i].priority == priority {
			s.arrived[i].demand += demand
			s.arrived[i].variance += max(float64(demand), 0) * float64(demand)
			return
		}
	}
	s.arrived = append(s.arrived, arrival{priority, demand, max(float64(demand), 0) * float64(demand)})
}

func (m *Meter) slot(n int64) *slot { return &m.slots[n%slotCount] }

// advance assigns the time since the last call to slots, and clears those that it enters.
func (m *Meter) advance(now time.Duration) {
	if m.updatedAt == 0 || now-m.updatedAt >= slotCount*slotWidth {
		m.slots, m.current, m.updatedAt = [slotCount]slot{}, int64(now/slotWidth), now
		return
	}
	for now > m.updatedAt {
		end := min(now, time.Duration(m.current+1)*slotWidth)
		if m.backlogged {
			m.slot(m.current).backlogged += end - m.updatedAt
		}
		m.updatedAt = end
		if int64(end/slotWidth) > m.current {
			m.current++
			s := m.slot(m.current)
			*s = slot{arrived: s.arrived[:0]}
		}
	}
}

// Rate returns the demand placed per second while there was a backlog. It reports false if
// the rate is not known: after a start, without a backlog, and when nothing was placed.
func (m *Meter) Rate(now time.Duration) (float64, bool) {
	m.advance(now)
	long, observed := m.rate(rateSlots)
	short, _ := m.rate(shortSlots)
	rate := max(long, short)
	return rate, observed >= minObserved && rate > 0
}

func (m *Meter) rate(slots int64) (perSecond float64, observed time.Duration) {
	placed := 0
	for n := max(m.current-slots+1, 0); n <= m.current; n++ {
		placed += m.slot(n).placed
		observed += m.slot(n).backlogged
	}
	if observed < slotWidth {
		return 0, observed
	}
	return float64(placed) / observed.Seconds(), observed
}

// sustained reports whether there was a backlog for nearly the whole last second. Otherwise, more
// demand was placed at times than arrived.
func (m *Meter) sustained() bool {
	_, observed := m.rate(rateSlots)
	return observed >= (rateSlots-1)*slotWidth
}

// arrivalRate returns the demand per second that has arrived with a lower priority value than
// this one, less this number of standard deviations: with few jobs per second, a wide one more
// or less is no overload.
func (m *Meter) arrivalRate(below int, sigmas float64) float64 {
	n, variance := 0, 0.0
	for i := range m.slots {
		for _, a := range m.slots[i].arrived {
			if a.priority < below {
				n += a.demand
				variance += a.variance
			}
		}
	}
	return max(float64(n)-sigmas*math.Sqrt(variance), 0) / (slotCount * slotWidth).Seconds()
}
