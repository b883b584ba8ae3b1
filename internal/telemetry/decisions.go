package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// decisionBytes bounds the log lines that wait to be written: some seconds of
	// lines of a busy process.
	decisionBytes = 1 << 20
	// decisionFlush is the pause between two writes, so that a line costs no system
	// call of its own.
	decisionFlush = 50 * time.Millisecond
)

// Lines is a bounded buffer of log lines in front of a writer. Write never blocks;
// lines that find no room are counted, and the count is written with the next ones.
// It is safe for concurrent use.
type Lines struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int
	total   uint64
}

// NewLines returns a buffer in front of out. Run must be called.
func NewLines(out io.Writer) *Lines { return &Lines{out: out, wake: make(chan struct{}, 1)} }

// Write implements io.Writer. It takes whole lines.
func (l *Lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	if l.waiting.Len()+len(line) > decisionBytes {
		l.dropped++
		l.total++
	} else {
		l.waiting.Write(line)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that found no room.
func (l *Lines) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Run writes lines until stop is closed, and then those that still wait.
func (l *Lines) Run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			l.Flush()
			return
		case <-l.wake:
		}
		l.Flush()
		select {
		case <-stop:
		case <-time.After(decisionFlush):
		}
	}
}

// Flush writes the lines that wait.
func (l *Lines) Flush() {
	l.mu.Lock()
	lines := bytes.Clone(l.waiting.Bytes())
	dropped := l.dropped
	l.waiting.Reset()
	l.dropped = 0
	l.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, `{"level":"WARN","msg":"log lines dropped for want of room","lines":`+strconv.Itoa(dropped)+"}\n"...)
	}
	if len(lines) > 0 {
		// A closed standard output leaves nowhere to report the error to.
		_, _ = l.out.Write(lines)
	}
}

// LogTo sends the lines of klog to w, each as one JSON object.
func LogTo(w io.Writer) { klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, nil))) }

// routine lists the events of every job that is served. Under load only those of some
// jobs are written; the events of what goes wrong are always.
var routine = map[string]bool{"job_accepted": true, "task_offered": true, "run_ended": true, "offer_refused": true}

// routineSampler thins out the routine lines of the process.
var routineSampler = newSampler(time.Now)

// LogEvent writes the line of one log event: its name, the job it is about, if any,
// and the values that caused it. Routine lines are thinned out under load; others have
// no rate limit. See Lines.
func (l *Logger) LogEvent(event, job string, fields []any) {
	if routine[event] {
		ok, leftOut := routineSampler.admit(job)
		if leftOut > 0 {
			klog.InfoSDepth(callerDepth, "routine_lines_left_out", "part", l.part, "lines", leftOut)
		}
		if !ok {
			return
		}
	}
	all := make([]any, 0, len(fields)+4)
	all = append(all, "part", l.part)
	if job != "" {
		all = append(all, "job", job)
	}
	klog.InfoSDepth(callerDepth, event, append(all, fields...)...)
}
