package agent

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

var (
	self  = node.Ref{ID: "a1", Incarnation: 1}
	other = node.Ref{ID: "a2", Incarnation: 2}
)

// newPair returns an agent that knows one other agent, and the round of its
// last query to that agent.
func newPair(t *testing.T) (*Core, uint64) {
	t.Helper()
	c := New(Config{Self: self, Addr: "10.0.0.1:1", Domain: "d", Worker: "w1", PanicOnViolation: true})
	records := [][]byte{
		control.EncodeJoin(control.Member{Ref: self, Addr: "10.0.0.1:1", Role: control.RoleAgent, Domain: "d", Worker: "w1"}),
		control.EncodeJoin(control.Member{Ref: other, Addr: "10.0.0.2:1", Role: control.RoleAgent, Domain: "d", Worker: "w2"}),
	}
	c.Step(at(0), LogRead{Records: records, End: int64(len(records))})
	c.Step(at(statusInterval), Tick{})
	return c, c.peers[other].queryRound
}

func at(mono time.Duration) clock.Now {
	return clock.Now{Mono: mono, Wall: 1_790_000_000_000 + mono.Milliseconds()}
}

// receiveStatus delivers a status message of the other agent and returns the
// resulting actions.
func receiveStatus(c *Core, s message.Status) []Action {
	return c.Step(at(statusInterval+time.Millisecond), Received{Envelope: message.Envelope{
		From: other, To: self, Offset: c.Offset(), Messages: []message.Message{{Status: &s}},
	}})
}

func TestUpstreamsOfPeers(t *testing.T) {
	list := func(names ...string) []message.Upstream {
		var l []message.Upstream
		for _, name := range names {
			l = append(l, message.Upstream{Name: name, Slots: 1})
		}
		return l
	}
	tests := []struct {
		name    string
		answers []message.Status
		want    int
	}{
		{"first", []message.Status{{UpstreamVersion: 1, Upstreams: list("u")}}, 1},
		{"unchanged", []message.Status{{UpstreamVersion: 1, Upstreams: list("u")}, {UpstreamVersion: 1}}, 1},
		{"withdrawn", []message.Status{{UpstreamVersion: 1, Upstreams: list("u")}, {UpstreamVersion: 2}}, 0},
		{"delayed earlier answer", []message.Status{
			{UpstreamVersion: 2, Upstreams: list("u", "v")},
			{UpstreamVersion: 1, Upstreams: list("u")},
		}, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c, round := newPair(t)
			for _, s := range tc.answers {
				s.Round = round
				receiveStatus(c, s)
			}
			if got := len(c.peers[other].upstreams); got != tc.want {
				t.Errorf("got %d upstreams, want %d", got, tc.want)
			}
		})
	}
}

func TestStatusAnswerOmitsKnownUpstreams(t *testing.T) {
	c, _ := newPair(t)
	c.Step(at(statusInterval), UpstreamAnnounced{Name: "u", Slots: 1, Connections: 1, TTL: time.Minute})
	first := onlyStatus(t, receiveStatus(c, message.Status{Query: true, Round: 1}))
	if first.UpstreamVersion == 0 || len(first.Upstreams) != 1 || first.Digest != nil {
		t.Errorf("got %+v, want one upstream with a version and no digest", first)
	}
	second := onlyStatus(t, receiveStatus(c, message.Status{
		Query: true, Round: 2, UpstreamVersion: first.UpstreamVersion, WantDigest: true,
	}))
	if second.UpstreamVersion != first.UpstreamVersion || second.Upstreams != nil || second.Digest == nil {
		t.Errorf("got %+v, want the same version, no upstreams and a digest", second)
	}
}

func TestDigestsAreLimited(t *testing.T) {
	c, _ := newPair(t)
	query := message.Status{Query: true, Round: 1, WantDigest: true}
	for range digestLimit {
		if onlyStatus(t, receiveStatus(c, query)).Digest == nil {
			t.Fatal("got no digest within the limit, want one")
		}
	}
	if onlyStatus(t, receiveStatus(c, query)).Digest != nil {
		t.Error("got a digest past the limit, want none")
	}
	c.Step(at(2*statusInterval), Tick{})
	if onlyStatus(t, receiveStatus(c, query)).Digest == nil {
		t.Error("got no digest in the next round, want one")
	}
}

// A delayed answer to an earlier query must not extend the lease: its age would
// be counted from the time at which the last query was sent.
func TestOnlyAnswerToLastQueryExtendsLease(t *testing.T) {
	c, round := newPair(t)
	peer, _ := newPair(t)
	digest := peer.lease.Digest(at(statusInterval).Mono)
	before := c.lease.Until()
	receiveStatus(c, message.Status{LogAge: -1, Round: round - 1, Digest: &digest})
	if c.lease.Until() != before {
		t.Error("the answer to an earlier query extended the lease")
	}
	receiveStatus(c, message.Status{LogAge: -1, Round: round, Digest: &digest})
	if c.lease.Until() <= before {
		t.Error("the answer to the last query did not extend the lease")
	}
}

func onlyStatus(t *testing.T, actions []Action) *message.Status {
	t.Helper()
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.Message.Status != nil && !s.Message.Status.Query {
			return s.Message.Status
		}
	}
	t.Fatal("got no answer with a status, want one")
	return nil
}
