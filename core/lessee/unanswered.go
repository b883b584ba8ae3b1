package lessee

import "slices"

// noteUnanswered records that a start call of the run got no answer, and tells its dispatcher:
// should this process end, only its next incarnation can rule out that the call is executed.
func (c *Core) noteUnanswered(r *run) {
	if r.startUnanswered {
		return
	}
	r.startUnanswered = true
	c.sendHeartbeat(r.holder)
}

// startCalls returns the offers of a dispatcher with an open run of which a start call got no
// answer, and those of which every start call was answered.
func (c *Core) startCalls(h *leaseHolder) (unanswered, answered []uint64) {
	if h.unfinished == 0 {
		return nil, nil
	}
	for _, r := range c.runs {
		switch {
		case r.holder != h:
		case r.startUnanswered:
			unanswered = append(unanswered, r.seq)
		case r.startsInFlight == 0:
			answered = append(answered, r.seq)
		}
	}
	slices.Sort(unanswered)
	slices.Sort(answered)
	return unanswered, answered
}

// mayStartLate reports whether a newer incarnation of the upstream may execute a start call of
// the run.
func (r *run) mayStartLate() bool { return r.startUnanswered || r.startsInFlight > 0 }
