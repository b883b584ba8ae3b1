package placement

import (
	"math/rand/v2"
	"time"
)

// slowFactor times the mean service time of the candidates makes the own
// upstream too slow to be preferred.
const slowFactor = 2

// defaultService stands for a service time that is not yet known.
const defaultService = 200 * time.Millisecond

// otherDomain is the cost of one message to another failure domain and back.
const otherDomain = 3 * time.Millisecond

// scanLimit is the number of candidates that one decision weighs. Among more,
// a decision takes a random run of this length and the own executor.
const scanLimit = 64

// localFirst prefers a free slot of the deciding process, which costs no
// message, and otherwise the least expected time to the end of the task.
type localFirst struct {
	rng *rand.Rand
	// local is where the deciding process was found last.
	local int
}

// Name implements Picker.
func (p *localFirst) Name() string { return LocalFirst }

// Pick implements Picker.
func (p *localFirst) Pick(cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	first, n := p.run(len(cands))
	run := cands[first : first+n]
	v := survey(run)
	if local := p.findLocal(cands); local >= 0 {
		v.domain = cands[local].Domain
		if v.prefersLocal(&cands[local]) {
			return local
		}
	}
	start := p.rng.IntN(n)
	return twoPasses(func(last bool) int {
		if i := v.cheapest(run, start, last); i >= 0 {
			return first + i
		}
		return scan(cands, first, last)
	})
}

// run returns the first index and the number of the candidates that this
// decision weighs, among all.
func (p *localFirst) run(all int) (first, n int) {
	if all <= scanLimit {
		return 0, all
	}
	return p.rng.IntN(all - scanLimit + 1), scanLimit
}

// findLocal returns the index of the deciding process, or -1.
func (p *localFirst) findLocal(cands []Candidate) int {
	if p.local < len(cands) && cands[p.local].Local {
		return p.local
	}
	for i := range cands {
		if cands[i].Local {
			p.local = i
			return i
		}
	}
	return -1
}

// view summarises the candidates of one decision.
type view struct {
	domain string
	// service is the mean observed service time.
	service time.Duration
	// use is the mean share of slots that are occupied.
	use float64
}

func survey(cands []Candidate) view {
	var v view
	var sum time.Duration
	known, slots, tasks := 0, 0, 0
	for i := range cands {
		c := &cands[i]
		if c.Near {
			v.domain = c.Domain
		}
		if c.Load.MeanServiceTime > 0 {
			sum += c.Load.MeanServiceTime
			known++
		}
		slots += usableSlots(c)
		tasks += occupied(c)
	}
	v.service = defaultService
	if known > 0 {
		v.service = sum / time.Duration(known)
	}
	if slots > 0 {
		v.use = float64(tasks) / float64(slots)
	}
	return v
}

// prefersLocal reports whether the own executor has a free slot and is neither
// suspect nor slow.
func (v *view) prefersLocal(c *Candidate) bool {
	return free(c) > 0 && room(c) > 0 && !suspect(c) && c.Load.MeanServiceTime <= slowFactor*v.service
}

// cheapest returns the usable candidate with the least cost.
func (v *view) cheapest(cands []Candidate, start int, lastPass bool) int {
	best := -1
	bestCost := 0.0
	for n := range cands {
		i := wrap(start+n, len(cands))
		if !usable(&cands[i], lastPass) {
			continue
		}
		cost := v.cost(&cands[i])
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost returns the expected time until a task sent to c ends, in nanoseconds.
func (v *view) cost(c *Candidate) float64 {
	service := float64(v.serviceOf(c))
	total := service + service/float64(c.Load.Slots)*v.ahead(c, service)
	if c.Domain != v.domain && v.domain != "" {
		total += float64(otherDomain)
	}
	return total
}

// serviceOf returns the service time to expect at c. Means of few tasks vary,
// so that only a large difference counts.
func (v *view) serviceOf(c *Candidate) time.Duration {
	if c.Load.MeanServiceTime > slowFactor*v.service {
		return c.Load.MeanServiceTime
	}
	return v.service
}

// ahead returns the expected number of tasks that must end before a new one
// starts at c. A report loses weight with its age against the mean use. Below
// full use the result rises gently, so that the emptier executor is preferred.
func (v *view) ahead(c *Candidate, service float64) float64 {
	capacity := float64(usableSlots(c))
	weight := service / (service + float64(c.Age))
	reported := float64(occupied(c) - c.Sent)
	tasks := v.use*capacity + weight*(reported-v.use*capacity) + float64(c.Sent)
	use := tasks / capacity
	if use < 1 {
		return use * use * use * use
	}
	return tasks - capacity + 1
}
