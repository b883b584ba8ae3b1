package freshness_test

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/freshness"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	second = time.Second
	// lease is how long 1 s of evidence counts with the drift bound of 10.
	lease = 990 * time.Millisecond
)

func ref(id string) node.Ref { return node.Ref{ID: node.ID(id), Incarnation: 1} }

func agents(ids ...string) []control.Member {
	var members []control.Member
	for _, id := range ids {
		members = append(members, control.Member{Ref: ref(id), Role: control.RoleAgent})
	}
	return members
}

func newLease(outage time.Duration) *freshness.Lease {
	return freshness.NewLease(freshness.Config{
		Self: ref("a"), Duration: second, DriftPerMille: 10, OutageLimit: outage,
	})
}

func TestUntil(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(l *freshness.Lease)
		want  time.Duration
	}{
		{"no evidence", func(l *freshness.Lease) {}, 0},
		{"log read", func(l *freshness.Lease) {
			l.LogEvidence(0, 5*second)
		}, 5*second + lease},
		{"log read of an earlier end", func(l *freshness.Lease) {
			l.LogEvidence(3, 5*second)
			l.Advance(4)
		}, 5*second + lease},
		{"log read not yet applied", func(l *freshness.Lease) {
			l.LogEvidence(0, 5*second)
			l.LogEvidence(1, 6*second)
		}, 0},
		{"log read applied later", func(l *freshness.Lease) {
			l.LogEvidence(1, 6*second)
			l.Advance(1)
		}, 6*second + lease},
		{"contradicting log reads", func(l *freshness.Lease) {
			l.LogEvidence(1, 5*second)
			l.LogEvidence(0, 5*second)
		}, 0},
		{"reordered log reads", func(l *freshness.Lease) {
			l.Advance(1)
			l.LogEvidence(1, 6*second)
			l.LogEvidence(0, 5*second)
		}, 6*second + lease},
		{"relayed log read", func(l *freshness.Lease) {
			l.RelayedEvidence(0, 5*second, 2*second)
		}, 5*second - 2020*time.Millisecond + lease},
		{"relayed without evidence", func(l *freshness.Lease) {
			l.RelayedEvidence(0, 5*second, -1)
		}, 0},
		{"peer is ahead", func(l *freshness.Lease) {
			l.LogEvidence(0, 5*second)
			l.PeerEvidence(ref("b"), 1, 5*second+1)
		}, 0},
		{"log read later than the peer that is ahead", func(l *freshness.Lease) {
			l.PeerEvidence(ref("b"), 1, 5*second)
			l.LogEvidence(0, 6*second)
		}, 6*second + lease},
		{"majority with itself", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.PeerEvidence(ref("b"), 0, 5*second)
		}, 5*second + lease},
		{"leaving", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.PeerEvidence(ref("b"), 0, 5*second)
			l.Leave()
		}, 0},
		{"only agent, leaving", func(l *freshness.Lease) {
			l.SetMembers(agents("a"))
			l.Leave()
		}, 0},
		{"half is no majority", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c", "d"))
			l.PeerEvidence(ref("b"), 0, 5*second)
		}, 0},
		{"not an agent itself", func(l *freshness.Lease) {
			l.SetMembers(agents("b", "c", "d"))
			l.PeerEvidence(ref("b"), 0, 5*second)
		}, 0},
		{"oldest word of the majority counts", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c", "d", "e"))
			l.PeerEvidence(ref("b"), 0, 5*second)
			l.PeerEvidence(ref("c"), 0, 7*second)
			l.PeerEvidence(ref("d"), 0, 6*second)
		}, 6*second + lease},
		{"peer that is behind counts", func(l *freshness.Lease) {
			l.Advance(4)
			l.SetMembers(agents("a", "b", "c"))
			l.PeerEvidence(ref("b"), 3, 5*second)
		}, 5*second + lease},
		{"another incarnation does not count", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.PeerEvidence(node.Ref{ID: "b", Incarnation: 2}, 0, 5*second)
		}, 0},
		{"word of a removed agent is dropped", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.PeerEvidence(ref("b"), 0, 5*second)
			l.SetMembers(agents("a", "c", "d"))
		}, 0},
		{"late word does not replace a later one", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.PeerEvidence(ref("b"), 0, 5*second)
			l.PeerEvidence(ref("b"), 0, 4*second)
		}, 5*second + lease},
		{"word of itself is no second vote", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.PeerEvidence(ref("a"), 0, 5*second)
		}, 0},
		{"only agent", func(l *freshness.Lease) {
			l.SetMembers(agents("a"))
		}, freshness.Forever},
		{"no agents", func(l *freshness.Lease) {
			l.PeerEvidence(ref("b"), 0, 5*second)
		}, 0},
		{"entries are not counted", func(l *freshness.Lease) {
			entry := control.Member{Ref: ref("e"), Role: control.RoleEntry}
			l.SetMembers(append(agents("a", "b"), entry))
			l.PeerEvidence(ref("b"), 0, 5*second)
		}, 5*second + lease},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLease(0)
			tc.setup(l)
			if got := l.Until(); got != tc.want {
				t.Errorf("until %v, want %v", got, tc.want)
			}
			if tc.want > 0 && (!l.Valid(tc.want-1) || l.Valid(tc.want)) {
				t.Errorf("Valid does not end at %v", tc.want)
			}
			if tc.want == 0 && l.Valid(0) {
				t.Error("Valid without evidence")
			}
		})
	}
}

func TestOutageLimitBoundsTheWordOfAMajority(t *testing.T) {
	l := newLease(10 * second)
	l.SetMembers(agents("a", "b", "c"))
	l.PeerEvidence(ref("b"), 0, 100*second)
	if got := l.Until(); got != 0 {
		t.Errorf("without any log read until %v, want 0", got)
	}
	l.LogEvidence(0, 90*second+lease/2)
	if got, want := l.Until(), 100*second+lease/2; got != want {
		t.Errorf("until %v, want %v", got, want)
	}
}

func TestEvidenceIsRelayedWithItsOrigin(t *testing.T) {
	l := newLease(0)
	if _, _, ok := l.Evidence(); ok {
		t.Error("evidence before any log read")
	}
	l.SetMembers(agents("a", "b", "c"))
	l.PeerEvidence(ref("b"), 0, 9*second)
	if _, _, ok := l.Evidence(); ok {
		t.Error("the word of a majority passes for log evidence")
	}
	l.LogEvidence(2, 5*second)
	if _, _, ok := l.Evidence(); ok {
		t.Error("evidence of an offset that is not applied")
	}
	l.Advance(3)
	offset, since, ok := l.Evidence()
	if offset != 3 || since != 5*second || !ok {
		t.Errorf("evidence %d since %v (%v), want 3 since 5s", offset, since, ok)
	}
}
