package lesseed

import "sync"

// callQueue executes calls in the order in which they were added, a bounded number at a time. A call
// that waits has no goroutine and no request yet.
type callQueue struct {
	limit int

	mu      sync.Mutex
	active  int
	waiting []func()
}

// add executes a call as soon as fewer than limit are active. It does not block.
func (q *callQueue) add(call func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.active == q.limit {
		q.waiting = append(q.waiting, call)
		return
	}
	q.active++
	go q.execute(call)
}

// execute executes a call and those that wait after it.
func (q *callQueue) execute(call func()) {
	for call != nil {
		call()
		call = q.next()
	}
}

// next removes and returns the call that has waited longest, or nil if none waits.
func (q *callQueue) next() func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.waiting = nil
		q.active--
		return nil
	}
	call := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return call
}
