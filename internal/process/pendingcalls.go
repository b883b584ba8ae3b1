package process

import "sync"

// PendingCalls holds the calls that wait for an answer of type T from the core. The zero
// value is ready for use. It is safe for concurrent use.
type PendingCalls[T any] struct {
	mu       sync.Mutex
	lastCall uint64
	pending  map[uint64]chan T
}

// Add adds a call. It returns the number of the call and the channel on which its
// answer arrives.
func (c *PendingCalls[T]) Add() (uint64, <-chan T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[uint64]chan T)
	}
	c.lastCall++
	ch := make(chan T, 1)
	c.pending[c.lastCall] = ch
	return c.lastCall, ch
}

// Answer sends r to the caller that waits for the call, unless the call was removed.
func (c *PendingCalls[T]) Answer(call uint64, r T) {
	c.mu.Lock()
	ch, ok := c.pending[call]
	delete(c.pending, call)
	c.mu.Unlock()
	if ok {
		ch <- r
	}
}

// Remove removes a call whose answer is no longer needed.
func (c *PendingCalls[T]) Remove(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, call)
}

// Count returns the number of calls that wait for an answer.
func (c *PendingCalls[T]) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}
