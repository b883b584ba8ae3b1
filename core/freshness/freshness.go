// Package freshness implements the freshness lease, which limits how long a
// process may start work based on the state that it holds. The same rule
// protects configuration and job ownership: a process starts work only while it
// holds recent evidence that its offset in the control stream is current.
// docs/design/freshness.md has the safety argument.
package freshness

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// DefaultDuration is the default duration of a lease.
const DefaultDuration = 2500 * time.Millisecond

// DefaultDriftPerMille is the default bound on the relative drift of two
// monotonic clocks.
const DefaultDriftPerMille = 10

// perMille is the denominator of a drift bound.
const perMille = 1000

// Forever is what Until returns for evidence that cannot expire, because the
// process is the only agent. Durations can be added to it without overflow.
const Forever time.Duration = 1 << 62

// Config holds the parameters of a Lease.
type Config struct {
	Self node.Ref
	// Duration is how long evidence stays valid.
	Duration time.Duration
	// DriftPerMille bounds the relative drift of two monotonic clocks.
	DriftPerMille int
	// OutageLimit is how long after the last log evidence, direct or relayed, the
	// statements of a majority of agents are still valid evidence. Zero means no
	// limit.
	OutageLimit time.Duration
}

// evidence states that at the instant since no record at or past offset was in
// the log. In the statement of an agent, it states that the agent had applied
// no such record.
type evidence struct {
	offset int64
	since  time.Duration
}

// Lease tracks the evidence that the process's offset is current. All instants
// are monotonic times of this process. It is not safe for concurrent use.
type Lease struct {
	config Config
	next   int64
	// log is the latest log evidence.
	log    evidence
	hasLog bool
	// highestReported is the highest offset that the log or another process is
	// known to have reached. While it exceeds next, the process is behind and
	// must not start work.
	highestReported evidence

	leaving bool

	agentSet   agentSet
	agents     map[node.Ref]bool
	statements map[node.Ref]evidence
	// majoritySince and hasMajority cache the result of countMajority until
	// majorityStale is set.
	majoritySince time.Duration
	hasMajority   bool
	majorityStale bool
}

// NewLease returns a lease that holds no evidence.
func NewLease(c Config) *Lease {
	return &Lease{
		config:     c,
		agents:     make(map[node.Ref]bool),
		statements: make(map[node.Ref]evidence),
	}
}

// SetMembers sets the members in force at the process's offset. They must be
// ordered by ref.
func (l *Lease) SetMembers(members []control.Member) {
	l.agentSet = newAgentSet(members)
	clear(l.agents)
	for _, ref := range l.agentSet.refs {
		l.agents[ref] = true
	}
	for ref := range l.statements {
		if !l.agents[ref] {
			delete(l.statements, ref)
		}
	}
	l.majorityStale = true
}

// Advance records that the process has applied every record before next.
func (l *Lease) Advance(next int64) {
	l.next = max(l.next, next)
	l.majorityStale = true
}

// AddLogEvidence records that a log read sent at sentAt returned next as the
// end of the log.
func (l *Lease) AddLogEvidence(next int64, sentAt time.Duration) {
	if sentAt >= l.highestReported.since {
		l.highestReported = evidence{}
	}
	l.updateLog(evidence{offset: next, since: sentAt})
}

// AddRelayedEvidence records a peer's log evidence. The answer to a query sent
// at sentAt stated that the end of the log was offset, according to a log read
// of the given age. A negative age means that the peer holds no log evidence.
func (l *Lease) AddRelayedEvidence(offset int64, sentAt, age time.Duration) {
	l.observeOffset(evidence{offset: offset, since: sentAt})
	if age < 0 {
		return
	}
	l.updateLog(evidence{offset: offset, since: sentAt - l.maxElapsed(age)})
}

// updateLog stores the log evidence e if it is later than the evidence held.
// Later evidence never has a lower offset, because the log only grows.
func (l *Lease) updateLog(e evidence) {
	l.observeOffset(e)
	if !l.hasLog || e.since > l.log.since {
		l.log = e
		l.hasLog = true
	}
}

// observeOffset records that the log or another process has reached the offset
// of e.
func (l *Lease) observeOffset(e evidence) {
	if e.offset > l.highestReported.offset {
		l.highestReported = e
	}
}

// AddPeerEvidence records the statement that the peer from had applied no
// record at or past offset when it answered a query sent at sentAt. It had
// applied none at sentAt either, because a peer's offset only grows. Offset
// must not be below the peer's own next offset, but may be above it, as in
// MergeDigest.
func (l *Lease) AddPeerEvidence(from node.Ref, offset int64, sentAt time.Duration) {
	l.observeOffset(evidence{offset: offset, since: sentAt})
	if !l.agents[from] {
		return
	}
	held, ok := l.statements[from]
	if ok && held.since >= sentAt {
		return
	}
	l.statements[from] = evidence{offset: offset, since: sentAt}
	l.majorityStale = true
}

// Leave records that the process has announced that it leaves. Other processes
// may treat it as ended from then on, so it no longer counts itself in a
// majority and must not answer queries.
func (l *Lease) Leave() {
	l.leaving = true
	l.majorityStale = true
}

// Until returns the instant until which the process may start work, or zero when
// it holds no valid evidence.
func (l *Lease) Until() time.Duration {
	if l.highestReported.offset > l.next {
		return 0
	}
	return max(l.logUntil(), l.majorityUntil())
}

// Valid reports whether the process may start work at now.
func (l *Lease) Valid(now time.Duration) bool {
	if l.highestReported.offset > l.next {
		return false
	}
	return now < l.logUntil() || now < l.majorityUntil()
}

// LatestLogEvidence returns the latest log evidence, direct or relayed, that
// covers the process's offset: no record at or past offset was in the log at
// since.
func (l *Lease) LatestLogEvidence() (offset int64, since time.Duration, ok bool) {
	if !l.hasLog || l.log.offset > l.next {
		return 0, 0, false
	}
	return l.next, l.log.since, true
}

func (l *Lease) logUntil() time.Duration {
	if !l.hasLog || l.log.offset > l.next {
		return 0
	}
	return max(0, l.log.since+l.localDuration())
}

func (l *Lease) majorityUntil() time.Duration {
	if l.majorityStale {
		l.majoritySince, l.hasMajority = l.countMajority()
		l.majorityStale = false
	}
	if !l.hasMajority {
		return 0
	}
	until := Forever
	if l.majoritySince < Forever {
		until = max(0, l.majoritySince+l.localDuration())
	}
	return min(until, l.outageUntil())
}

// outageUntil returns the instant at which the statements of a majority stop
// being valid evidence, because the log has not been read for OutageLimit.
func (l *Lease) outageUntil() time.Duration {
	if l.config.OutageLimit <= 0 {
		return Forever
	}
	if !l.hasLog {
		return 0
	}
	return l.log.since + l.config.OutageLimit
}

// countMajority returns the latest instant at which more than half of the
// agents, including this process, are known not to have been past next.
func (l *Lease) countMajority() (time.Duration, bool) {
	if len(l.agents) == 0 {
		return 0, false
	}
	need := len(l.agents)/2 + 1
	if l.agents[l.config.Self] && !l.leaving {
		need--
	}
	if need == 0 {
		return Forever, true
	}
	var since []time.Duration
	for ref, statement := range l.statements {
		if ref != l.config.Self && statement.offset <= l.next {
			since = append(since, statement.since)
		}
	}
	if len(since) < need {
		return 0, false
	}
	slices.Sort(since)
	return since[len(since)-need], true
}

// localDuration returns how long evidence is valid on the clock of this process.
// It is shorter than Config.Duration by the drift bound, so that the evidence
// has expired before Config.Duration passes on any other clock.
func (l *Lease) localDuration() time.Duration {
	return l.config.Duration * time.Duration(perMille-l.config.DriftPerMille) / perMille
}

// maxElapsed returns the longest time that may have passed on the clock of this
// process while age passed on another clock.
func (l *Lease) maxElapsed(age time.Duration) time.Duration {
	return age * time.Duration(perMille+l.config.DriftPerMille) / perMille
}
