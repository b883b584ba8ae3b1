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

// subscriber is a request of an entry that waits for a job's answer.
type subscriber struct {
	entry   node.Ref
	request uint64
}

// taskState is the state of a task at the home.
type taskState uint8

const (
	// taskWaiting: the task waits at the home for an executor.
	taskWaiting taskState = iota
	// taskSent: the task was sent, and the executor has not reported that it
	// started.
	taskSent
	// taskStarted: the executor has reported that the task started.
	taskStarted
	taskDone
	taskFailed
	// taskNotRun: the task has not started and never will.
	taskNotRun
	// taskUnknown: the task may have started.
	taskUnknown
)

// task is one task of a record.
type task struct {
	record *record
	index  int
	// group is nil until the first placement of the task.
	group *group
	state taskState
	// link is the executor that the task was sent to, with number seq, at sentAt.
	link   *link
	seq    uint64
	sentAt time.Duration
	// excluded holds the executors that have refused the task since its last
	// readmission. readmitRounds is the number of readmissions scheduled.
	excluded      retry.Excluded
	readmitRounds int
	// refusedTooOften is true when retry.MaxRefusals executors have refused the
	// task since its last readmission.
	refusedTooOften bool
	// retryAfter is the delay that the last refusal asked for.
	retryAfter time.Duration
	// readmitting is true while a timer is set that will clear excluded.
	readmitting bool
	body        []byte
}

// record is the state of one job at its home.
type record struct {
	id      job.ID
	attempt int
	// created is the job's creation time in milliseconds since the Unix epoch.
	created int64
	// digest is the hash of the job's contents, or zero when they are not known
	// because the job was cancelled before it arrived.
	digest   uint64
	deadline time.Duration
	// openedAt is when the tasks of the attempt began to wait.
	openedAt time.Duration
	// job, tasks, trace and subscribers are cleared once the record is final.
	job         *job.Job
	tasks       []task
	trace       string
	subscribers []subscriber
	// unresolved is the number of tasks without a final state.
	unresolved int
	// firstWaiting is an index below which no task is waiting.
	firstWaiting int
	// failure, failureDetail and retryAfter go into the answer of a failed job.
	failure       errkind.Kind
	failureDetail string
	retryAfter    time.Duration
	// settling is true once the job has failed. Until the record is final, the home
	// waits for reports on which tasks have started.
	settling   bool
	inWaitlist bool
	groups     []*group
	// openBytes is the size of the job's contents while its tasks are open.
	openBytes int
	// final is the final answer, or nil while the record is open.
	final *job.Answer
	// resultBytes is the total size of the results that the record holds.
	resultBytes int
	heapIndex   int
}

func (r *record) subscribe(s subscriber) {
	if !slices.Contains(r.subscribers, s) {
		r.subscribers = append(r.subscribers, s)
	}
}

// contentBytes returns the size of the payloads and the labels of a job's tasks.
func contentBytes(j *job.Job) int {
	size := 0
	for i := range j.Tasks {
		size += len(j.Tasks[i].Payload)
		for k, v := range j.Tasks[i].Labels {
			size += len(k) + len(v) + labelBytes
		}
	}
	return size
}

// labelBytes is the memory of a label besides its text.
const labelBytes = 64

// digest hashes the contents that a resubmission must repeat. It never returns
// zero, which stands for contents that are not known.
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

// store holds the records. It limits their age, their number and the total size
// of their results.
type store struct {
	// window is Config.AdmissionWindow in milliseconds.
	window     int64
	maxRecords int
	maxBytes   int
	byID       map[job.ID]*record
	// final orders the final records by creation time.
	final byCreated
	// results lists the final records that hold results, in the order in which
	// they became final. resultBytes is the total size of these results.
	results     []*record
	resultBytes int
	// openCount is the number of records that are not final, and openBytes the total size of the
	// contents of their jobs.
	openCount, openBytes int
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
	s.openCount++
}

// open registers the contents of a job whose tasks may wait.
func (s *store) open(r *record) {
	r.openBytes = contentBytes(r.job)
	s.openBytes += r.openBytes
}

// addFinal registers a record that has become final, and drops old results and
// records above the limits.
func (s *store) addFinal(r *record) {
	s.openCount--
	s.openBytes -= r.openBytes
	r.openBytes = 0
	heap.Push(&s.final, r)
	r.resultBytes = 0
	for _, b := range r.final.Results {
		r.resultBytes += len(b)
	}
	if r.resultBytes > 0 {
		s.results = append(s.results, r)
		s.resultBytes += r.resultBytes
	}
	for s.resultBytes > s.maxBytes {
		s.dropOldestResults()
	}
	for len(s.byID) > s.maxRecords && len(s.final) > 0 {
		s.evictOldest()
	}
}

// reopen unregisters a final record, for the next attempt of its job.
func (s *store) reopen(r *record) {
	heap.Remove(&s.final, r.heapIndex)
	s.openCount++
}

// dropOldestResults drops the results of the record that has held them the longest.
// The answer of that record then states that every task ran.
func (s *store) dropOldestResults() {
	r := s.results[0]
	s.results[0] = nil
	s.results = s.results[1:]
	s.resultBytes -= r.resultBytes
	r.resultBytes = 0
	if r.final == nil {
		return
	}
	r.final = &job.Answer{
		ID: r.id, Attempt: r.attempt, Kind: errkind.OutcomeUnknown,
		Detail: "every task ran, but the results are no longer held", States: job.EqualStates(job.Done, len(r.final.Results)),
	}
}

// evict drops the final records of jobs that are too old to be admitted at wall
// time now (milliseconds).
func (s *store) evict(now int64) {
	for len(s.final) > 0 && now-s.final[0].created > s.window {
		s.evictOldest()
	}
}

// evictOldest drops the final record with the earliest creation time.
func (s *store) evictOldest() {
	r := heap.Pop(&s.final).(*record)
	delete(s.byID, r.id)
	s.evictedThrough = max(s.evictedThrough, r.created)
	if r.resultBytes > 0 {
		s.resultBytes -= r.resultBytes
		r.resultBytes = 0
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
