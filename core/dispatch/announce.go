package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pace"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/recent"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

const (
	// relayCount is the number of agents that pass an announcement on to the other dispatchers:
	// one of them may fail.
	relayCount = 2
	// maxAnnounced limits the notices in one announcement.
	maxAnnounced = 16
	// announceBurst announcements are sent at once; the next ones follow at a pause of
	// announcePause for each agent. Every other dispatcher receives each of them relayCount
	// times, and their number grows with that of the agents.
	announceBurst = 4
	announcePause = 10 * time.Millisecond
	// maxAnnounceDelay is how long the notice of a cancelled job is of use: the caller submits the
	// job again after 1.3 s at the earliest.
	maxAnnounceDelay = time.Second
)

// notice is what the other dispatchers are to know of one job.
type notice struct {
	// cancelled is the job that was cancelled here, or empty. Otherwise, hold has changed.
	cancelled string
	hold      latestart.Hold
	// at is when this happened, and dueAt when it was to be announced, which is later if a relay
	// has failed. relays are the agents that were told.
	at, dueAt time.Duration
	relays    []*agent
}

func (n *notice) key() string {
	if n.cancelled != "" {
		return n.cancelled
	}
	return n.hold.Job
}

// outdated reports whether the notice is of no use to anybody.
func (n *notice) outdated(now time.Duration) bool {
	if n.cancelled != "" {
		return now-n.at > recent.Retention
	}
	return now > n.hold.ExpiresAt
}

// announcements holds the notices of this process.
type announcements struct {
	// queue lists those that agents do not know yet, and recent the last ones that were announced,
	// maxAnnounced of each kind at most, the oldest first.
	queue, recent []notice
	// credit is the number of announcements that may be sent, as of creditAt.
	credit   float64
	creditAt time.Duration
}

// enqueue adds a notice of now.
func (s *announcements) enqueue(now time.Duration, n notice) {
	n.at, n.dueAt = now, now
	s.queue = append(s.queue, n)
}

// lastNotices returns the last maxAnnounced notices of each kind.
func lastNotices(list []notice) []notice {
	cancels, holds := 0, 0
	var last []notice
	for _, n := range slices.Backward(list) {
		count := &holds
		if n.cancelled != "" {
			count = &cancels
		}
		if *count++; *count <= maxAnnounced {
			last = append(last, n)
		}
	}
	slices.Reverse(last)
	return last
}

// pending reports whether a notice has waited for less than maxAnnounceDelay.
func (s *announcements) pending(now time.Duration) bool {
	return slices.ContainsFunc(s.queue, func(n notice) bool { return now-n.dueAt <= maxAnnounceDelay })
}

// recentNotices returns the last notices, for an agent that has just started: it may have been a
// relay of them before.
func (c *Core) recentNotices() message.Heartbeat {
	var list []notice
	for _, n := range c.announcements.recent {
		if !n.outdated(c.now.Mono) {
			list = append(list, n)
		}
	}
	return c.announcement(list)
}

// announcement returns a heartbeat with these notices.
func (c *Core) announcement(notices []notice) message.Heartbeat {
	var hb message.Heartbeat
	for i := range notices {
		if n := &notices[i]; n.cancelled != "" {
			hb.Cancelled = append(hb.Cancelled, n.cancelled)
		} else {
			hb.LateStarts = append(hb.LateStarts, message.NewLateStart(c.now.Mono, c.holds.known.Latest(n.hold)))
		}
	}
	return hb
}

// replaceRelay announces again what a relay was told whose process has ended, or may have.
func (c *Core) replaceRelay(a *agent) {
	s := &c.announcements
	s.recent = slices.DeleteFunc(s.recent, func(n notice) bool {
		if !slices.Contains(n.relays, a) || n.outdated(c.now.Mono) {
			return false
		}
		s.queue = append(s.queue, notice{cancelled: n.cancelled, hold: n.hold, at: n.at, dueAt: c.now.Mono})
		return true
	})
}

// announce tells agents of the notices in the queue. The agents pass them on to the other
// dispatchers, to one of which the caller may submit the job again.
func (c *Core) announce() {
	s := &c.announcements
	interval := announcePause * time.Duration(max(1, len(c.agents)))
	s.credit = min(announceBurst, s.credit+float64(c.now.Mono-s.creditAt)/float64(interval))
	s.creditAt = c.now.Mono
	for len(s.queue) > 0 && s.credit >= 1 {
		n := min(len(s.queue), maxAnnounced)
		relays := c.relays(s.queue[0].key())
		if len(relays) == 0 {
			break
		}
		s.credit--
		sent := s.queue[:n:n]
		for i := range sent {
			sent[i].relays = relays
		}
		s.recent = lastNotices(append(s.recent, sent...))
		s.queue = s.queue[n:]
		for _, a := range relays {
			c.sendHeartbeatWith(a, c.announcement(sent))
		}
	}
	c.dropLateNotices()
}

// dropLateNotices drops the notices that could not be announced in time.
func (c *Core) dropLateNotices() {
	s := &c.announcements
	s.queue = slices.DeleteFunc(s.queue, func(n notice) bool {
		if n.cancelled != "" && c.now.Mono-n.dueAt > maxAnnounceDelay {
			c.stats.CancelsForgotten++
			c.logEvent("cancel_not_announced", n.cancelled, "waiting", len(s.queue), "agents", len(c.agents), "limit_ms", maxAnnounceDelay.Milliseconds())
			return true
		}
		if n.cancelled == "" && n.outdated(c.now.Mono) {
			c.logEvent("hold_not_announced", n.hold.Job, "agent", n.hold.Agent.String(), "agents", len(c.agents))
			return true
		}
		return false
	})
}

// relays returns the agents that pass on an announcement: those with the highest ranks for the
// key among the agents that have been heard of lately, in different failure domains if
// possible.
func (c *Core) relays(key string) []*agent {
	var chosen []*agent
	for range relayCount {
		var best *agent
		var bestRank uint64
		bestApart := false
		for _, a := range c.sortedAgents {
			if !a.life.MayGetWork() || a.doubted || a.lastTimestamp == 0 || c.silence(a) > pace.SuspectAfter(a.interval()) {
				continue
			}
			apart, taken := true, false
			for _, o := range chosen {
				apart, taken = apart && o.domain != a.domain, taken || o == a
			}
			rank := rendezvous.Rank(key, a.ref.ID)
			if !taken && (best == nil || apart && !bestApart || apart == bestApart && rank > bestRank) {
				best, bestRank, bestApart = a, rank, apart
			}
		}
		if best != nil {
			chosen = append(chosen, best)
		}
	}
	return chosen
}
