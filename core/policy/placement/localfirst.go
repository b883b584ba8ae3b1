package placement

import (
	"math/rand/v2"
	"time"
)

// slowFactor defines a slow executor: one whose service time exceeds slowFactor
// times the mean of the candidates. The executor of the deciding process is not
// preferred when it is slow.
const slowFactor = 2

// defaultService is the mean service time assumed when no candidate has reported
// one.
const defaultService = 200 * time.Millisecond

// crossDomainCost is the cost of one round trip to another failure domain.
const crossDomainCost = 3 * time.Millisecond

// scanLimit is the number of candidates whose costs one decision compares. With
// more candidates, a decision compares a random contiguous range of this length,
// and always considers the executor of the deciding process too.
const scanLimit = 64

// localFirst prefers a free slot of the deciding process, because it needs no
// message. Otherwise it picks the candidate with the shortest expected time to
// the completion of the task.
type localFirst struct {
	rng *rand.Rand
	// local is the last known index of the deciding process.
	local int
}

// Name implements Picker.
func (p *localFirst) Name() string { return LocalFirst }

// Pick implements Picker.
func (p *localFirst) Pick(cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	first, n := p.window(len(cands))
	window := cands[first : first+n]
	v := summarize(window)
	if local := p.findLocal(cands); local >= 0 {
		v.domain = cands[local].Domain
		if v.prefersLocal(&cands[local]) {
			return local
		}
	}
	start := p.rng.IntN(n)
	return twoPasses(func(last bool) int {
		if i := v.cheapest(window, start, last); i >= 0 {
			return first + i
		}
		return firstUsable(cands, first, last)
	})
}

// window returns the first index and the number of the candidates, out of all,
// whose costs this decision compares.
func (p *localFirst) window(all int) (first, n int) {
	if all <= scanLimit {
		return 0, all
	}
	return p.rng.IntN(all - scanLimit + 1), scanLimit
}

// findLocal returns the index of the deciding process, or -1 when it is not a
// candidate.
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

// summary summarizes the candidates of one decision.
type summary struct {
	// domain is the failure domain of the deciding process, or empty when it is
	// not known.
	domain string
	// service is the mean of the reported service times.
	service time.Duration
	// utilization is the number of tasks ahead of the new one at all candidates,
	// divided by the number of their usable slots.
	utilization float64
}

// summarize returns the summary of cands.
func summarize(cands []Candidate) summary {
	var v summary
	var sum time.Duration
	known, slots, tasks := 0, 0, 0
	for i := range cands {
		c := &cands[i]
		if c.SameDomain {
			v.domain = c.Domain
		}
		if c.Load.MeanServiceTime > 0 {
			sum += c.Load.MeanServiceTime
			known++
		}
		slots += usableSlots(c)
		tasks += tasksBefore(c)
	}
	v.service = defaultService
	if known > 0 {
		v.service = sum / time.Duration(known)
	}
	if slots > 0 {
		v.utilization = float64(tasks) / float64(slots)
	}
	return v
}

// prefersLocal reports whether c, the executor of the deciding process, has a
// free slot and is neither suspect nor slow.
func (v *summary) prefersLocal(c *Candidate) bool {
	return freeSlots(c) > 0 && freeCapacity(c) > 0 && !suspect(c) && c.Load.MeanServiceTime <= slowFactor*v.service
}

// cheapest returns the index of the usable candidate with the lowest cost, or -1.
// Among equals it prefers the first from start on.
func (v *summary) cheapest(cands []Candidate, start int, lastPass bool) int {
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

// cost returns the expected time to the completion of a task that is sent to c,
// in nanoseconds.
func (v *summary) cost(c *Candidate) float64 {
	service := float64(v.expectedService(c))
	total := service + service/float64(c.Load.Slots)*v.tasksAhead(c, service)
	if c.Domain != v.domain && v.domain != "" {
		total += float64(crossDomainCost)
	}
	return total
}

// expectedService returns the expected service time at c. The mean of a few tasks
// varies by chance, so the mean reported by c is used only if it is far above the
// mean of all candidates.
func (v *summary) expectedService(c *Candidate) time.Duration {
	if c.Load.MeanServiceTime > slowFactor*v.service {
		return c.Load.MeanServiceTime
	}
	return v.service
}

// tasksAhead returns the expected number of tasks that must complete before a new
// one starts at c. The older the load report of c is, the more weight the mean
// utilization of all candidates gets instead. While c has free slots, the result
// is a small value that rises with the utilization, so that the less utilized
// executor is preferred.
func (v *summary) tasksAhead(c *Candidate, service float64) float64 {
	capacity := float64(usableSlots(c))
	weight := service / (service + float64(c.LoadAge))
	reported := float64(tasksBefore(c) - c.UnreportedTasks)
	tasks := v.utilization*capacity + weight*(reported-v.utilization*capacity) + float64(c.UnreportedTasks)
	use := tasks / capacity
	if use < 1 {
		return use * use * use * use
	}
	return tasks - capacity + 1
}
