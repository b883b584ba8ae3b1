// Package freshness decides how long a process may go on starting work on the
// state that it holds. One rule serves configuration and ownership: a process
// starts work only while it holds recent evidence that its offset is current.
// docs/design/freshness.md has the safety argument.
package freshness

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// DefaultDuration is the default lease.
const DefaultDuration = 2500 * time.Millisecond

// DefaultDriftPerMille is the default bound on the relative drift of two
// monotonic clocks.
const DefaultDriftPerMille = 10

// perMille is the denominator of a drift bound.
const perMille = 1000

// Forever is what Until returns for evidence that cannot expire: the process is
// the only agent. It leaves room for adding durations without overflow.
const Forever time.Duration = 1 << 62

// Config holds the parameters of a Lease.
type Config struct {
	Self node.Ref
	// Duration is how long evidence counts.
	Duration time.Duration
	// DriftPerMille bounds the relative drift of two monotonic clocks.
	DriftPerMille int
	// OutageLimit is how long after the last log evidence, direct or relayed,
	// the word of a majority of agents still counts. Zero is no limit.
	OutageLimit time.Duration
}

// evidence states that no record at or past offset was in the log at since.
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
	log   evidence
	hasOK bool
	// behind is the highest offset that others are known to have reached.
	behind evidence

	left bool

	set    agentSet
	agents map[node.Ref]bool
	words  map[node.Ref]evidence
	// majority caches the instant since which a majority is known not to be
	// past next.
	majority   time.Duration
	majorityOK bool
	dirty      bool
}

// NewLease returns a lease that holds no evidence.
func NewLease(c Config) *Lease {
	return &Lease{
		config: c,
		agents: make(map[node.Ref]bool),
		words:  make(map[node.Ref]evidence),
	}
}

// SetMembers sets the members in force at the process's offset, ordered by ref.
func (l *Lease) SetMembers(members []control.Member) {
	l.set = newAgentSet(members)
	clear(l.agents)
	for _, ref := range l.set.refs {
		l.agents[ref] = true
	}
	for ref := range l.words {
		if !l.agents[ref] {
			delete(l.words, ref)
		}
	}
	l.dirty = true
}

// Advance says that the process has applied every record before next.
func (l *Lease) Advance(next int64) {
	l.next = max(l.next, next)
	l.dirty = true
}

// LogEvidence records that a log read sent at askedAt showed next as the end.
func (l *Lease) LogEvidence(next int64, askedAt time.Duration) {
	if askedAt >= l.behind.since {
		l.behind = evidence{}
	}
	l.addLog(evidence{offset: next, since: askedAt})
}

// RelayedEvidence records a peer's log evidence: the answer to a query that was
// sent at askedAt stated that the end was offset, from a read of the given age.
// A negative age is no evidence.
func (l *Lease) RelayedEvidence(offset int64, askedAt, age time.Duration) {
	l.learn(evidence{offset: offset, since: askedAt})
	if age < 0 {
		return
	}
	l.addLog(evidence{offset: offset, since: askedAt - l.stretch(age)})
}

// addLog keeps the evidence when it is later than what is held. Later evidence
// never has a lower offset, because the log only grows.
func (l *Lease) addLog(e evidence) {
	l.learn(e)
	if !l.hasOK || e.since > l.log.since {
		l.log = e
		l.hasOK = true
	}
}

// learn notes that the offset of e has been reached by somebody.
func (l *Lease) learn(e evidence) {
	if e.offset > l.behind.offset {
		l.behind = e
	}
}

// PeerEvidence records a peer's statement that it had applied no record at or
// past offset, given after a query that was sent at asOf. The statement must
// name all that the peer has applied: a peer's offset only grows.
func (l *Lease) PeerEvidence(from node.Ref, offset int64, asOf time.Duration) {
	l.learn(evidence{offset: offset, since: asOf})
	if !l.agents[from] {
		return
	}
	held, ok := l.words[from]
	if ok && held.since >= asOf {
		return
	}
	l.words[from] = evidence{offset: offset, since: asOf}
	l.dirty = true
}

// Leave says that the process has announced that it leaves. Others may take it
// for ended from then on, so it is no part of a majority any more and must not
// answer a query.
func (l *Lease) Leave() {
	l.left = true
	l.dirty = true
}

// Until returns the instant up to which the process may start work, or zero.
func (l *Lease) Until() time.Duration {
	if l.behind.offset > l.next {
		return 0
	}
	return max(l.logUntil(), l.majorityUntil())
}

// Valid reports whether the process may start work at now.
func (l *Lease) Valid(now time.Duration) bool {
	if l.behind.offset > l.next {
		return false
	}
	return now < l.logUntil() || now < l.majorityUntil()
}

// Evidence returns the latest log evidence, direct or relayed, that covers the
// process's offset: no record at or past offset was in the log at since.
func (l *Lease) Evidence() (offset int64, since time.Duration, ok bool) {
	if !l.hasOK || l.log.offset > l.next {
		return 0, 0, false
	}
	return l.next, l.log.since, true
}

func (l *Lease) logUntil() time.Duration {
	if !l.hasOK || l.log.offset > l.next {
		return 0
	}
	return max(0, l.log.since+l.duration())
}

func (l *Lease) majorityUntil() time.Duration {
	if l.dirty {
		l.majority, l.majorityOK = l.countMajority()
		l.dirty = false
	}
	if !l.majorityOK {
		return 0
	}
	until := Forever
	if l.majority < Forever {
		until = max(0, l.majority+l.duration())
	}
	return min(until, l.outageUntil())
}

// outageUntil returns the instant at which the word of a majority stops to
// count, because the log has not been read for too long.
func (l *Lease) outageUntil() time.Duration {
	if l.config.OutageLimit <= 0 {
		return Forever
	}
	if !l.hasOK {
		return 0
	}
	return l.log.since + l.config.OutageLimit
}

// countMajority returns the latest instant since which more than half of the
// agents, itself included, are known not to have been past next.
func (l *Lease) countMajority() (time.Duration, bool) {
	if len(l.agents) == 0 {
		return 0, false
	}
	need := len(l.agents)/2 + 1
	if l.agents[l.config.Self] && !l.left {
		need--
	}
	if need == 0 {
		return Forever, true
	}
	var since []time.Duration
	for ref, word := range l.words {
		if ref != l.config.Self && word.offset <= l.next {
			since = append(since, word.since)
		}
	}
	if len(since) < need {
		return 0, false
	}
	slices.Sort(since)
	return since[len(since)-need], true
}

// duration returns how long evidence counts on this clock, so that it has
// expired on every other clock after Config.Duration.
func (l *Lease) duration() time.Duration {
	return l.config.Duration * time.Duration(perMille-l.config.DriftPerMille) / perMille
}

// stretch returns the longest time that may have passed here while age passed
// on another clock.
func (l *Lease) stretch(age time.Duration) time.Duration {
	return age * time.Duration(perMille+l.config.DriftPerMille) / perMille
}
