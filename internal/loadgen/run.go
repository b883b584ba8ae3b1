package loadgen

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Ledger is told what callers were told, to be compared with what started.
type Ledger interface {
	ToldNotRun(id job.ID, attempt int)
	ToldTaskNotRun(id job.ID, attempt, index int)
}

// Target is the system that jobs are sent to.
type Target struct {
	// Entries returns the HTTP host:port of each entry.
	Entries func() []string
	// ClientDelay is the one-way delay of the link to an entry.
	ClientDelay time.Duration
	Ledger      Ledger
}

// settle is how long the client waits for an answer past the job's deadline.
const settle = 3 * time.Second

// Run sends the jobs of a plan and returns once every one has its outcome, or
// early when ctx ends.
func Run(ctx context.Context, target Target, plan []Arrival) Result {
	g := newGenerator(target, plan)
	background, cancel := context.WithCancel(ctx)
	var helpers sync.WaitGroup
	helpers.Go(func() { g.balancer.run(background) })
	helpers.Go(func() { g.ids.run(background) })
	g.ids.refill(ctx)

	start := time.Now()
	var jobs sync.WaitGroup
	for i := range plan {
		if !sleep(ctx, time.Until(start.Add(plan[i].At))) {
			break
		}
		jobs.Go(func() { g.run(ctx, start, &plan[i]) })
	}
	jobs.Wait()
	cancel()
	helpers.Wait()
	g.client.close()
	return g.recorder.result
}

// generator holds what the jobs of a run share.
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
	g.ids = &idStore{client: g.client, balancer: g.balancer, batch: mintSpare}
	if len(plan) > 0 {
		span := plan[len(plan)-1].At
		perInterval := float64(len(plan)) * float64(mintInterval) / float64(span+1)
		g.ids.batch += int(2 * perInterval)
	}
	return g
}
