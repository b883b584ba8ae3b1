package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// readinessInterval is the time between two readiness checks of an entry.
	readinessInterval = 50 * time.Millisecond
	// readinessTimeout bounds one readiness check.
	readinessTimeout = time.Second
)

// balancer stands for the platform's balancer: it offers the entries that pass
// their readiness check.
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

// run checks the entries until ctx ends.
func (b *balancer) run(ctx context.Context) {
	defer b.http.CloseIdleConnections()
	for {
		b.check(ctx)
		if !sleep(ctx, readinessInterval) {
			return
		}
	}
}

func (b *balancer) check(ctx context.Context) {
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

// pick returns the entry of the n-th try of a job, or reports false when none
// is ready.
func (b *balancer) pick(route uint64, n int) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[(route+uint64(n))%uint64(len(b.ready))], true
}
