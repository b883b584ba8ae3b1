package placement

import "math/rand/v2"

// probes is the number of random draws that the random policy makes before it
// scans all candidates.
const probes = 4

// random picks a random candidate with free capacity.
type random struct{ rng *rand.Rand }

// Name implements Picker.
func (p *random) Name() string { return Random }

// Pick implements Picker.
func (p *random) Pick(cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	for range probes {
		i := p.rng.IntN(len(cands))
		if usable(&cands[i], false) {
			return i
		}
	}
	start := p.rng.IntN(len(cands))
	return twoPasses(func(last bool) int { return firstUsable(cands, start, last) })
}

// roundRobin picks the next candidate with free capacity.
type roundRobin struct{ next int }

// Name implements Picker.
func (p *roundRobin) Name() string { return RoundRobin }

// Pick implements Picker.
func (p *roundRobin) Pick(cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	i := twoPasses(func(last bool) int { return firstUsable(cands, p.next%len(cands), last) })
	if i >= 0 {
		p.next = i + 1
	}
	return i
}

// firstUsable returns the index of the first usable candidate from start on,
// wrapping around at the end, or -1.
func firstUsable(cands []Candidate, start int, lastPass bool) int {
	for n := range cands {
		i := wrap(start+n, len(cands))
		if usable(&cands[i], lastPass) {
			return i
		}
	}
	return -1
}

// wrap returns i modulo n for an i below 2n.
func wrap(i, n int) int {
	if i >= n {
		return i - n
	}
	return i
}

// leastLoad picks the candidate with the lowest known load per slot.
type leastLoad struct{ rng *rand.Rand }

// Name implements Picker.
func (p *leastLoad) Name() string { return LeastLoad }

// Pick implements Picker.
func (p *leastLoad) Pick(cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	start := p.rng.IntN(len(cands))
	return twoPasses(func(last bool) int { return leastLoaded(cands, start, last) })
}

// leastLoaded returns the index of the usable candidate with the lowest load
// per slot, or -1. Among equals it prefers the first from start on.
func leastLoaded(cands []Candidate, start int, lastPass bool) int {
	best := -1
	for n := range cands {
		i := wrap(start+n, len(cands))
		if !usable(&cands[i], lastPass) {
			continue
		}
		if best < 0 || lessLoaded(&cands[i], &cands[best]) {
			best = i
		}
	}
	return best
}

// lessLoaded reports whether the known load per slot of a is lower than that of b.
func lessLoaded(a, b *Candidate) bool {
	return tasksBefore(a)*b.Load.Slots < tasksBefore(b)*a.Load.Slots
}

// twoChoices picks the less loaded of two random candidates. When neither is
// usable, it scans all candidates.
type twoChoices struct{ rng *rand.Rand }

// Name implements Picker.
func (p *twoChoices) Name() string { return TwoChoices }

// Pick implements Picker.
func (p *twoChoices) Pick(cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	a, b := p.rng.IntN(len(cands)), p.rng.IntN(len(cands))
	okA, okB := usable(&cands[a], false), usable(&cands[b], false)
	switch {
	case okA && okB && lessLoaded(&cands[b], &cands[a]):
		return b
	case okA:
		return a
	case okB:
		return b
	default:
		return twoPasses(func(last bool) int { return firstUsable(cands, a, last) })
	}
}
