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
	// maxBufferedBytes bounds the log lines that wait to be written. It holds a few
	// seconds of output of a busy process.
	maxBufferedBytes = 1 << 20
	// flushInterval is the time between two writes. Lines are written in batches, so
	// that not every line costs a system call.
	flushInterval = 50 * time.Millisecond
)

// LineBuffer is a bounded buffer of log lines in front of a writer. Write never
// blocks: it drops lines that do not fit into the buffer and counts them. The next
// flush logs the count. LineBuffer is safe for concurrent use.
type LineBuffer struct {
	out  io.Writer
	wake chan struct{}

	mu                sync.Mutex
	buffer            bytes.Buffer
	droppedSinceFlush int
	droppedTotal      uint64
}

// NewLineBuffer returns a buffer in front of out. The lines are written to out by Run,
// which the caller must start, or by Flush.
func NewLineBuffer(out io.Writer) *LineBuffer {
	return &LineBuffer{out: out, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer. The argument must be one or more whole lines.
func (l *LineBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	if l.buffer.Len()+len(line) > maxBufferedBytes {
		l.droppedSinceFlush++
		l.droppedTotal++
	} else {
		l.buffer.Write(line)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far because the buffer was full.
func (l *LineBuffer) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.droppedTotal
}

// Run writes the buffered lines periodically until stop is closed, and once more
// after that.
func (l *LineBuffer) Run(stop <-chan struct{}) {
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
		case <-time.After(flushInterval):
		}
	}
}

// Flush writes the buffered lines now.
func (l *LineBuffer) Flush() {
	l.mu.Lock()
	lines := bytes.Clone(l.buffer.Bytes())
	dropped := l.droppedSinceFlush
	l.buffer.Reset()
	l.droppedSinceFlush = 0
	l.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, `{"level":"WARN","msg":"log lines dropped because the buffer was full","lines":`+strconv.Itoa(dropped)+"}\n"...)
	}
	if len(lines) > 0 {
		// A closed standard output leaves nowhere to report the error to.
		_, _ = l.out.Write(lines)
	}
}

// LogJSONTo makes klog write its lines to w, each as one JSON object.
func LogJSONTo(w io.Writer) { klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, nil))) }

// routineEvents lists the events that every served job logs. Under load they are
// written for a sample of the jobs only. Events that report a problem are always
// written.
var routineEvents = map[string]bool{"job_accepted": true, "task_offered": true, "run_ended": true, "offer_refused": true}

// routineSampler selects the jobs whose routine events the process logs.
var routineSampler = newSampler(time.Now)

// LogEvent writes one log event: its name, the job that it concerns, if any, and the
// values that caused it. Routine events are sampled under load. Other events have no
// rate limit here, but a LineBuffer drops them when it is full.
func (l *Logger) LogEvent(event, job string, fields []any) {
	if routineEvents[event] {
		ok, leftOut := routineSampler.sample(job)
		if leftOut > 0 {
			klog.InfoSDepth(callerDepth, "routine_lines_left_out", "part", l.component, "lines", leftOut)
		}
		if !ok {
			return
		}
	}
	all := make([]any, 0, len(fields)+4)
	all = append(all, "part", l.component)
	if job != "" {
		all = append(all, "job", job)
	}
	klog.InfoSDepth(callerDepth, event, append(all, fields...)...)
}
