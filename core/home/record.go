package home

import (
	"container/heap"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/retry"
)

// subscriber is one request that waits for a job's answer.
type subscriber struct {
	entry   node.Ref
	request uint64
}

// taskState is the state of a task at the home.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskSent
	taskStarted
	taskDone
	taskFailed
	taskNotRun
	taskUnknown
)

// task is one task of a record.
type task struct {
	record *record
	index  int
	// group is nil until the task is first looked at.
	group  *group
	state  taskState
	link   *link
	seq    uint64
	sentAt time.Duration
	// excluded holds the executors that have refused the task, rounds the
	// number of times that it was offered to all again.
	excluded retry.Excluded
	rounds   int
	// exhausted is true after too many refusals in one round.
	exhausted bool
	// retryAfter is the pause that the last refusal asked for.
	retryAfter time.Duration
	// readmitting is true while a timer will clear excluded.
	readmitting bool
	body        []byte
}

// record is what the home holds of one job.
type record struct {
	id       job.ID
	attempt  int
	created  int64
	digest   uint64
	deadline time.Duration
	// openedAt is when the tasks of the attempt began to wait.
	openedAt time.Duration
	// job, tasks, trace and subscribers are dropped once the record is final.
	job         *job.Job
	tasks       []task
	trace       string
	subscribers []subscriber
	// left is the number of tasks whose outcome is open.
	left int
	// next is the index below which no task is waiting.
	next       int
	failing    errkind.Kind
	detail     string
	retryAfter time.Duration
	settling   bool
	inWaitlist bool
	groups     []*group
	final      *job.Answer
	// bytes is the size of the results held.
	bytes     int
	heapIndex int
}

func (r *record) subscribe(s subscriber) {
	if !slices.Contains(r.subscribers, s) {
		r.subscribers = append(r.subscribers, s)
	}
}

// digest hashes the contents that a resubmission must repeat. It never
// returns zero.
func digest(j *job.Job) uint64 {
	h := xxhash.New()
	writeString(h, j.Team)
	writeString(h, string(j.Class))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		for _, k := range slices.Sorted(maps.Keys(t.Labels)) {
			writeString(h, k)
			writeString(h, t.Labels[k])
		}
		writeString(h, "")
		writeLen(h, len(t.Payload))
		_, _ = h.Write(t.Payload)
	}
	return h.Sum64() | 1
}

func writeLen(h *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}

func writeString(h *xxhash.Digest, s string) {
	writeLen(h, len(s))
	_, _ = h.WriteString(s)
}

// store holds the records, bounded in time, number and result bytes.
type store struct {
	window     int64
	maxRecords int
	maxBytes   int
	byID       map[job.ID]*record
	// final orders the final records by creation time.
	final byCreated
	// results lists the final records that hold results, oldest first.
	results []*record
	bytes   int
	open    int
	// evictedThrough is the latest creation time of an evicted record.
	evictedThrough int64
}

func newStore(window time.Duration, maxRecords, maxBytes int) store {
	return store{
		window:     window.Milliseconds(),
		maxRecords: maxRecords,
		maxBytes:   maxBytes,
		byID:       make(map[job.ID]*record),
	}
}

func (s *store) len() int { return len(s.byID) }

func (s *store) get(id job.ID) (*record, bool) {
	r, ok := s.byID[id]
	return r, ok
}

func (s *store) add(r *record) {
	s.byID[r.id] = r
	s.open++
}

// finish files a record that has become final.
func (s *store) finish(r *record) {
	s.open--
	heap.Push(&s.final, r)
	r.bytes = 0
	for _, b := range r.final.Results {
		r.bytes += len(b)
	}
	if r.bytes > 0 {
		s.results = append(s.results, r)
		s.bytes += r.bytes
	}
	for s.bytes > s.maxBytes {
		s.dropOldestResults()
	}
	for len(s.byID) > s.maxRecords && len(s.final) > 0 {
		s.evictOldest()
	}
}

// reopen takes a final record back for its next attempt.
func (s *store) reopen(r *record) {
	heap.Remove(&s.final, r.heapIndex)
	s.open++
}

// dropOldestResults replaces the oldest held results by a statement that the
// job was complete.
func (s *store) dropOldestResults() {
	r := s.results[0]
	s.results[0] = nil
	s.results = s.results[1:]
	s.bytes -= r.bytes
	r.bytes = 0
	if r.final == nil {
		return
	}
	states := make([]job.TaskState, len(r.final.Results))
	for i := range states {
		states[i] = job.Done
	}
	r.final = &job.Answer{
		ID: r.id, Attempt: r.attempt, Kind: errkind.OutcomeUnknown,
		Detail: "every task ran, but the results are no longer held", States: states,
	}
}

// evict drops the records whose admission window has passed at wall time now.
func (s *store) evict(now int64) {
	for len(s.final) > 0 && now-s.final[0].created > s.window {
		s.evictOldest()
	}
}

func (s *store) evictOldest() {
	r := heap.Pop(&s.final).(*record)
	delete(s.byID, r.id)
	s.evictedThrough = max(s.evictedThrough, r.created)
	if r.bytes > 0 {
		s.bytes -= r.bytes
		r.bytes = 0
		i := slices.Index(s.results, r)
		s.results = slices.Delete(s.results, i, i+1)
	}
}

// byCreated is a heap of final records, oldest creation time first.
type byCreated []*record

func (h byCreated) Len() int           { return len(h) }
func (h byCreated) Less(i, j int) bool { return h[i].created < h[j].created }

func (h byCreated) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *byCreated) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

func (h *byCreated) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
