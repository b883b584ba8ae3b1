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

func TestDigestRelaysStatementsWithTheirAge(t *testing.T) {
	members := agents("a", "b", "c", "d", "e")
	sender := freshness.NewLease(freshness.Config{Self: ref("b"), Duration: 1400 * time.Millisecond, DriftPerMille: 10})
	sender.SetMembers(members)
	sender.Advance(4)
	sender.AddPeerEvidence(ref("c"), 3, 10*second)
	sender.AddPeerEvidence(ref("d"), 4, 8*second)
	sender.AddPeerEvidence(ref("e"), 5, 10*second)
	// The statement of c is 150 ms old, which is two units of 100 ms. That of d is
	// too old, and that of e is past the sender's offset.
	d := sender.Digest(10*second + 150*time.Millisecond)
	if want := []byte{0x0f, 0xf2, 0xff}; !bytes.Equal(d.Ages, want) {
		t.Errorf("got ages %x, want %x", d.Ages, want)
	}
	for _, tc := range []struct {
		name string
		edit func(d *freshness.Digest, l *freshness.Lease)
		want time.Duration
	}{
		{"two statements make a majority with the receiver", nil, 50*second - 202*time.Millisecond + leaseDuration},
		{"the receiver is behind the sender", func(d *freshness.Digest, _ *freshness.Lease) { d.Offset = 5 }, 0},
		{"another set of agents", func(d *freshness.Digest, _ *freshness.Lease) { d.AgentsHash++ }, 0},
		{"another set and a later offset", func(d *freshness.Digest, l *freshness.Lease) {
			l.AddLogEvidence(4, 49*second)
			d.AgentsHash++
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
				t.Errorf("got lease until %v, want %v", got, tc.want)
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
		l.AddPeerEvidence(m.Ref, 0, second)
	}
	now := second
	for b.Loop() {
		now += time.Microsecond
		l.MergeDigest(l.Digest(now), now)
		l.Until()
	}
}

// Parameters of the spread of statements while no process can read the log.
const (
	spreadRound  = 250 * time.Millisecond
	spreadDirect = 10
	spreadRelay  = 2
	// spreadWarmUp is the time by which every lease must be valid.
	spreadWarmUp = 2500 * time.Millisecond
	spreadEnd    = 6 * time.Second
)

// TestRelayedWordsReachAMajority guards against leases that expire while the
// log is down. In each round every agent receives the statements of spreadDirect
// agents and the digests of spreadRelay random ones, which together must cover a
// majority of all agents.
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
	minLeft := time.Duration(1 << 62)
	digests := make([]freshness.Digest, n)
	for now := spreadRound; now <= spreadEnd; now += spreadRound {
		for i, l := range leases {
			digests[i] = l.Digest(now)
		}
		for i, l := range leases {
			for k := range spreadDirect {
				l.AddPeerEvidence(members[(i+k+1)%n].Ref, 0, now)
			}
			for range spreadRelay {
				l.MergeDigest(digests[random.IntN(n)], now)
			}
		}
		if now < spreadWarmUp {
			continue
		}
		for _, l := range leases {
			minLeft = min(minLeft, l.Until()-now)
		}
	}
	t.Logf("%d agents, digest of %d bytes: each lease has at least %v left", n, len(leases[0].Digest(0).Ages), minLeft)
	if minLeft < spreadRound {
		t.Errorf("after a round a lease has %v left, want at least the time of a round", minLeft)
	}
}
