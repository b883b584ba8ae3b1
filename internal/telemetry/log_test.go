package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"
)

// captureLog redirects the log output to a buffer until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	var out bytes.Buffer
	t.Cleanup(klog.CaptureState().Restore)
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", &out) // receives the lines of every severity
	return &out
}

func TestLinesCarryPrefixKeysAndCaller(t *testing.T) {
	out := captureLog(t)
	log := NewLogger("entry")
	log.Info("listening for callers", "address", "127.0.0.1:80")
	log.Error(errors.New("broken pipe"), "answer not written", "call", 7)
	klog.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("got %d lines, want 2: %q", len(lines), lines)
	}
	for i, want := range []string{
		`"entry: listening for callers" address="127.0.0.1:80"`,
		`"entry: answer not written" err="broken pipe" call=7`,
	} {
		if !strings.HasSuffix(lines[i], want) || !strings.Contains(lines[i], "log_test.go:") {
			t.Errorf("line %d is %q, want suffix %q and this file as the caller", i, lines[i], want)
		}
	}
}

func TestFloodIsSuppressedAndCounted(t *testing.T) {
	out := captureLog(t)
	now := time.Unix(0, 0)
	log := newLoggerWithClock("entry", func() time.Time { return now })
	const flood = 1000
	for range flood {
		log.Info("caller refused")
	}
	log.Info("another message")
	now = now.Add(rateLimitWindow)
	log.Info("caller refused")
	log.Info("caller refused")
	klog.Flush()
	got := out.String()
	if n := strings.Count(got, "caller refused"); n != maxLinesPerWindow+2 {
		t.Errorf("got %d lines of the repeated message, want %d", n, maxLinesPerWindow+2)
	}
	want := fmt.Sprintf(`caller refused" suppressed=%d`, flood-maxLinesPerWindow)
	if strings.Count(got, want) != 1 {
		t.Errorf("the output must contain %q exactly once", want)
	}
	if !strings.Contains(got, "another message") {
		t.Error("a message below the rate limit was suppressed because of the repeated one")
	}
}

func TestCountedMessagesAreBounded(t *testing.T) {
	captureLog(t)
	log := newLoggerWithClock("entry", time.Now)
	for i := range 10 * maxCountedMessages {
		log.Info(fmt.Sprint("message ", i))
	}
	if len(log.windows) > maxCountedMessages+1 {
		t.Errorf("the logger keeps %d rate windows, more than the limit", len(log.windows))
	}
}
