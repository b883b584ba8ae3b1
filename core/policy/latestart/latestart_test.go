package latestart

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

func hold(job string, offer uint64, released bool) Hold {
	return Hold{
		Key:   Key{Job: job, Agent: node.Ref{ID: "a", Incarnation: 1}, Dispatcher: node.Ref{ID: "d", Incarnation: 1}},
		Offer: offer, Released: released, ExpiresAt: time.Second,
	}
}

// TestOrderOfUpdates guards against a job that is held until its hold expires, since the message
// about the beginning of the hold is received after that about its end, and against one that is not
// held since an earlier hold of it was released.
func TestOrderOfUpdates(t *testing.T) {
	for name, tt := range map[string]struct {
		updates []Hold
		held    bool
	}{
		"held":                       {[]Hold{hold("j", 1, false)}, true},
		"released":                   {[]Hold{hold("j", 1, false), hold("j", 1, true)}, false},
		"released before":            {[]Hold{hold("j", 1, true), hold("j", 1, false)}, false},
		"held again":                 {[]Hold{hold("j", 1, false), hold("j", 1, true), hold("j", 2, false)}, true},
		"an older one is released":   {[]Hold{hold("j", 2, false), hold("j", 1, true)}, true},
		"another job is released":    {[]Hold{hold("j", 1, false), hold("k", 1, true)}, true},
		"said twice":                 {[]Hold{hold("j", 1, false), hold("j", 1, false), hold("j", 1, true)}, false},
		"a newer one, then an older": {[]Hold{hold("j", 2, true), hold("j", 1, false)}, false},
	} {
		var m Memory
		for _, h := range tt.updates {
			m.Update(0, h)
		}
		if got := m.Held(0, "j"); got != tt.held {
			t.Errorf("%s: job held: %t, want %t", name, got, tt.held)
		}
		if m.Held(time.Second+expiryPrecision+1, "j") || len(m.Holds(time.Second+expiryPrecision+1)) != 0 {
			t.Errorf("%s: held after the hold has expired", name)
		}
	}
}

// TestMemoryIsBounded guards against a memory that grows with the jobs of a lost failure domain,
// and against holds that are forgotten without a trace.
func TestMemoryIsBounded(t *testing.T) {
	var m Memory
	for i := range MaxHolds {
		m.Update(0, hold(fmt.Sprint(i), 1, false))
	}
	changed, forgotten := m.Update(0, hold("last", 1, false))
	if !changed || forgotten == nil || forgotten.Job != "0" || m.Held(0, "0") || !m.Held(0, "last") || m.Len() != MaxHolds {
		t.Errorf("changed %t, forgotten %+v, %d jobs; want the oldest forgotten and %d jobs", changed, forgotten, m.Len(), MaxHolds)
	}
	if got := len(m.Of(0, node.Ref{ID: "a", Incarnation: 2})); got != 0 {
		t.Errorf("got %d holds that wait for another incarnation, want none", got)
	}
}
