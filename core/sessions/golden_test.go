package sessions

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

// steady has no faults, and constant network delays and service times.
var steady = conditions{delay: time.Millisecond, service: 100 * time.Millisecond}

// cluster is a world with agents a1, a2, ... in the failure domains d1 to d3, and
// the entries e1 and e2.
type cluster struct {
	*world
	agents []*process
	e1, e2 *process
}

// newCluster starts a cluster and runs it for 12 s, in which all processes join.
func newCluster(seed uint64, cond conditions, agents, slots int) *cluster {
	w := newWorld(seed, cond)
	c := &cluster{world: w}
	for i := range agents {
		c.agents = append(c.agents, w.addAgent(node.ID(fmt.Sprintf("a%d", i+1)), fmt.Sprintf("d%d", i%3+1), slots))
	}
	c.e1 = w.addEntry("e1")
	c.e2 = w.addEntry("e2")
	w.run(12 * time.Second)
	return c
}

// newJob returns a job with the given number of tasks. An empty ID lets the entry
// mint one.
func (c *cluster) newJob(id job.ID, tasks int) job.Job {
	j := job.Job{ID: id, Team: "records", Class: job.Urgent, Timeout: 3 * time.Second}
	j.Created = wallStart + c.now.Milliseconds()
	for i := range tasks {
		j.Tasks = append(j.Tasks, job.Task{Payload: fmt.Appendf(nil, "p%d", i)})
	}
	return j
}

// homeOf returns the agent that a minted ID names as its home.
func (c *cluster) homeOf(id job.ID) *process {
	m, _ := id.Minted()
	return c.byRef[m.Home]
}

// mintFor returns a minted ID whose home is p.
func (c *cluster) mintFor(p *process) job.ID {
	for _, id := range c.mint(c.e1, len(c.agents)) {
		if c.homeOf(id) == p {
			return id
		}
	}
	panic("no ID was minted for " + string(p.ref.ID))
}

// ownedBy returns an unminted ID that hashing places on owner rather than on any
// of the others.
func ownedBy(owner node.ID, others ...node.ID) job.ID {
	for i := 0; ; i++ {
		id := fmt.Sprintf("order-%d", i)
		first := true
		for _, other := range others {
			first = first && rendezvous.RanksAbove(id, owner, other)
		}
		if first {
			return job.ID(id)
		}
	}
}

var sessions = []struct {
	name string
	run  func(c *cluster)
}{
	{"one_task", func(c *cluster) {
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 1), nil)
		c.run(time.Second)
	}},
	{"parallel_job", func(c *cluster) {
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 4), nil)
		c.run(time.Second)
	}},
	{"resubmission_by_another_entry", func(c *cluster) {
		j := c.newJob(c.mintFor(c.agents[0]), 2)
		c.submit(c.e1, j, nil)
		c.run(50 * time.Millisecond)
		c.submit(c.e2, j, nil)
		c.run(time.Second)
		c.submit(c.e2, j, nil)
		c.run(time.Second)
	}},
	{"entry_killed", func(c *cluster) {
		j := c.newJob(c.mintFor(c.agents[0]), 1)
		c.submit(c.e1, j, nil)
		c.run(50 * time.Millisecond)
		c.kill(c.e1)
		c.submit(c.e2, j, nil)
		c.run(time.Second)
	}},
	{"home_killed", func(c *cluster) {
		j := c.newJob(c.mintFor(c.agents[0]), 2)
		c.submit(c.e1, j, nil)
		c.run(50 * time.Millisecond)
		c.restart(c.agents[0])
		c.submit(c.e2, j, nil)
		c.run(4 * time.Second)
	}},
	{"executor_killed", func(c *cluster) {
		j := c.newJob(c.mintFor(c.agents[0]), 4)
		c.submit(c.e1, j, nil)
		c.run(50 * time.Millisecond)
		c.restart(c.agents[1])
		c.restart(c.agents[2])
		c.run(4 * time.Second)
	}},
	{"home_paused_then_resumed", func(c *cluster) {
		j := c.newJob(c.mintFor(c.agents[0]), 1)
		c.pause(c.agents[0])
		c.submit(c.e1, j, nil)
		c.run(4 * time.Second)
		c.resume(c.agents[0])
		c.submit(c.e2, j, nil)
		c.run(time.Second)
		c.submit(c.e2, j, nil)
		c.run(2 * time.Second)
	}},
	{"crossed_answers", func(c *cluster) {
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 1), nil)
		c.cond.service = 20 * time.Millisecond
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 1), nil)
		c.run(time.Second)
	}},
	{"cancellation", func(c *cluster) {
		id := c.mintFor(c.agents[0])
		c.submit(c.e1, c.newJob(id, 9), nil)
		c.run(50 * time.Millisecond)
		c.cancel(c.e2, id)
		c.run(time.Second)
	}},
	{"cancellation_overtakes_submission", func(c *cluster) {
		id := c.mintFor(c.agents[0])
		c.cancel(c.e2, id)
		c.run(10 * time.Millisecond)
		c.submit(c.e1, c.newJob(id, 1), nil)
		c.run(time.Second)
	}},
	{"log_down", func(c *cluster) {
		c.cond.logDown = true
		c.trace("the log is down")
		c.run(10 * time.Second)
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 4), nil)
		c.run(time.Second)
	}},
	{"deadline", func(c *cluster) {
		c.cond.service = 5 * time.Second
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 8), nil)
		c.run(6 * time.Second)
	}},
	{"worker_throttles", func(c *cluster) {
		c.cond.service = 500 * time.Millisecond
		c.setSlots(c.agents[0], 1)
		c.setSlots(c.agents[1], 0)
		c.setSlots(c.agents[2], 0)
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[1]), 3), nil)
		c.run(700 * time.Millisecond)
		c.setSlots(c.agents[0], 0)
		c.run(time.Second)
		c.setSlots(c.agents[1], 2)
		c.run(time.Second)
	}},
	{"own_id", func(c *cluster) {
		j := c.newJob("order-17", 1)
		c.submit(c.e1, j, nil)
		c.run(time.Second)
		c.submit(c.e2, j, nil)
		c.run(time.Second)
	}},
	{"leaving_agent", func(c *cluster) {
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 1), nil)
		c.run(20 * time.Millisecond)
		c.drain(c.agents[0])
		c.run(8 * time.Second)
	}},
	{"resubmission_after_leaving", func(c *cluster) {
		j := c.newJob(c.mintFor(c.agents[0]), 1)
		c.submit(c.e1, j, nil)
		c.drain(c.agents[0])
		c.run(time.Second)
		c.submit(c.e2, j, nil)
		c.run(8 * time.Second)
		c.submit(c.e2, j, nil)
		c.run(time.Second)
	}},
	{"home_of_own_id_changes", func(c *cluster) {
		id := ownedBy("b1", "a1", "a2", "a3")
		j := c.newJob(id, 1)
		c.submit(c.e1, j, nil)
		c.run(time.Second)
		c.addAgent("b1", "d1", 2)
		c.run(4 * time.Second)
		c.submit(c.e2, j, nil)
		c.submit(c.e2, c.newJob(id+"-b", 1), nil)
		c.run(4 * time.Second)
		c.submit(c.e2, j, nil)
		c.submit(c.e2, c.newJob(ownedBy("b1", "a1", "a2", "a3")+"-c", 1), nil)
		c.run(time.Second)
	}},
	{"only_upstream_restarts", func(c *cluster) {
		c.withdraw(c.agents[0])
		c.withdraw(c.agents[1])
		c.run(15 * time.Second)
		c.withdraw(c.agents[2])
		c.run(6 * time.Second)
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 1), nil)
		c.run(time.Second)
		c.agents[2].withdrawn = false
		c.run(4 * time.Second)
		c.withdraw(c.agents[2])
		c.run(15 * time.Second)
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 1), nil)
		c.run(time.Second)
	}},
	{"rolling_restart_own_ids", func(c *cluster) {
		for i, p := range c.agents {
			c.drain(p)
			for n := range 8 {
				c.submit(c.e1, c.newJob(job.ID(fmt.Sprintf("order-%d-%d", i, n)), 1), nil)
				c.run(900 * time.Millisecond)
			}
			c.restart(p)
			c.run(200 * time.Millisecond)
		}
	}},
}

// TestGolden runs whole sessions and compares every message about a job with a
// golden file.
func TestGolden(t *testing.T) {
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			c := newCluster(1, steady, 3, 2)
			r := c.record()
			s.run(c)
			compareGolden(t, s.name, r.lines.String())
		})
	}
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the session differs from %s; got:\n%s", path, got)
	}
}
