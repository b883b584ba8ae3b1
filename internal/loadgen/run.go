package loadgen

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Ledger records what the answers to callers report as not run, in order to compare it
// with the tasks that started.
type Ledger interface {
	RecordNotRun(id job.ID, attempt int)
	RecordTaskNotRun(id job.ID, attempt, index int)
}

// Target is the system under test.
type Target struct {
	// Entries returns the HTTP host:port of each entry.
	Entries func() []string
	// ClientDelay is the simulated one-way delay between the client and an entry.
	ClientDelay time.Duration
	// Ledger receives what the answers report as not run.
	Ledger Ledger
}

// answerGrace is how long the client waits for an answer after the job's deadline.
const answerGrace = 3 * time.Second

// Run sends the jobs of a plan and returns once each job has an outcome. It stops early
// if ctx ends.
func Run(ctx context.Context, target Target, plan []Arrival) Result {
	g := newGenerator(target, plan)
	background, cancel := context.WithCancel(ctx)
	var backgroundTasks sync.WaitGroup
	backgroundTasks.Go(func() { g.balancer.run(background) })
	backgroundTasks.Go(func() { g.ids.run(background) })
	g.ids.refill(ctx)

	start := time.Now()
	var jobs sync.WaitGroup
	for i := range plan {
		if !sleep(ctx, time.Until(start.Add(plan[i].At))) {
			break
		}
		jobs.Go(func() { g.runJob(ctx, start, &plan[i]) })
	}
	jobs.Wait()
	cancel()
	backgroundTasks.Wait()
	g.client.close()
	return g.recorder.result
}

// generator holds the state that all jobs of a run share.
type generator struct {
	target   Target
	client   *client
	balancer *balancer
	ids      *idStore
	recorder recorder
}

func newGenerator(target Target, plan []Arrival) *generator {
	g := &generator{target: target, client: newClient(target.ClientDelay)}
	g.balancer = newBalancer(target.Entries)
	g.ids = &idStore{client: g.client, balancer: g.balancer, batchSize: spareIDs}
	if len(plan) > 0 {
		span := plan[len(plan)-1].At
		// The batch covers twice the mean number of arrivals in a mintInterval.
		perInterval := float64(len(plan)) * float64(mintInterval) / float64(span+1)
		g.ids.batchSize += int(2 * perInterval)
	}
	return g
}
