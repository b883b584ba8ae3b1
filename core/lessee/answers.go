package lessee

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// maxAnswers limits the answered offers that are remembered, and so the memory: about 0.3 KB
// each. It is several times what an upstream is offered within lease.OfferRetention.
const maxAnswers = 8192

// offerKey identifies an offer.
type offerKey struct {
	dispatcher node.Ref
	seq        uint64
}

// answer is what the dispatcher of an offer was told of it.
type answer struct {
	offerKey
	completion message.RunCompletion
	// receivedAt is when the offer was first received, and answeredAt when it was answered.
	receivedAt, answeredAt time.Duration
}

// answerMemory remembers the answers to offers, to answer repeated offers alike. It outlives what
// is known of the dispatchers, which may be cut off for longer than they are remembered. The zero
// value is empty.
type answerMemory struct {
	byKey map[offerKey]*answer
	// order lists the answers, the oldest first.
	order []*answer
	// completeSince is the time from which on every offer that was received is remembered.
	completeSince time.Duration
}

func (m *answerMemory) add(a *answer) {
	if m.byKey == nil {
		m.byKey = make(map[offerKey]*answer)
	}
	m.byKey[a.offerKey] = a
	m.order = append(m.order, a)
	m.forget(max(0, len(m.order)-maxAnswers))
}

// expire forgets the answers that no dispatcher asks for any more.
func (m *answerMemory) expire(now time.Duration) {
	n := 0
	for n < len(m.order) && now-m.order[n].answeredAt > lease.OfferRetention {
		n++
	}
	m.forget(n)
}

// forget forgets the n oldest answers.
func (m *answerMemory) forget(n int) {
	for _, a := range m.order[:n] {
		delete(m.byKey, a.offerKey)
		m.completeSince = max(m.completeSince, a.receivedAt+1)
	}
	m.order = slices.Delete(m.order, 0, n)
}

// coversSince reports whether every offer that was received at a time or later is remembered.
func (m *answerMemory) coversSince(at time.Duration) bool { return at >= m.completeSince }

// firstSentAt returns a time, on the clock of this process, before which the offer was not sent.
func firstSentAt(m *message.Offer) time.Duration {
	if m.FirstSentAt > 0 {
		return m.FirstSentAt
	}
	return m.EchoedTimestamp + m.EchoAge
}

// recordAnswer remembers the answer to an offer.
func (c *Core) recordAnswer(key offerKey, receivedAt time.Duration, completion message.RunCompletion) *answer {
	a := &answer{offerKey: key, completion: completion, receivedAt: receivedAt, answeredAt: c.now.Mono}
	c.answers.add(a)
	return a
}

// sendAnswer sends the answer to an offer to its dispatcher, with the current capacity.
func (c *Core) sendAnswer(h *leaseHolder, a *answer) {
	completion := a.completion
	completion.Capacity = c.capacityReport(h)
	c.send(h.ref, message.Message{RunCompletion: &completion})
}

// mayHaveRun reports whether a task of a job may have run here. The open runs of h do not count: it
// knows of their offers.
func (c *Core) mayHaveRun(job string, h *leaseHolder) bool {
	if c.ran.Known(c.now.Mono, job) {
		return true
	}
	for _, r := range c.runs {
		if r.holder != h && r.name.Job == job {
			return true
		}
	}
	return false
}
