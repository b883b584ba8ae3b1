package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// suspectAfter is the silence after which an agent gets no new work: two beats
	// and a half.
	suspectAfter = lease.HeartbeatInterval*5/2 - 20*time.Millisecond
	// reconnectAfter is the silence after which a connection is opened anew.
	reconnectAfter = 700 * time.Millisecond
	// forgetDead and forgetSilent are the silences after which an agent is forgotten
	// whose process has ended, or that may come back, as after a cut.
	forgetDead   = 10 * time.Second
	forgetSilent = 10 * time.Minute
	// minReply is the shortest pause between two beats in answer to an agent's, which
	// may come with every change of its room: half of an agent's own pause.
	minReply = lease.HeartbeatInterval / 2
	// idleReply is the same for an agent that has no runs of this dispatcher: it must only
	// know that the dispatcher is there, which it forgets after five times as long.
	idleReply = time.Second
	// recallRetry is the pause between two recalls of one offer.
	recallRetry = 300 * time.Millisecond
)

// agent is one run of an agent.
type agent struct {
	ref    node.Ref
	domain string
	room   message.CapacityReport
	// kind is what the upstream is, as of kindVersion.
	kind        message.UpstreamInfo
	kindVersion uint64
	// stamp is the last stamp of the agent and heardAt the time at which it came.
	stamp   time.Duration
	heardAt time.Duration
	// sent holds the offers without an end, by sequence number.
	sent map[uint64]*task
	// recalls holds the recalled offers without an end, with the time of the last
	// recall.
	recalls map[uint64]time.Duration
	// extra is what the offers need that the last room does not take into account, and
	// extraSum their sum.
	extra    map[uint64]message.Resources
	extraSum message.Resources
	// dead is set at deadAt, when the process has been found to have ended.
	dead bool
	// beatAt is when the last beat was sent to the agent.
	beatAt time.Duration
	deadAt time.Duration
	// reconnectAt is when the connection may be opened anew again.
	reconnectAt time.Duration
	suspect     bool
}

func (c *Core) connected(e AgentConnected) {
	if a, ok := c.agents[e.Agent]; ok {
		a.dead = false
		c.beatTo(a)
		return
	}
	a := &agent{
		ref: e.Agent, domain: e.Domain, heardAt: c.now.Mono,
		sent: make(map[uint64]*task), recalls: make(map[uint64]time.Duration), extra: make(map[uint64]message.Resources),
	}
	c.agents[a.ref] = a
	i, _ := slices.BinarySearchFunc(c.order, a, func(x, y *agent) int { return compareRefs(x.ref, y.ref) })
	c.order = slices.Insert(c.order, i, a)
	c.watchFaults()
	c.logEvent("agent_connected", "", "agent", a.ref.String(), "domain", a.domain)
	c.beatTo(a)
}

func compareRefs(a, b node.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// watchFaults tells the fault detector which workers there are.
func (c *Core) watchFaults() {
	var ids []node.ID
	for _, a := range c.order {
		ids = append(ids, a.ref.ID)
	}
	c.faults.SetWorkers(c.now.Mono, slices.Compact(ids))
}

func (c *Core) beatTo(a *agent) { c.sendBeat(a, false, false) }

// sendBeat sends a beat that may ask for the agent's state, or give this one.
func (c *Core) sendBeat(a *agent, want, give bool) {
	a.beatAt = c.now.Mono
	b := &message.Heartbeat{
		Timestamp: c.now.Mono, EchoedTimestamp: a.stamp, Revision: c.site.Revision, FirstWaiting: c.firstWaiting(), WantSite: want,
		KnownInfoVersion: a.kindVersion,
	}
	if give {
		b.Site = c.site
	}
	c.send(a.ref, message.Message{Heartbeat: b})
}

func (c *Core) receive(env message.Envelope) {
	a, ok := c.agents[env.From]
	if !ok {
		return
	}
	for i := range env.Messages {
		m := &env.Messages[i]
		switch {
		case m.Heartbeat != nil:
			c.heardBeat(a, m.Heartbeat)
		case m.RunCompletion != nil:
			c.runEnd(a, m.RunCompletion)
		}
	}
}

func (c *Core) heardBeat(a *agent, b *message.Heartbeat) {
	if a.suspect {
		a.suspect = false
		c.logEvent("agent_heard_again", "", "agent", a.ref.String(), "silent_ms", (c.now.Mono - a.heardAt).Milliseconds())
	}
	a.stamp = max(a.stamp, b.Timestamp)
	a.heardAt = c.now.Mono
	a.dead = false
	c.learnSite(b.Site)
	if b.Capacity != nil {
		c.heardRoom(a, b.Capacity)
	}
	c.repeatRecalls(a)
	want := c.asking.ShouldRequest(c.now.Mono, c.site.Revision, b.Revision)
	give := b.WantSite && b.Revision < c.site.Revision && c.relay.Allow(c.now.Mono, c.site)
	if want || give || a.newKind(b) || c.now.Mono-a.beatAt >= a.replyPause() {
		c.sendBeat(a, want, give)
	}
}

// newKind reports whether an agent has said what its upstream is, which it repeats until
// it is told that this is known.
func (a *agent) newKind(b *message.Heartbeat) bool {
	return b.Capacity != nil && b.Capacity.Info != nil
}

// replyPause returns the shortest pause between two beats in answer to those of a: its
// runs need proof that this process is alive.
func (a *agent) replyPause() time.Duration {
	if len(a.sent)+len(a.recalls) > 0 {
		return minReply
	}
	return idleReply
}

// heardRoom takes a report, unless a later one has come before it.
func (c *Core) heardRoom(a *agent, r *message.CapacityReport) {
	if r.Version < a.room.Version {
		return
	}
	news := r.Ready != a.room.Ready
	if r.Info != nil {
		news = news || r.InfoVersion != a.kindVersion
		a.kind, a.kindVersion = *r.Info, r.InfoVersion
	}
	if news {
		c.logEvent("agent_room", "", "agent", a.ref.String(), "ready", r.Ready, "capacity_mcpu", a.kind.Capacity.MilliCPU,
			"used_mcpu", r.Used.MilliCPU, "version", r.Version)
	}
	a.room = *r
	for seq := range a.extra {
		if seq <= r.MaxIncludedSeq {
			a.forgetExtra(seq)
		}
	}
	c.dirty = true
}

// addExtra notes an offer that the last room does not take into account.
func (a *agent) addExtra(seq uint64, need message.Resources) {
	a.extra[seq] = need
	a.extraSum = a.extraSum.Add(need)
}

// forgetExtra drops an offer that the last room takes into account, or that has ended.
func (a *agent) forgetExtra(seq uint64) {
	if need, ok := a.extra[seq]; ok {
		delete(a.extra, seq)
		a.extraSum = a.extraSum.Sub(need)
	}
}

// free returns the room that is left at a, as far as is known.
func (a *agent) free() message.Resources { return a.kind.Capacity.Sub(a.room.Used).Sub(a.extraSum) }

// usable reports whether a may get new work.
func (c *Core) usable(a *agent) bool {
	return a.room.Ready && a.room.InfoVersion == a.kindVersion && !a.dead &&
		c.now.Mono-a.heardAt <= suspectAfter && !c.site.IsDomainOut(a.kind.Domain)
}

// recall asks for the end of an offer whose result is no longer wanted.
func (c *Core) recall(t *task) {
	a := t.agent
	delete(c.sent, t.seq)
	delete(a.sent, t.seq)
	a.recalls[t.seq] = c.now.Mono
	c.send(a.ref, message.Message{RevokeOffer: &message.RevokeOffer{Seq: t.seq}})
}

func (c *Core) repeatRecalls(a *agent) {
	for _, seq := range sortedKeys(a.recalls) {
		if c.now.Mono-a.recalls[seq] >= recallRetry {
			a.recalls[seq] = c.now.Mono
			c.send(a.ref, message.Message{RevokeOffer: &message.RevokeOffer{Seq: seq}})
		}
	}
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// runEnd takes the end of an offer.
func (c *Core) runEnd(a *agent, e *message.RunCompletion) {
	if e.Capacity != nil {
		c.heardRoom(a, e.Capacity)
	}
	delete(a.recalls, e.Seq)
	a.forgetExtra(e.Seq)
	c.dirty = true
	t, ok := c.sent[e.Seq]
	if !ok || t.agent != a {
		return
	}
	delete(c.sent, e.Seq)
	delete(a.sent, e.Seq)
	id := t.job.spec.ID
	switch e.Result {
	case message.RunDone:
		c.faults.Observe(c.now.Mono, a.ref.ID, id, false)
		c.taskDone(t)
	case message.RunFailed:
		c.faults.Observe(c.now.Mono, a.ref.ID, id, true)
		c.logEvent("task_failed", id, "task", t.name().String(), "agent", a.ref.String(), "failures", t.failures+1,
			"took_ms", e.Duration.Milliseconds())
		t.avoidAgent(a.ref.ID)
		c.taskFailed(t)
	case message.RunRefused:
		c.stats.Refusals++
		c.logEvent("offer_refused", id, "task", t.name().String(), "agent", a.ref.String(), "reason", e.Reason)
		c.refused(t, a, e.Reason)
	default:
		if e.Reason == message.RefusedTakenOver {
			c.giveUp(t.job, reasonTakenOver)
			return
		}
		c.stats.LostRuns++
		c.logEvent("run_lost", id, "task", t.name().String(), "agent", a.ref.String(), "result", e.Result, "reason", e.Reason)
		if e.Reason == message.RefusedTooSlow {
			t.moves++
			t.avoidAgent(a.ref.ID)
			c.faults.Observe(c.now.Mono, a.ref.ID, id, true)
		}
		c.requeue(t)
	}
}

// refused places a task elsewhere. It was not started.
func (c *Core) refused(t *task, a *agent, reason message.RefuseReason) {
	t.runs--
	if reason != message.RefusedNoCapacity && reason != message.RefusedStopping {
		t.avoidAgent(a.ref.ID)
	}
	j := t.job
	c.requeue(t)
	j.touched = j.anyOffered()
	if !j.touched {
		c.hopeless.Add(j.hopelessAt(), j.call)
	}
}

// anyOffered reports whether a task has been started or may have been.
func (j *job) anyOffered() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.runs > 0 })
}

// avoidAgent makes the next placement prefer other agents.
func (t *task) avoidAgent(id node.ID) {
	if !slices.Contains(t.avoid, id) {
		t.avoid = append(t.avoid, id)
	}
}

// peerReset repeats what may have been lost with a connection. Agents answer a
// repeated offer from what they know of the first.
func (c *Core) peerReset(ref node.Ref) {
	a, ok := c.agents[ref]
	if !ok || a.dead {
		return
	}
	c.logEvent("connection_reset", "", "agent", ref.String(), "offers", len(a.sent))
	c.beatTo(a)
	for _, seq := range sortedKeys(a.sent) {
		c.sendOffer(a.sent[seq])
	}
}

// peerDead notes that the process of an agent has ended. Its runs go on until
// their lease at the upstream lapses.
func (c *Core) peerDead(ref node.Ref) {
	a, ok := c.agents[ref]
	if !ok || a.dead {
		return
	}
	a.dead, a.deadAt = true, c.now.Mono
	c.logEvent("agent_ended", "", "agent", ref.String(), "offers", len(a.sent))
}

// checkAgents handles agents that have been silent.
func (c *Core) checkAgents() {
	if c.now.Mono-c.agentsCheckedAt < agentsPause {
		return
	}
	c.agentsCheckedAt = c.now.Mono
	for _, a := range slices.Clone(c.order) {
		silent := c.now.Mono - a.heardAt
		if silent <= suspectAfter {
			continue
		}
		if !a.suspect {
			a.suspect = true
			c.logEvent("agent_silent", "", "agent", a.ref.String(), "silent_ms", silent.Milliseconds(), "offers", len(a.sent))
		}
		if c.now.Mono > a.settledAt() {
			c.loseAll(a, silent)
		}
		if silent > reconnectAfter && c.now.Mono >= a.reconnectAt && !a.dead {
			a.reconnectAt = c.now.Mono + reconnectAfter
			c.out = append(c.out, AgentUnresponsive{Agent: a.ref})
			c.beatTo(a)
		}
		if a.dead && silent > forgetDead || silent > forgetSilent {
			c.forget(a)
		}
	}
}

// settledAt returns when nothing runs any more of what the agent had. One that has
// ended may have renewed the upstream's lease right before.
func (a *agent) settledAt() time.Duration {
	at := a.heardAt + lease.RunExpiry
	if a.dead {
		at = min(at, a.deadAt+lease.UpstreamExpiry)
	}
	return at
}

// loseAll takes back the offers of an agent whose leases have lapsed.
func (c *Core) loseAll(a *agent, silent time.Duration) {
	for _, seq := range sortedKeys(a.sent) {
		t := a.sent[seq]
		delete(a.sent, seq)
		delete(c.sent, seq)
		a.recalls[seq] = c.now.Mono
		c.stats.LostRuns++
		c.logEvent("run_lost", t.job.spec.ID, "task", t.name().String(), "agent", a.ref.String(), "silent_ms", silent.Milliseconds())
		t.avoidAgent(a.ref.ID)
		c.requeue(t)
	}
	clear(a.extra)
	a.extraSum = message.Resources{}
}

func (c *Core) forget(a *agent) {
	delete(c.agents, a.ref)
	c.order = slices.DeleteFunc(c.order, func(x *agent) bool { return x == a })
	c.watchFaults()
	c.logEvent("agent_forgotten", "", "agent", a.ref.String())
}
