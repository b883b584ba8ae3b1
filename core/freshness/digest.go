package freshness

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// The encoding of ages in a Digest: four bits each, two in a byte.
const (
	ageBits = 4
	// maxAge is the highest age in units. noAge means that the sender holds no
	// usable statement of the agent.
	maxAge = 14
	noAge  = 15
)

// Digest relays the offsets that agents have stated to the sender, so that a
// process can count a majority without querying each agent. Only a process that
// knows the same set of agents can decode it.
type Digest struct {
	// Offset is the sender's next offset. An agent with an age in Ages had
	// applied no record at or past Offset that long before the digest was made.
	Offset int64 `json:"off"`
	// AgentsHash is a hash of the set of agents.
	AgentsHash uint64 `json:"set"`
	// Unit is the unit of the ages.
	Unit time.Duration `json:"unit"`
	// Ages holds the age of each agent's latest statement in multiples of Unit,
	// ordered by ref.
	Ages []byte `json:"ages"`
}

// agentSet is the set of agents in the order of a Digest.
type agentSet struct {
	refs []node.Ref
	hash uint64
}

func newAgentSet(members []control.Member) agentSet {
	var s agentSet
	h := xxhash.New()
	for _, m := range members {
		if m.Role != control.RoleAgent {
			continue
		}
		s.refs = append(s.refs, m.Ref)
		// Writing to a hash does not fail.
		_, _ = h.WriteString(m.Ref.String() + "\n")
	}
	s.hash = h.Sum64()
	return s
}

// Digest returns the statements that the process holds at now, including its
// own. A process that has announced that it leaves must not send a digest.
func (l *Lease) Digest(now time.Duration) Digest {
	d := Digest{
		Offset:     l.next,
		AgentsHash: l.agentSet.hash,
		Unit:       max(1, l.config.Duration/maxAge),
		Ages:       make([]byte, (len(l.agentSet.refs)+1)/2),
	}
	for i, ref := range l.agentSet.refs {
		d.Ages[i/2] |= l.ageInUnits(ref, now, d.Unit) << (ageBits * (i % 2))
	}
	if n := len(l.agentSet.refs); n%2 == 1 {
		d.Ages[n/2] |= noAge << ageBits
	}
	return d
}

// ageInUnits returns the age of an agent's statement in units, rounded up, or
// noAge when the statement is missing, too old or past the process's offset.
func (l *Lease) ageInUnits(ref node.Ref, now, unit time.Duration) byte {
	if ref == l.config.Self {
		return 0
	}
	statement, ok := l.statements[ref]
	if !ok || statement.offset > l.next {
		return noAge
	}
	age := (now - statement.since + unit - 1) / unit
	if age > maxAge {
		return noAge
	}
	return byte(max(0, age))
}

// MergeDigest adds the statements from the answer to a query that was sent at
// sentAt. It ignores a digest of another set of agents.
func (l *Lease) MergeDigest(d Digest, sentAt time.Duration) {
	l.observeOffset(evidence{offset: d.Offset, since: sentAt})
	if d.AgentsHash != l.agentSet.hash || len(d.Ages) != (len(l.agentSet.refs)+1)/2 || d.Unit <= 0 || d.Unit > l.config.Duration {
		return
	}
	for i, ref := range l.agentSet.refs {
		age := d.Ages[i/2] >> (ageBits * (i % 2)) & noAge
		if age == noAge {
			continue
		}
		l.AddPeerEvidence(ref, d.Offset, sentAt-l.maxElapsed(time.Duration(age)*d.Unit))
	}
}
