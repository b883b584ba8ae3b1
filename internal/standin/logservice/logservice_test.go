package logservice

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/go-faster/errors"
)

const testTimeout = 20 * time.Second

func start(t *testing.T, cfg Config) (*Service, *logclient.Client) {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	s := New(cfg)
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	client := logclient.New(s.URL(), testTimeout)
	t.Cleanup(func() {
		client.Close()
		_ = s.Close()
	})
	return s, client
}

func appendAll(t *testing.T, log logclient.Log, records ...string) {
	t.Helper()
	for _, r := range records {
		if _, err := log.Append(context.Background(), "control", []byte(r)); err != nil {
			t.Fatal(err)
		}
	}
}

func expectRead(t *testing.T, log logclient.Log, from, wantFrom int64, want ...string) {
	t.Helper()
	got, err := log.Read(context.Background(), "control", from, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got.From != wantFrom || fmt.Sprintf("%s", got.Records) != fmt.Sprint(want) {
		t.Errorf("read from %d: got wrong offset %d or records %s", from, got.From, got.Records)
	}
}

func TestAppendAndRead(t *testing.T) {
	_, log := start(t, Config{})
	expectRead(t, log, 0, 0)
	appendAll(t, log, "a", "b", "c")
	expectRead(t, log, 0, 0, "a", "b", "c")
	expectRead(t, log, 2, 2, "c")
	got, err := log.Read(context.Background(), "control", 0, 2, 0)
	if err != nil || len(got.Records) != 2 || got.End != 3 || got.Oldest != 0 {
		t.Errorf("read of at most 2 records: got %+v, error %v; want 2 records, end 3, oldest 0", got, err)
	}
	expectRead(t, log, 9, 3)
}

func TestReadWaitsForRecord(t *testing.T) {
	_, log := start(t, Config{})
	type outcome struct {
		result logclient.ReadResult
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := log.Read(context.Background(), "control", 0, 10, testTimeout)
		done <- outcome{result, err}
	}()
	appendAll(t, log, "a")
	if got := <-done; got.err != nil || len(got.result.Records) != 1 {
		t.Errorf("read: got %+v, want 1 record and no error", got)
	}
}

func TestRetentionByCountAndAge(t *testing.T) {
	_, log := start(t, Config{MaxRecords: 2})
	appendAll(t, log, "a", "b", "c")
	expectRead(t, log, 0, 1, "b", "c")

	st := newStream()
	now := time.Now()
	st.append([]byte("a"), now)
	st.append([]byte("b"), now.Add(time.Minute))
	st.retain(0, time.Second, now.Add(time.Minute))
	if from, records := st.read(0, 10); from != 1 || len(records) != 1 {
		t.Errorf("read: got from %d, %d records; want from 1, 1 record", from, len(records))
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults   Faults
		want     error
		appended int64
	}{
		"outage":       {Faults{Outage: true}, logclient.ErrUnavailable, 0},
		"lost replies": {Faults{LoseReplies: true}, logclient.ErrUnknownEffect, 1},
		"rate":         {Faults{AppendsPerSecond: 1}, logclient.ErrUnavailable, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, log := start(t, Config{})
			s.SetFaults(test.faults)
			ctx := context.Background()
			if test.faults.AppendsPerSecond > 0 {
				s.mu.Lock()
				s.appendTokens = -1e9
				s.mu.Unlock()
			}
			_, err := log.Append(ctx, "control", []byte("x"))
			if !errors.Is(err, test.want) {
				t.Errorf("append: got error %v, want the error of this fault", err)
			}
			if got := s.Appends(); got != test.appended {
				t.Errorf("got %d executed appends, want the number of this fault", got)
			}
			s.SetFaults(Faults{})
			appendAll(t, log, "y")
		})
	}
}

// A read that already waits for records must fail when an outage begins, instead
// of waiting until its own timeout.
func TestOutageEndsWaitingReads(t *testing.T) {
	s, log := start(t, Config{})
	done := make(chan error, 1)
	go func() {
		_, err := log.Read(context.Background(), "control", 0, 10, testTimeout)
		done <- err
	}()
	for {
		s.mu.Lock()
		waiting := len(s.streams) > 0
		s.mu.Unlock()
		if waiting {
			break
		}
		time.Sleep(time.Millisecond)
	}
	s.SetFaults(Faults{Outage: true})
	if err := <-done; !errors.Is(err, logclient.ErrUnavailable) {
		t.Errorf("read: got error %v, want ErrUnavailable", err)
	}
}

// An append to a stopped service must fail with ErrUnavailable, which tells the client
// that nothing was appended. ErrUnknownEffect would leave this open.
func TestStoppedService(t *testing.T) {
	s, log := start(t, Config{})
	_ = s.Close()
	if _, err := log.Append(context.Background(), "control", nil); !errors.Is(err, logclient.ErrUnavailable) {
		t.Errorf("append: got error %v, want ErrUnavailable", err)
	}
}

// After a change of the faults one append is allowed at once, then as many as the
// rate permits.
func TestAppendRate(t *testing.T) {
	s := New(Config{})
	s.SetFaults(Faults{AppendsPerSecond: 2})
	now := s.tokensRefilledAt
	allowed := 0
	for range 5 {
		if s.takeToken(now) {
			allowed++
		}
	}
	if allowed != 1 {
		t.Errorf("got %d appends allowed at once, want 1", allowed)
	}
	if !s.takeToken(now.Add(500 * time.Millisecond)) {
		t.Error("append half a second later: got refused, want allowed at a rate of 2 a second")
	}
}
