package telemetry

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Rate limit of the log lines with the same message of one Logger.
const (
	rateLimitWindow   = 10 * time.Second
	maxLinesPerWindow = 20
	// maxCountedMessages bounds the number of messages with a rate limit of their own,
	// and so the memory of a Logger. All further messages share one rate limit.
	maxCountedMessages = 256
)

// callerDepth is the number of stack frames between a Logger method and its caller.
const callerDepth = 1

// Logger writes the log lines of one component of a process. It is safe for
// concurrent use.
type Logger struct {
	component string
	prefix    string
	now       func() time.Time

	mu      sync.Mutex
	windows map[string]*rateWindow
}

// rateWindow counts the log lines of one message since the time start.
type rateWindow struct {
	start      time.Time
	lines      int
	suppressed int
}

// NewLogger returns a logger for the component with the given name. The messages of
// Info and Error start with the name and a colon.
func NewLogger(name string) *Logger {
	return newLoggerWithClock(name, time.Now)
}

func newLoggerWithClock(name string, now func() time.Time) *Logger {
	return &Logger{component: name, prefix: name + ": ", now: now, windows: map[string]*rateWindow{}}
}

// Info writes a line with pairs of keys and values. The message must be constant
// text because the rate limit applies per message. A line above the limit is
// suppressed; a later line with the same message states how many were.
func (l *Logger) Info(message string, keysAndValues ...any) {
	suppressed, ok := l.allow(message)
	if !ok {
		return
	}
	klog.InfoSDepth(callerDepth, l.prefix+message, appendSuppressed(keysAndValues, suppressed)...)
}

// Error writes a line of severity error and is otherwise like Info.
func (l *Logger) Error(err error, message string, keysAndValues ...any) {
	suppressed, ok := l.allow(message)
	if !ok {
		return
	}
	klog.ErrorSDepth(callerDepth, err, l.prefix+message, appendSuppressed(keysAndValues, suppressed)...)
}

// allow reports whether a line may be written. For the first line of a window it
// also returns how many lines with the same message the previous window suppressed.
func (l *Logger) allow(message string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(message)
	now := l.now()
	if now.Sub(w.start) >= rateLimitWindow {
		suppressed := w.suppressed
		*w = rateWindow{start: now, lines: 1}
		return suppressed, true
	}
	if w.lines >= maxLinesPerWindow {
		w.suppressed++
		return 0, false
	}
	w.lines++
	return 0, true
}

// window returns the rate window of a message. Messages beyond maxCountedMessages
// share one window.
func (l *Logger) window(message string) *rateWindow {
	if w, ok := l.windows[message]; ok {
		return w
	}
	if len(l.windows) >= maxCountedMessages {
		message = ""
	}
	w, ok := l.windows[message]
	if !ok {
		w = &rateWindow{}
		l.windows[message] = w
	}
	return w
}

func appendSuppressed(keysAndValues []any, suppressed int) []any {
	if suppressed == 0 {
		return keysAndValues
	}
	return append(keysAndValues[:len(keysAndValues):len(keysAndValues)], "suppressed", suppressed)
}
