package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	begun  time.Time
	out    *bufio.Writer
	file   *os.File
	starts []interval
}

// interval is the time for which a runner has worked on a run. until is zero while it does.
type interval struct {
	runner, task string
	run          int
	from, until  time.Duration
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), out: bufio.NewWriter(f), file: f}, nil
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// now returns the time since the record was begun.
func (r *record) now() time.Duration { return time.Since(r.begun) }

// event writes a line and returns its time.
func (r *record) event(format string, args ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lineLocked(fmt.Sprintf(format, args...))
}

func (r *record) lineLocked(text string) time.Duration {
	at := r.now()
	fmt.Fprintf(r.out, "%9.3f  %s\n", at.Seconds(), text)
	return at
}

func (r *record) started(runner, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.lineLocked(fmt.Sprintf("%s starts %s run %d", runner, task, run))
	r.starts = append(r.starts, interval{runner: runner, task: task, run: run, from: at})
}

func (r *record) ended(runner, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.lineLocked(fmt.Sprintf("%s ends %s run %d: %s", runner, task, run, how))
	for i := range r.starts {
		if s := &r.starts[i]; s.runner == runner && s.task == task && s.run == run && s.until == 0 {
			s.until = at
		}
	}
}

// intervals returns the runs so far. A run at work ends now.
func (r *record) intervals() []interval {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := append([]interval{}, r.starts...)
	for i := range list {
		if list[i].until == 0 {
			list[i].until = r.now()
		}
	}
	return list
}

// spec is the taskSpec of a job of the stand-ins: how long the tasks of each step work, and how much
// of a runner each task takes.
type spec struct {
	WorkMs []int `json:"workMs"`
	CPU    int   `json:"cpu"`
}

func (s spec) String() string {
	raw, _ := json.Marshal(s)
	return string(raw)
}

// parseSpec returns how long a task works, and how much it takes. A task's name is ID.K.STEP.INDEX.
func parseSpec(text, task string) (work time.Duration, cpu int) {
	var s spec
	parts := strings.Split(task, ".")
	if json.Unmarshal([]byte(text), &s) != nil || len(s.WorkMs) == 0 || len(parts) != 4 {
		return time.Millisecond, 0
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step < 0 {
		return time.Millisecond, 0
	}
	return time.Duration(s.WorkMs[min(step, len(s.WorkMs)-1)]) * time.Millisecond, s.CPU
}
