package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// bytesPerSecond limits the control traffic of a process in each direction.
const bytesPerSecond = 19_000

// TestControlTraffic checks an idle fleet before and during an outage of the log
// service. The control traffic of each process must stay within bytesPerSecond, and
// every agent must be able to start tasks at all times.
func TestControlTraffic(t *testing.T) {
	for _, agents := range []int{11, 120} {
		t.Run(fmt.Sprintf("agents=%d", agents), func(t *testing.T) {
			f := newFleet(agents, entryCount(agents))
			f.run(3 * time.Second)
			checkTraffic(t, f, agents, 4)
			f.logDown = true
			checkTraffic(t, f, agents, 6)
		})
	}
}

// checkTraffic runs the fleet for the given number of seconds and checks the
// traffic of every process and the freshness lease of every agent.
func checkTraffic(t *testing.T, f *fleet, agents, seconds int) {
	t.Helper()
	for _, m := range f.members {
		m.sent, m.received = traffic{}, traffic{}
	}
	const step = 250 * time.Millisecond
	for range time.Duration(seconds) * time.Second / step {
		f.run(step)
		for _, m := range f.members[:agents] {
			if m.agent.Status().LeaseLeft <= 0 {
				t.Fatalf("%s has no freshness lease to start tasks at %s; log down: %t", m.ref, f.now, f.logDown)
			}
		}
	}
	for _, m := range f.members {
		if out, in := m.sent.bytes/seconds, m.received.bytes/seconds; max(out, in) > bytesPerSecond {
			t.Errorf("%s sent %d B/s and received %d B/s, want at most bytesPerSecond each; log down: %t", m.ref, out, in, f.logDown)
		}
	}
}

// TestUpstreamChangesSpread checks that entries learn of every change of an agent's
// local upstreams. An agent's answer omits an unchanged list of upstreams, so an entry
// would keep an outdated list if the agent took a changed list for unchanged.
func TestUpstreamChangesSpread(t *testing.T) {
	f := newFleet(11, 1)
	f.run(3 * time.Second)
	first, entryMember := f.members[0], f.members[11]
	extra := agent.UpstreamAnnounced{
		Name: "extra", Slots: 1, Connections: 8, Labels: label.Set{"tier": "gold"}, TTL: time.Hour,
	}
	steps := []struct {
		name  string
		event agent.Event
		want  int
	}{
		{"announced", extra, 2},
		{"withdrawn", agent.UpstreamWithdrawn{Name: extra.Name}, 1},
		{"announced again", extra, 2},
	}
	for _, s := range steps {
		f.step(first, s.event)
		f.run(time.Second)
		if got := knownUpstreams(entryMember, first); got != s.want {
			t.Errorf("%s: the entry knows %d upstreams, want %d", s.name, got, s.want)
		}
	}
}

// knownUpstreams returns the number of local upstreams of agent m that an entry
// knows, or -1 if the entry does not know the agent.
func knownUpstreams(entryMember, m *member) int {
	for _, a := range entryMember.entry.Status().Agents {
		if a.Ref == m.ref {
			return len(a.Upstreams)
		}
	}
	return -1
}
