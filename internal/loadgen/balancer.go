package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// readinessInterval is the time between two readiness checks of all entries.
	readinessInterval = 50 * time.Millisecond
	// readinessTimeout bounds one readiness check.
	readinessTimeout = time.Second
)

// balancer is a stand-in for the platform's load balancer. It selects among the
// entries that passed their last readiness check.
type balancer struct {
	entries func() []string
	http    *http.Client

	mu    sync.Mutex
	ready []string
}

func newBalancer(entries func() []string) *balancer {
	return &balancer{
		entries: entries,
		http:    &http.Client{Transport: &http.Transport{}, Timeout: readinessTimeout},
		ready:   entries(),
	}
}

// run checks the readiness of the entries until ctx ends.
func (b *balancer) run(ctx context.Context) {
	defer b.http.CloseIdleConnections()
	for {
		b.checkReadiness(ctx)
		if !sleep(ctx, readinessInterval) {
			return
		}
	}
}

// checkReadiness checks all entries once and replaces the list of ready ones.
func (b *balancer) checkReadiness(ctx context.Context) {
	entries := b.entries()
	ok := make([]bool, len(entries))
	var wait sync.WaitGroup
	for i, addr := range entries {
		wait.Go(func() { ok[i] = b.isReady(ctx, addr) })
	}
	wait.Wait()
	var ready []string
	for i, addr := range entries {
		if ok[i] {
			ready = append(ready, addr)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *balancer) isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the entry for the n-th submission of a job, counted from zero. firstEntry
// is the job's Arrival.FirstEntry. pick reports false if no entry is ready.
func (b *balancer) pick(firstEntry uint64, n int) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[(firstEntry+uint64(n))%uint64(len(b.ready))], true
}
