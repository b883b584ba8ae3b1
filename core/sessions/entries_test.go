package sessions

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

const (
	// teamQuota is the quota of the test's team in task starts per second.
	teamQuota = 40
	// measureTime is how long measureAdmitted submits jobs.
	measureTime = 4 * time.Second
	// evictionTime is long enough for all processes to apply an eviction or a
	// join.
	evictionTime = 5 * time.Second
	// maxEvictions is the number of agents that watch one entry. Each of them
	// appends an eviction at most once per evictionPause.
	maxEvictions  = 3
	evictionPause = 2 * time.Second
)

// setQuota publishes the quota of the team whose jobs newJob makes.
func (c *cluster) setQuota() {
	team := config.Team{Name: "records", Quota: teamQuota}
	c.publish(control.EncodeChange(control.Change{
		ID: "quota", From: -1, Author: "operator", Edits: []config.Edit{{Put: &config.Object{Team: &team}}},
	}))
}

// measureAdmitted submits single-task jobs to an entry, more than the quota
// allows, and returns how many completed.
func (c *cluster) measureAdmitted(e *process) int {
	n := 0
	for range measureTime / (10 * time.Millisecond) {
		c.submit(e, c.newJob("", 1), func(r entry.Reply) {
			if r.Answer.Complete() {
				n++
			}
		})
		c.run(10 * time.Millisecond)
	}
	c.run(time.Second)
	return n
}

// checkAdmitted checks that got is the number of jobs that share, in jobs per
// second, allows in measureTime, or at most one second's worth more.
func checkAdmitted(t *testing.T, got, share int) {
	t.Helper()
	least := share * int(measureTime/time.Second)
	if got < least || got > least+share {
		t.Errorf("got %d admitted jobs in %v, want %d to %d", got, measureTime, least, least+share)
	}
}

// TestDeadEntryIsEvicted guards against a team losing part of its quota when an
// entry dies. The agents must evict the dead entry, also when the log is down at
// that time, so that its share goes to the other entry. They must not append many
// evictions.
func TestDeadEntryIsEvicted(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Minute} {
		c := newCluster(1, steady, 6, 8)
		c.setQuota()
		c.run(time.Second)
		checkAdmitted(t, c.measureAdmitted(c.e2), teamQuota/2)
		c.cond.logDown = true
		c.kill(c.e1)
		c.run(outage)
		c.cond.logDown = false
		before := len(c.log)
		c.run(evictionTime)
		checkAdmitted(t, c.measureAdmitted(c.e2), teamQuota)
		if n := len(c.log) - before; n < 1 || n > maxEvictions {
			t.Errorf("got %d records appended after the entry died, want 1 to 3", n)
		}
		if most := maxEvictions * int(outage/evictionPause+1); c.evictions > most {
			t.Errorf("got %d requests to append an eviction during an outage of %v, want at most %d", c.evictions, outage, most)
		}
		c.addEntry("e1")
		c.run(evictionTime)
		checkAdmitted(t, c.measureAdmitted(c.e2), teamQuota/2)
	}
}

// TestLivingEntryJoinsAgain notifies all agents several times that a live entry is
// dead. The entry is evicted and must join again. The further notifications must
// not evict it a second time, or evictions and joins would alternate in the log.
func TestLivingEntryJoinsAgain(t *testing.T) {
	c := newCluster(1, steady, 6, 8)
	before := len(c.log)
	evicted := false
	for range 4 {
		for _, p := range c.agents {
			c.deliver(p, func() { c.step(p, step.PeerDead{Ref: c.e1.ref}) })
		}
		for range evictionTime / (10 * time.Millisecond) {
			c.run(10 * time.Millisecond)
			evicted = evicted || len(c.e2.entry.Status().Entries) == 1
		}
		if n := len(c.e2.entry.Status().Entries); n != 2 {
			t.Errorf("got %d entries that share the quotas, want 2", n)
		}
	}
	if !evicted {
		t.Error("the entry was never evicted")
	}
	if n := len(c.log) - before; n > maxEvictions+1 {
		t.Errorf("got %d records appended, want at most 3 evictions and 1 join", n)
	}
}
