package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestFullBufferDoesNotBlock guards against logging that stalls the process when the
// reader of its output hangs. Once the buffer is full, further lines must be dropped
// and counted, and the count must be logged after the output recovers.
func TestFullBufferDoesNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	lines := NewLineBuffer(out)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		lines.Run(stop)
	}()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 4 * maxBufferedBytes / len(line) {
			_, _ = lines.Write(line)
		}
	}()
	select {
	case <-written:
	case <-time.After(30 * time.Second):
		t.Fatal("LineBuffer.Write blocked while the output was stalled")
	}
	if lines.Dropped() == 0 {
		t.Error("Dropped() = 0, want more than 0 after four times the buffer size")
	}
	close(out.release)
	close(stop)
	<-stopped
	if !strings.Contains(out.text.String(), "log lines dropped") {
		t.Error(`the output lacks the line "log lines dropped"`)
	}
}
