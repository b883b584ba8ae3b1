package freshness_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/freshness"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

var spreadAgents = flag.Int("spread.agents", 120, "number of agents of TestRelayedWordsReachAMajority")

func TestDigestRelaysWordsWithTheirAge(t *testing.T) {
	members := agents("a", "b", "c", "d", "e")
	sender := freshness.NewLease(freshness.Config{Self: ref("b"), Duration: 1400 * time.Millisecond, DriftPerMille: 10})
	sender.SetMembers(members)
	sender.Advance(4)
	sender.PeerEvidence(ref("c"), 3, 10*second)
	sender.PeerEvidence(ref("d"), 4, 8*second)
	sender.PeerEvidence(ref("e"), 5, 10*second)
	// The word of c is 150 ms old, in units of 100 ms two; that of d is too old
	// and e is past the sender's offset.
	d := sender.Digest(10*second + 150*time.Millisecond)
	if want := []byte{0x0f, 0xf2, 0xff}; !bytes.Equal(d.Ages, want) {
		t.Errorf("ages %x, want %x", d.Ages, want)
	}
	for _, tc := range []struct {
		name string
		edit func(d *freshness.Digest, l *freshness.Lease)
		want time.Duration
	}{
		{"two words make a majority with itself", nil, 50*second - 202*time.Millisecond + lease},
		{"the receiver is behind the sender", func(d *freshness.Digest, _ *freshness.Lease) { d.Offset = 5 }, 0},
		{"another set of agents", func(d *freshness.Digest, _ *freshness.Lease) { d.Set++ }, 0},
		{"another set and a later offset", func(d *freshness.Digest, l *freshness.Lease) {
			l.LogEvidence(4, 49*second)
			d.Set++
			d.Offset = 5
		}, 0},
		{"wrong length", func(d *freshness.Digest, _ *freshness.Lease) { d.Ages = d.Ages[1:] }, 0},
		{"no unit", func(d *freshness.Digest, _ *freshness.Lease) { d.Unit = 0 }, 0},
		{"an incarnation that the sender does not know", func(_ *freshness.Digest, l *freshness.Lease) {
			other := agents("a", "b", "c", "d", "e")
			other[2].Ref.Incarnation = 2
			l.SetMembers(other)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLease(0)
			l.SetMembers(members)
			l.Advance(4)
			copied := d
			if tc.edit != nil {
				tc.edit(&copied, l)
			}
			l.MergeDigest(copied, 50*second)
			if got := l.Until(); got != tc.want {
				t.Errorf("until %v, want %v", got, tc.want)
			}
		})
	}
}

func BenchmarkDigest920(b *testing.B) {
	var members []control.Member
	for i := range 920 {
		r := node.Ref{ID: node.ID(fmt.Sprintf("n%04d", i)), Incarnation: 1}
		members = append(members, control.Member{Ref: r, Role: control.RoleAgent})
	}
	l := newLease(0)
	l.SetMembers(members)
	for _, m := range members {
		l.PeerEvidence(m.Ref, 0, second)
	}
	now := second
	for b.Loop() {
		now += time.Microsecond
		l.MergeDigest(l.Digest(now), now)
		l.Until()
	}
}

// The spread of words while nobody reads the log.
const (
	spreadRound  = 250 * time.Millisecond
	spreadDirect = 10
	spreadRelay  = 2
	// spreadWarm is when every lease has to be valid first.
	spreadWarm = 2500 * time.Millisecond
	spreadEnd  = 6 * time.Second
)

// TestRelayedWordsReachAMajority asserts that every lease stays valid without
// the log when each agent asks a few others in each round, the first of them
// for their word alone.
func TestRelayedWordsReachAMajority(t *testing.T) {
	n := *spreadAgents
	random := rand.New(rand.NewPCG(1, 2))
	var members []control.Member
	for i := range n {
		r := node.Ref{ID: node.ID(fmt.Sprintf("n%04d", i)), Incarnation: 1}
		members = append(members, control.Member{Ref: r, Role: control.RoleAgent})
	}
	leases := make([]*freshness.Lease, n)
	for i, m := range members {
		leases[i] = freshness.NewLease(freshness.Config{
			Self: m.Ref, Duration: freshness.DefaultDuration, DriftPerMille: freshness.DefaultDriftPerMille,
		})
		leases[i].SetMembers(members)
	}
	least := time.Duration(1 << 62)
	digests := make([]freshness.Digest, n)
	for now := spreadRound; now <= spreadEnd; now += spreadRound {
		for i, l := range leases {
			digests[i] = l.Digest(now)
		}
		for i, l := range leases {
			for k := range spreadDirect {
				l.PeerEvidence(members[(i+k+1)%n].Ref, 0, now)
			}
			for range spreadRelay {
				l.MergeDigest(digests[random.IntN(n)], now)
			}
		}
		if now < spreadWarm {
			continue
		}
		for _, l := range leases {
			least = min(least, l.Until()-now)
		}
	}
	t.Logf("%d agents, digest of %d bytes: a lease has at least %v left", n, len(leases[0].Digest(0).Ages), least)
	if least < spreadRound {
		t.Errorf("a lease has only %v left after a round", least)
	}
}
