package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// bytesPerSecond bounds the control traffic of a node in each direction.
const bytesPerSecond = 19_000

// TestControlTraffic checks the traffic of an idle fleet before and during an
// outage of the log, and that every agent may start tasks all the while.
func TestControlTraffic(t *testing.T) {
	for _, agents := range []int{11, 120} {
		t.Run(fmt.Sprintf("agents=%d", agents), func(t *testing.T) {
			f := newFleet(agents, entriesFor(agents))
			f.run(3 * time.Second)
			checkTraffic(t, f, agents, 4)
			f.logDown = true
			checkTraffic(t, f, agents, 6)
		})
	}
}

func checkTraffic(t *testing.T, f *fleet, agents, seconds int) {
	t.Helper()
	for _, m := range f.members {
		m.sent, m.got = traffic{}, traffic{}
	}
	const step = 250 * time.Millisecond
	for range time.Duration(seconds) * time.Second / step {
		f.run(step)
		for _, m := range f.members[:agents] {
			if m.agent.Status().LeaseLeft <= 0 {
				t.Fatalf("%s may not start tasks at %s; log down: %t", m.ref, f.now, f.logDown)
			}
		}
	}
	for _, m := range f.members {
		if out, in := m.sent.bytes/seconds, m.got.bytes/seconds; max(out, in) > bytesPerSecond {
			t.Errorf("%s sent %d B/s and got %d B/s; log down: %t", m.ref, out, in, f.logDown)
		}
	}
}

// TestUpstreamChangesSpread checks that entries follow the upstreams beside an
// agent although answers leave out an unchanged list.
func TestUpstreamChangesSpread(t *testing.T) {
	f := newFleet(11, 1)
	f.run(3 * time.Second)
	first, via := f.members[0], f.members[11]
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
		if got := upstreamsAt(via, first); got != s.want {
			t.Errorf("%s: the entry knows %d upstreams, want %d", s.name, got, s.want)
		}
	}
}

// upstreamsAt returns the number of upstreams that an entry knows beside an agent.
func upstreamsAt(via, m *member) int {
	for _, a := range via.entry.Status().Agents {
		if a.Ref == m.ref {
			return len(a.Upstreams)
		}
	}
	return -1
}
