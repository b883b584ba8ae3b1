package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

const (
	// mintInterval is the time between two replacements of the minted IDs. It is short, so
	// that jobs get recent IDs.
	mintInterval = 100 * time.Millisecond
	// spareIDs is the number of IDs requested beyond the expected use.
	spareIDs = 16
)

// idStore holds job IDs that an entry has minted recently.
type idStore struct {
	client   *client
	balancer *balancer
	// batchSize is the number of IDs that refill requests.
	batchSize int

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

// refill replaces all IDs by a new batch. If no entry answers, the old IDs stay.
func (s *idStore) refill(ctx context.Context) {
	entry, ok := s.balancer.pick(rand.Uint64(), 0)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ids, err := s.client.mint(ctx, entry, s.batchSize)
	if err != nil || len(ids) == 0 {
		return
	}
	s.mu.Lock()
	s.ids = ids
	s.mu.Unlock()
}

// take removes and returns an ID. It reports false if the store is empty.
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
