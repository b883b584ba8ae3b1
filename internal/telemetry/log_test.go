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

// capture redirects the log output until the test ends.
func capture(t *testing.T) *bytes.Buffer {
	t.Helper()
	var out bytes.Buffer
	t.Cleanup(klog.CaptureState().Restore)
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", &out) // gets the lines of every severity
	return &out
}

func TestLinesCarryPrefixKeysAndCaller(t *testing.T) {
	out := capture(t)
	log := Part("entry")
	log.Info("listening for callers", "address", "127.0.0.1:80")
	log.Error(errors.New("broken pipe"), "answer not written", "call", 7)
	klog.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("got %d lines: %q", len(lines), lines)
	}
	for i, want := range []string{
		`"entry: listening for callers" address="127.0.0.1:80"`,
		`"entry: answer not written" err="broken pipe" call=7`,
	} {
		if !strings.HasSuffix(lines[i], want) || !strings.Contains(lines[i], "log_test.go:") {
			t.Errorf("line %d is %q, want suffix %q", i, lines[i], want)
		}
	}
}

func TestFloodIsSuppressedAndCounted(t *testing.T) {
	out := capture(t)
	now := time.Unix(0, 0)
	log := newLogger("entry", func() time.Time { return now })
	const flood = 1000
	for range flood {
		log.Info("caller refused")
	}
	log.Info("another message")
	now = now.Add(messageWindow)
	log.Info("caller refused")
	log.Info("caller refused")
	klog.Flush()
	got := out.String()
	if n := strings.Count(got, "caller refused"); n != messagesInWindow+2 {
		t.Errorf("got %d lines, want %d", n, messagesInWindow+2)
	}
	want := fmt.Sprintf(`caller refused" suppressed=%d`, flood-messagesInWindow)
	if strings.Count(got, want) != 1 {
		t.Errorf("suppressed lines are not counted once with %q", want)
	}
	if !strings.Contains(got, "another message") {
		t.Error("the flood suppressed another message")
	}
}

func TestCountedMessagesAreBounded(t *testing.T) {
	capture(t)
	log := newLogger("entry", time.Now)
	for i := range 10 * maxMessages {
		log.Info(fmt.Sprint("message ", i))
	}
	if len(log.windows) > maxMessages+1 {
		t.Errorf("%d messages are counted apart", len(log.windows))
	}
}
