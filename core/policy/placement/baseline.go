package placement

import "math/rand/v2"

// probes is the number of random draws before a policy scans the candidates.
const probes = 4

// random picks any candidate with room.
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
	return twoPasses(func(last bool) int { return scan(cands, start, last) })
}

// roundRobin picks the next candidate with room.
type roundRobin struct{ next int }

// Name implements Picker.
func (p *roundRobin) Name() string { return RoundRobin }

// Pick implements Picker.
func (p *roundRobin) Pick(cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	i := twoPasses(func(last bool) int { return scan(cands, p.next%len(cands), last) })
	if i >= 0 {
		p.next = i + 1
	}
	return i
}

// scan returns the first usable candidate from start on.
func scan(cands []Candidate, start int, lastPass bool) int {
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

// leastLoad picks the candidate with the least known load for its slots.
type leastLoad struct{ rng *rand.Rand }

// Name implements Picker.
func (p *leastLoad) Name() string { return LeastLoad }

// Pick implements Picker.
func (p *leastLoad) Pick(cands []Candidate) int {
	if len(cands) == 0 {
		return -1
	}
	start := p.rng.IntN(len(cands))
	return twoPasses(func(last bool) int { return least(cands, start, last) })
}

// least returns the usable candidate with the least load, the first from start
// on among equals.
func least(cands []Candidate, start int, lastPass bool) int {
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

// lessLoaded compares the known loads of a and b for their slots.
func lessLoaded(a, b *Candidate) bool {
	return occupied(a)*b.Load.Slots < occupied(b)*a.Load.Slots
}

// twoChoices picks the less loaded of two random candidates.
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
		return twoPasses(func(last bool) int { return scan(cands, a, last) })
	}
}
