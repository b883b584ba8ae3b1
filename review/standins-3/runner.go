package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a runner grants (holdMaxMs).
	maxHold = 1000 * time.Millisecond
	// sweepInterval is how often a runner looks for runs that have ended.
	sweepInterval = time.Millisecond
	// beatInterval is the pause between two heartbeats of a runner (heartbeatMs).
	beatInterval = 1500 * time.Millisecond
)

// runner is a stand-in for a runner, as the protocol page describes it.
type runner struct {
	id, service, zone string
	// label is the runner's kind.
	label         string
	cpu           int
	addr, control string
	log           *record

	mu sync.Mutex
	// up is set between a start and a crash. born is the Unix millisecond of the start as the
	// runner states it, and startedAt the origin of its steady clock.
	up        bool
	born      int64
	startedAt time.Time
	seq       int64
	token     int64
	// leaseUntil is on the runner's clock.
	leaseUntil time.Duration
	running    map[string]*run
	// highest holds the highest run of each task that was stopped or has ended here.
	highest map[string]int
	ended   [][]any
	lastEnd int64
	server  *http.Server
	// lateStart is set while the next start is to be left unanswered and carried out late. late is
	// that start.
	lateStart bool
	late      *lateCall
	// onStart is called, unless it is nil, when a run has started.
	onStart func(task string)
	// changed is closed when a run ends or the runner crashes.
	changed chan struct{}
}

// run is a run at work.
type run struct {
	number    int
	spec      string
	startedAt time.Duration
	work      time.Duration
}

// lateCall is a call that got no answer.
type lateCall struct {
	request *http.Request
	body    call
}

// call is the body of every call to a runner.
type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	SeenUpto     int64  `json:"seenUpto"`
	WaitMs       int64  `json:"waitMs"`
}

// answer is the body of every answer of a runner.
type answer struct {
	ClockMs int64   `json:"clockMs"`
	Born    int64   `json:"born,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// start begins an incarnation: the runner knows nothing of before.
func (r *runner) start(born time.Time) error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up, r.born, r.startedAt, r.seq, r.token, r.leaseUntil = true, born.UnixMilli(), time.Now(), 0, 0, 0
	r.running, r.highest, r.ended, r.lastEnd = map[string]*run{}, map[string]int{}, nil, 0
	r.changed = make(chan struct{})
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	r.log.event("runner %s starts, born %d", r.id, r.born)
	return nil
}

// crash ends the incarnation and all its runs.
func (r *runner) crash() {
	r.mu.Lock()
	for task, x := range r.running {
		r.log.ended(r.id, task, x.number, "crashed")
	}
	r.up = false
	clear(r.running)
	close(r.changed)
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	r.log.event("runner %s crashes", r.id)
}

// work ends the runs that are done or whose lease has lapsed, and sends heartbeats, until ctx ends.
func (r *runner) work(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			r.mu.Lock()
			r.sweepLocked()
			r.mu.Unlock()
		}
	}
}

func (r *runner) clock() time.Duration { return time.Since(r.startedAt) }

func (r *runner) sweepLocked() {
	if !r.up {
		return
	}
	now := r.clock()
	for task, x := range r.running {
		switch {
		case x.startedAt+x.work <= min(now, r.leaseUntil):
			r.endLocked(task, "done")
		case now >= r.leaseUntil:
			r.endLocked(task, "lapsed")
		}
	}
}

func (r *runner) endLocked(task, how string) {
	x := r.running[task]
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], x.number)
	r.lastEnd++
	r.ended = append(r.ended, []any{r.lastEnd, task, x.number, how, ""})
	r.log.ended(r.id, task, x.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the agent.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	var c call
	if json.Unmarshal(raw, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.leavesUnanswered(q, &c) {
		<-q.Context().Done()
		return
	}
	status, a, waitFor := r.execute(q, &c)
	if waitFor != nil && c.WaitMs > 0 {
		select {
		case <-waitFor:
		case <-q.Context().Done():
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		}
		r.mu.Lock()
		if !r.up {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		r.sweepLocked()
		a = r.listsLocked()
		r.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

// leavesUnanswered reports whether a call is a start that gets no answer, and keeps it.
func (r *runner) leavesUnanswered(q *http.Request, c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lateStart || q.URL.Path != "/v1/run-start" {
		return false
	}
	r.lateStart = false
	r.late = &lateCall{request: q, body: *c}
	r.log.event("runner %s leaves the start of %s run %d unanswered", r.id, c.Task, c.Run)
	return true
}

// carryOutLate executes the call that got no answer. It is lost if the runner is down.
func (r *runner) carryOutLate() {
	r.mu.Lock()
	x, up := r.late, r.up
	r.mu.Unlock()
	if x == nil || !up {
		r.log.event("runner %s is down, or has no call to carry out late", r.id)
		return
	}
	status, a, _ := r.execute(x.request, &x.body)
	r.log.event("runner %s carries out the start of %s run %d late: status %d %s", r.id, x.body.Task, x.body.Run, status, a.Reason)
}

// execute executes a call. A hold without ends returns the channel that is closed at the next end.
func (r *runner) execute(q *http.Request, c *call) (int, answer, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		panic(http.ErrAbortHandler)
	}
	r.sweepLocked()
	a := answer{ClockMs: r.clock().Milliseconds()}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		return http.StatusMisdirectedRequest, a, nil
	}
	if c.FencingToken < r.token {
		a.Reason = "fence"
		return http.StatusConflict, a, nil
	}
	r.token = c.FencingToken
	switch q.URL.Path {
	case "/v1/run-start":
		a.Reason = r.startRunLocked(c)
		if a.Reason != "" {
			return http.StatusConflict, a, nil
		}
		return http.StatusOK, a, nil
	case "/v1/run-stop":
		if x, ok := r.running[c.Task]; ok && x.number <= c.Run {
			r.endLocked(c.Task, "stopped")
		}
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
		return http.StatusOK, a, nil
	case "/v1/hold":
		if c.DeadlineMs > 0 {
			r.extendLocked(c.DeadlineMs)
		}
		for len(r.ended) > 0 && r.ended[0][0].(int64) <= c.SeenUpto {
			r.ended = r.ended[1:]
		}
		if len(r.ended) > 0 {
			return http.StatusOK, r.listsLocked(), nil
		}
		return http.StatusOK, r.listsLocked(), r.changed
	default:
		return http.StatusNotFound, a, nil
	}
}

// startRunLocked starts a run, or returns the reason for which it is refused.
func (r *runner) startRunLocked(c *call) string {
	until := time.Duration(c.DeadlineMs) * time.Millisecond
	if until <= r.clock() {
		return "late"
	}
	r.extendLocked(c.DeadlineMs)
	x, ok := r.running[c.Task]
	switch {
	case ok && x.number == c.Run:
		return ""
	case ok || c.Run <= r.highest[c.Task]:
		return "old"
	}
	work, cpu := parseSpec(c.TaskSpec, c.Task)
	used := 0
	for task, o := range r.running {
		_, n := parseSpec(o.spec, task)
		used += n
	}
	if used+cpu > r.cpu {
		return "room"
	}
	r.running[c.Task] = &run{number: c.Run, spec: c.TaskSpec, startedAt: r.clock(), work: work}
	r.log.started(r.id, c.Task, c.Run)
	if r.onStart != nil {
		go r.onStart(c.Task)
	}
	return ""
}

// extendLocked extends the lease of everything that runs. It never shortens.
func (r *runner) extendLocked(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+maxHold)
	r.leaseUntil = max(r.leaseUntil, until)
}

func (r *runner) listsLocked() answer {
	a := answer{ClockMs: r.clock().Milliseconds(), Born: r.born, Ended: append([][]any{}, r.ended...)}
	for task, x := range r.running {
		percent := int(100 * (r.clock() - x.startedAt) / x.work)
		a.Running = append(a.Running, []any{task, x.number, "", percent, 0})
	}
	return a
}

// beat sends a heartbeat to the agent every beatInterval until ctx ends. After a crash, it sends the
// first one of the next incarnation at once.
func (r *runner) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last, lastBorn := time.Time{}, int64(0)
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		due := r.up && (time.Since(last) >= beatInterval || r.born != lastBorn)
		if !due {
			r.mu.Unlock()
			continue
		}
		r.seq++
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": r.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{r.label, "rack-" + r.zone}, "clockMs": r.clock().Milliseconds(),
			"seq": r.seq, "born": r.born,
		})
		born := r.born
		r.mu.Unlock()
		q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.control+"/v1/instances/"+r.id, strings.NewReader(string(body)))
		if err != nil {
			return
		}
		q.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(q)
		if err != nil {
			continue // The agent does not answer yet.
		}
		_ = resp.Body.Close()
		last, lastBorn = time.Now(), born
	}
}
