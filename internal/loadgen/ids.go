package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

const (
	// mintInterval is how often the store of minted IDs is replaced.
	mintInterval = 100 * time.Millisecond
	// mintSpare is how many IDs are asked for beyond the expected use.
	mintSpare = 16
)

// idStore holds a few fresh minted IDs.
type idStore struct {
	client   *client
	balancer *balancer
	batch    int

	mu  sync.Mutex
	ids []job.ID
}

// run keeps the store filled until ctx ends.
func (s *idStore) run(ctx context.Context) {
	for {
		s.refill(ctx)
		if !sleep(ctx, mintInterval) {
			return
		}
	}
}

func (s *idStore) refill(ctx context.Context) {
	entry, ok := s.balancer.pick(rand.Uint64(), 0)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ids, err := s.client.mint(ctx, entry, s.batch)
	if err != nil || len(ids) == 0 {
		return
	}
	s.mu.Lock()
	s.ids = ids
	s.mu.Unlock()
}

// take returns an ID, or reports false when the store is empty.
func (s *idStore) take() (job.ID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ids) == 0 {
		return "", false
	}
	id := s.ids[0]
	s.ids = s.ids[1:]
	return id, true
}
