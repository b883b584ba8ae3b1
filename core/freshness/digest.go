package freshness

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// The coding of ages in a Digest: four bits each, two in a byte.
const (
	ageBits = 4
	// maxAge is the highest age in units. noAge says that there is no word.
	maxAge = 14
	noAge  = 15
)

// Digest relays what a process knows of the agents' words, so that a majority
// can be counted without asking each agent. It has meaning for a process that
// knows the same set of agents.
type Digest struct {
	// Offset is the sender's next offset: no agent with an age had applied a
	// record at or past it that long ago.
	Offset int64 `json:"off"`
	// Set is a hash of the set of agents.
	Set uint64 `json:"set"`
	// Unit is the unit of the ages.
	Unit time.Duration `json:"unit"`
	// Ages holds the age of the word of each agent, ordered by ref.
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

// Digest returns the words that the process holds at now, its own included. A
// process that has announced that it leaves must not send it.
func (l *Lease) Digest(now time.Duration) Digest {
	d := Digest{
		Offset: l.next,
		Set:    l.set.hash,
		Unit:   max(1, l.config.Duration/maxAge),
		Ages:   make([]byte, (len(l.set.refs)+1)/2),
	}
	for i, ref := range l.set.refs {
		d.Ages[i/2] |= l.ageOf(ref, now, d.Unit) << (ageBits * (i % 2))
	}
	if n := len(l.set.refs); n%2 == 1 {
		d.Ages[n/2] |= noAge << ageBits
	}
	return d
}

// ageOf returns the age of an agent's word in units, rounded up, or noAge.
func (l *Lease) ageOf(ref node.Ref, now, unit time.Duration) byte {
	if ref == l.config.Self {
		return 0
	}
	word, ok := l.words[ref]
	if !ok || word.offset > l.next {
		return noAge
	}
	age := (now - word.since + unit - 1) / unit
	if age > maxAge {
		return noAge
	}
	return byte(max(0, age))
}

// MergeDigest takes the words in the answer to a query that was sent at
// askedAt. It ignores a digest of another set of agents.
func (l *Lease) MergeDigest(d Digest, askedAt time.Duration) {
	l.learn(evidence{offset: d.Offset, since: askedAt})
	if d.Set != l.set.hash || len(d.Ages) != (len(l.set.refs)+1)/2 || d.Unit <= 0 || d.Unit > l.config.Duration {
		return
	}
	for i, ref := range l.set.refs {
		age := d.Ages[i/2] >> (ageBits * (i % 2)) & noAge
		if age == noAge {
			continue
		}
		l.PeerEvidence(ref, d.Offset, askedAt-l.stretch(time.Duration(age)*d.Unit))
	}
}
