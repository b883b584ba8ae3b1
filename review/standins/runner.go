package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatEvery is heartbeatMs of the settings.
	heartbeatEvery = 1500 * time.Millisecond
	// holdMax is holdMaxMs, the longest lease.
	holdMax = time.Second
	// maxEnds is the number of ends that one answer lists at most.
	maxEnds = 500
)

// capacity is the capacity of a runner, or what a task needs of it.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPU   int `json:"gpu"`
}

// runner is a stand-in for a runner. It speaks "Running tasks" and "Service discovery" of the
// users' protocol.
type runner struct {
	world   *world
	id      string
	service string
	zone    string
	addr    string
	control string
	size    capacity
	// stopTakes is how long a stop takes, at most stopMs.
	stopTakes time.Duration
	// mute, if set, decides about each call: true leaves it without an answer, and calls execute
	// when the call is to be executed. It is called without the lock.
	mute func(path string, body callBody, execute func()) bool

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	up       bool
	labels   []string
	born     int64
	bornAt   time.Time
	seq      int64
	token    int64
	lease    time.Duration
	running  map[string]*taskRun
	floor    map[string]int
	ends     [][]any
	lastEnd  int64
	changed  chan struct{}
	// beats holds the connection for the heartbeats of this life, and leaving is set when it is
	// about to end as planned.
	beats   *http.Client
	leaving bool
}

// taskRun is one run of a task on one life of a runner.
type taskRun struct {
	task     string
	run      int
	began    time.Time
	work     time.Duration
	needs    int
	stopping bool
	over     bool
}

// callBody holds the fields of all calls to a runner.
type callBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	SeenUpto     int64  `json:"seenUpto"`
	WaitMs       int64  `json:"waitMs"`
}

// workSpec is the content of taskSpec that the stand-in clients send.
type workSpec struct {
	WorkMs int `json:"workMs"`
	CPU    int `json:"cpu"`
}

type answer map[string]any

// start begins a life of the runner with these labels.
func (r *runner) start(labels ...string) error {
	l, err := listenRetry(r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.up, r.labels, r.listener = true, labels, l
	r.born, r.bornAt = max(time.Now().UnixMilli(), r.born+1), time.Now()
	r.seq, r.token, r.lease, r.lastEnd, r.ends = 0, 0, 0, 0, nil
	r.running, r.floor, r.changed = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
	r.beats, r.leaving = &http.Client{Transport: &http.Transport{}}, false
	r.server = &http.Server{Handler: r}
	born, server := r.born, r.server
	r.mu.Unlock()
	r.world.record("runner %s starts, labels %v", r.id, labels)
	go func() { _ = server.Serve(l) }()
	go r.beat(born)
	return nil
}

// crash ends the life of the runner and all that runs on it.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	for _, t := range r.running {
		r.endLocked(t, "crashed")
	}
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	r.world.record("runner %s has crashed", r.id)
}

func (r *runner) clock() time.Duration { return time.Second + time.Since(r.bornAt) }

// beat sends the heartbeats of one life, the first one at once, until it is leaving.
func (r *runner) beat(born int64) {
	for {
		r.mu.Lock()
		if !r.up || r.born != born || r.leaving {
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		pause := heartbeatEvery
		if !r.tell(http.MethodPut, "ready", time.Second) {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// tell sends one heartbeat, or the last word of a runner that leaves. It reports whether it was
// acknowledged in time.
func (r *runner) tell(method, state string, limit time.Duration) bool {
	r.mu.Lock()
	r.seq++
	body := answer{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": state,
		"capacity": r.size, "labels": r.labels, "clockMs": r.clock().Milliseconds(), "seq": r.seq, "born": r.born,
	}
	beats := r.beats
	r.mu.Unlock()
	raw, _ := json.Marshal(body)
	if method == http.MethodDelete {
		raw = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.control+"/v1/instances/"+r.id, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	resp, err := beats.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// ServeHTTP serves one call.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var body callBody
	raw, err := io.ReadAll(q.Body)
	if err != nil || json.Unmarshal(raw, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	path, instance := q.URL.Path, q.Header.Get("Expect-Instance")
	if r.mute != nil && r.mute(path, body, func() { r.execute(path, instance, body) }) {
		<-q.Context().Done()
		return
	}
	status, a := r.execute(path, instance, body)
	if path == "/v1/hold" && status == http.StatusOK && body.WaitMs > 0 {
		if a = r.await(q, body); a == nil {
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (r *runner) execute(path, instance string, b callBody) (int, answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || instance != r.id {
		return http.StatusMisdirectedRequest, answer{}
	}
	if b.FencingToken < r.token {
		return http.StatusConflict, r.reply("fence")
	}
	r.token = b.FencingToken
	switch path {
	case "/v1/run-start":
		return r.startLocked(b)
	case "/v1/run-stop":
		return r.stopLocked(b)
	case "/v1/hold":
		r.extendLocked(b.DeadlineMs)
		n := 0
		for n < len(r.ends) && r.ends[n][0].(int64) <= b.SeenUpto {
			n++
		}
		r.ends = r.ends[n:]
		return http.StatusOK, r.lists()
	}
	return http.StatusNotFound, answer{}
}

func (r *runner) reply(reason string) answer {
	return answer{"clockMs": r.clock().Milliseconds(), "born": r.born, "reason": reason}
}

func (r *runner) lists() answer {
	rows := [][]any{}
	for _, t := range r.running {
		percent := min(99, int(100*time.Since(t.began)/max(t.work, 1)))
		rows = append(rows, []any{t.task, t.run, "", percent, t.needs})
	}
	return answer{
		"clockMs": r.clock().Milliseconds(), "born": r.born, "running": rows,
		"ended": append([][]any{}, r.ends[:min(len(r.ends), maxEnds)]...),
	}
}

// extendLocked extends the lease, and ends everything when it lapses.
func (r *runner) extendLocked(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+holdMax)
	if until <= r.lease {
		return
	}
	r.lease = until
	born := r.born
	time.AfterFunc(until-r.clock(), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born != born || !r.up || r.lease > until {
			return
		}
		for _, t := range r.running {
			r.endLocked(t, "lapsed")
		}
	})
}

func (r *runner) startLocked(b callBody) (int, answer) {
	var spec workSpec
	if json.Unmarshal([]byte(b.TaskSpec), &spec) != nil {
		return http.StatusBadRequest, r.reply("")
	}
	if time.Duration(b.DeadlineMs)*time.Millisecond <= r.clock() {
		return http.StatusConflict, r.reply("late")
	}
	r.extendLocked(b.DeadlineMs)
	if t := r.running[b.Task]; t != nil && t.run == b.Run {
		return http.StatusOK, r.reply("")
	}
	if r.running[b.Task] != nil || b.Run <= r.floor[b.Task] {
		return http.StatusConflict, r.reply("old")
	}
	used := 0
	for _, t := range r.running {
		used += t.needs
	}
	if used+spec.CPU > r.size.CPU {
		return http.StatusConflict, r.reply("room")
	}
	t := &taskRun{task: b.Task, run: b.Run, began: time.Now(), work: time.Duration(spec.WorkMs) * time.Millisecond, needs: spec.CPU}
	r.running[b.Task] = t
	r.world.runBegins(r, t)
	time.AfterFunc(t.work, func() { r.end(t, "done") })
	return http.StatusOK, r.reply("")
}

func (r *runner) stopLocked(b callBody) (int, answer) {
	r.floor[b.Task] = max(r.floor[b.Task], b.Run)
	if t := r.running[b.Task]; t != nil && t.run <= b.Run && !t.stopping {
		t.stopping = true
		r.world.record("%s: stop of %s run %d is asked for", r.id, t.task, t.run)
		time.AfterFunc(r.stopTakes, func() { r.end(t, "stopped") })
	}
	return http.StatusOK, r.reply("")
}

// end ends a run unless it has ended before.
func (r *runner) end(t *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLocked(t, how)
}

func (r *runner) endLocked(t *taskRun, how string) {
	if t.over || how == "done" && t.stopping {
		return
	}
	t.over = true
	r.world.runEnds(r, t, how)
	if r.running[t.task] != t {
		return
	}
	delete(r.running, t.task)
	r.floor[t.task] = max(r.floor[t.task], t.run)
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, t.task, t.run, how, ""})
	close(r.changed)
	r.changed = make(chan struct{})
}

// await delays the answer to a hold until a run ends or its wait is over. It returns nil if the
// runner ends meanwhile.
func (r *runner) await(q *http.Request, b callBody) answer {
	deadline := time.After(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
	r.mu.Lock()
	born := r.born
	r.mu.Unlock()
	for {
		r.mu.Lock()
		if !r.up || r.born != born {
			r.mu.Unlock()
			return nil
		}
		a := r.lists()
		changed := r.changed
		ready := len(r.ends) > 0
		r.mu.Unlock()
		if ready {
			return a
		}
		select {
		case <-changed:
		case <-deadline:
			return a
		case <-q.Context().Done():
			return nil
		}
	}
}

// idle reports whether nothing runs on the runner.
func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running) == 0
}

// listenRetry opens a port that may still be in use for a moment.
func listenRetry(addr string) (l net.Listener, err error) {
	for range 40 {
		if l, err = net.Listen("tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return nil, fmt.Errorf("listen on %s: %w", addr, err)
}
