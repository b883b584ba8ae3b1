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
	// leaseDuration is how long evidence is valid with a duration of 1 s and a
	// drift bound of 10 per mille.
	leaseDuration = 990 * time.Millisecond
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
			l.AddLogEvidence(0, 5*second)
		}, 5*second + leaseDuration},
		{"log read of an earlier end", func(l *freshness.Lease) {
			l.AddLogEvidence(3, 5*second)
			l.Advance(4)
		}, 5*second + leaseDuration},
		{"log read not yet applied", func(l *freshness.Lease) {
			l.AddLogEvidence(0, 5*second)
			l.AddLogEvidence(1, 6*second)
		}, 0},
		{"log read applied later", func(l *freshness.Lease) {
			l.AddLogEvidence(1, 6*second)
			l.Advance(1)
		}, 6*second + leaseDuration},
		{"contradictory log reads", func(l *freshness.Lease) {
			l.AddLogEvidence(1, 5*second)
			l.AddLogEvidence(0, 5*second)
		}, 0},
		{"reordered log reads", func(l *freshness.Lease) {
			l.Advance(1)
			l.AddLogEvidence(1, 6*second)
			l.AddLogEvidence(0, 5*second)
		}, 6*second + leaseDuration},
		{"relayed log read", func(l *freshness.Lease) {
			l.AddRelayedEvidence(0, 5*second, 2*second)
		}, 5*second - 2020*time.Millisecond + leaseDuration},
		{"relayed answer without log evidence", func(l *freshness.Lease) {
			l.AddRelayedEvidence(0, 5*second, -1)
		}, 0},
		{"peer is ahead", func(l *freshness.Lease) {
			l.AddLogEvidence(0, 5*second)
			l.AddPeerEvidence(ref("b"), 1, 5*second+1)
		}, 0},
		{"log read later than the peer that is ahead", func(l *freshness.Lease) {
			l.AddPeerEvidence(ref("b"), 1, 5*second)
			l.AddLogEvidence(0, 6*second)
		}, 6*second + leaseDuration},
		{"majority including the process itself", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.AddPeerEvidence(ref("b"), 0, 5*second)
		}, 5*second + leaseDuration},
		{"leaving", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.AddPeerEvidence(ref("b"), 0, 5*second)
			l.Leave()
		}, 0},
		{"only agent, leaving", func(l *freshness.Lease) {
			l.SetMembers(agents("a"))
			l.Leave()
		}, 0},
		{"half is no majority", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c", "d"))
			l.AddPeerEvidence(ref("b"), 0, 5*second)
		}, 0},
		{"not an agent itself", func(l *freshness.Lease) {
			l.SetMembers(agents("b", "c", "d"))
			l.AddPeerEvidence(ref("b"), 0, 5*second)
		}, 0},
		{"oldest statement of the majority counts", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c", "d", "e"))
			l.AddPeerEvidence(ref("b"), 0, 5*second)
			l.AddPeerEvidence(ref("c"), 0, 7*second)
			l.AddPeerEvidence(ref("d"), 0, 6*second)
		}, 6*second + leaseDuration},
		{"statement of a peer that is behind counts", func(l *freshness.Lease) {
			l.Advance(4)
			l.SetMembers(agents("a", "b", "c"))
			l.AddPeerEvidence(ref("b"), 3, 5*second)
		}, 5*second + leaseDuration},
		{"another incarnation does not count", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.AddPeerEvidence(node.Ref{ID: "b", Incarnation: 2}, 0, 5*second)
		}, 0},
		{"statement of a removed agent is dropped", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.AddPeerEvidence(ref("b"), 0, 5*second)
			l.SetMembers(agents("a", "c", "d"))
		}, 0},
		{"delayed statement does not replace a newer one", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.AddPeerEvidence(ref("b"), 0, 5*second)
			l.AddPeerEvidence(ref("b"), 0, 4*second)
		}, 5*second + leaseDuration},
		{"statement of the process itself does not count twice", func(l *freshness.Lease) {
			l.SetMembers(agents("a", "b", "c"))
			l.AddPeerEvidence(ref("a"), 0, 5*second)
		}, 0},
		{"only agent", func(l *freshness.Lease) {
			l.SetMembers(agents("a"))
		}, freshness.Forever},
		{"no agents", func(l *freshness.Lease) {
			l.AddPeerEvidence(ref("b"), 0, 5*second)
		}, 0},
		{"entries are not counted", func(l *freshness.Lease) {
			entry := control.Member{Ref: ref("e"), Role: control.RoleEntry}
			l.SetMembers(append(agents("a", "b"), entry))
			l.AddPeerEvidence(ref("b"), 0, 5*second)
		}, 5*second + leaseDuration},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLease(0)
			tc.setup(l)
			if got := l.Until(); got != tc.want {
				t.Errorf("got lease until %v, want %v", got, tc.want)
			}
			if tc.want > 0 && (!l.Valid(tc.want-1) || l.Valid(tc.want)) {
				t.Errorf("want Valid to be true right before %v and false from then on", tc.want)
			}
			if tc.want == 0 && l.Valid(0) {
				t.Error("got a valid lease at 0 without evidence, want an invalid one")
			}
		})
	}
}

func TestOutageLimitBoundsMajorityEvidence(t *testing.T) {
	l := newLease(10 * second)
	l.SetMembers(agents("a", "b", "c"))
	l.AddPeerEvidence(ref("b"), 0, 100*second)
	if got := l.Until(); got != 0 {
		t.Errorf("without any log read: got lease until %v, want 0", got)
	}
	l.AddLogEvidence(0, 90*second+leaseDuration/2)
	if got, want := l.Until(), 100*second+leaseDuration/2; got != want {
		t.Errorf("got lease until %v, want %v", got, want)
	}
}

func TestEvidenceIsRelayedWithItsOrigin(t *testing.T) {
	l := newLease(0)
	if _, _, ok := l.LatestLogEvidence(); ok {
		t.Error("got log evidence before any log read, want none")
	}
	l.SetMembers(agents("a", "b", "c"))
	l.AddPeerEvidence(ref("b"), 0, 9*second)
	if _, _, ok := l.LatestLogEvidence(); ok {
		t.Error("got log evidence from the statement of a peer, want none")
	}
	l.AddLogEvidence(2, 5*second)
	if _, _, ok := l.LatestLogEvidence(); ok {
		t.Error("got log evidence for an offset that is not applied, want none")
	}
	l.Advance(3)
	offset, since, ok := l.LatestLogEvidence()
	if offset != 3 || since != 5*second || !ok {
		t.Errorf("got evidence %d since %v (%v), want 3 since 5s", offset, since, ok)
	}
}
