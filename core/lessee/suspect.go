package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
)

// withdrawalSettle is how long after its withdrawal an upstream may still answer polls: it
// ends soon after the withdrawal, not before it.
const withdrawalSettle = 100 * time.Millisecond

// suspected reports whether a hint says that the upstream has ended.
func (u *upstreamState) suspected() bool { return u.life.Suspect() != "" }

// suspectUpstream records a hint that the upstream has ended. It gets no new runs until a
// poll has refuted the hint.
func (c *Core) suspectUpstream(sign liveness.Sign) {
	u := &c.upstream
	first := !u.suspected()
	u.life.Observe(c.now.Mono, sign)
	u.suspectedAt = c.now.Mono
	if first {
		c.capacityChanged()
		c.logEvent("upstream_suspected", "", "upstream", u.id, "born", u.incarnation, "sign", sign, "runs", len(c.runs))
		c.reportReadiness()
	}
}

// refuteSuspicion clears the hints if the answered poll that was sent at sentAt refutes them.
func (c *Core) refuteSuspicion(sentAt time.Duration) {
	u := &c.upstream
	after := u.suspectedAt
	if u.life.Suspect() == liveness.Withdrawn {
		after += withdrawalSettle
	}
	if !u.suspected() || sentAt < after {
		return
	}
	c.logEvent("upstream_alive", "", "upstream", u.id, "born", u.incarnation, "sign", u.life.Suspect())
	u.life.Heard()
	c.capacityChanged()
	c.reportReadiness()
}

// nextSuspectPollAt returns when the next poll of a suspected upstream is due: at once after
// a hint, and then spaced.
func (u *upstreamState) nextSuspectPollAt() time.Duration {
	if u.lastRenewalSentAt < u.suspectedAt {
		return u.polls.DueAt()
	}
	return max(u.polls.DueAt(), u.lastRenewalSentAt+maxPollPause)
}
