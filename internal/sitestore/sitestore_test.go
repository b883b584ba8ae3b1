package sitestore

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// script is a topic whose calls are answered one after the other.
type script struct {
	mu    sync.Mutex
	calls []string
	steps []reply
	done  context.CancelFunc
}

type reply struct {
	records []Record
	end     int64
	err     error
}

func (s *script) next(call string) ([]Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		s.done()
		return nil, 0, context.Canceled
	}
	r := s.steps[0]
	s.steps = s.steps[1:]
	s.calls = append(s.calls, call)
	return r.records, r.end, r.err
}

func (s *script) Newest(context.Context) ([]Record, int64, error) { return s.next("newest") }

func (s *script) Read(context.Context, int64, time.Duration) ([]Record, int64, error) {
	return s.next("read")
}

func (s *script) Put(context.Context, string, []byte) error {
	_, _, err := s.next("put")
	return err
}

func (s *script) Get(context.Context, string) ([]byte, error) {
	_, _, err := s.next("get")
	return nil, err
}

type taken struct {
	records map[string][]byte
	end     int64
}

// follow plays the replies and returns what was taken and the calls that were made.
func follow(t *testing.T, steps ...reply) ([]taken, []string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &script{steps: steps, done: cancel}
	var got []taken
	f := &Follower{Topic: s, Name: "test", Logs: telemetry.NewLogger("test"), OnChange: func(records map[string][]byte, end int64) {
		got = append(got, taken{records, end})
	}}
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	return got, s.calls
}

func record(key, value string, offset int64) Record {
	return Record{Key: key, Value: []byte(value), Offset: offset}
}

func TestFollowerKeepsTheNewestRecords(t *testing.T) {
	got, _ := follow(t,
		reply{records: []Record{record("a", "1", 3)}, end: 5},
		reply{records: []Record{record("a", "2", 5), record("b", "3", 6)}, end: 7},
		reply{records: []Record{{Key: "a", Offset: 7}}, end: 8},
	)
	if len(got) != 3 || string(got[1].records["a"]) != "2" || got[1].end != 7 || len(got[2].records) != 1 || got[2].end != 8 {
		t.Errorf("took %+v", got)
	}
}

// TestFollowerNeverGoesBack: answers as of the past are not taken.
func TestFollowerNeverGoesBack(t *testing.T) {
	got, calls := follow(t,
		reply{records: []Record{record("a", "new", 9)}, end: 10},
		reply{err: ErrTrimmed},
		reply{records: []Record{record("a", "old", 4)}, end: 5},
		reply{records: []Record{record("a", "newer", 11)}, end: 12},
	)
	if len(got) != 2 || string(got[1].records["a"]) != "newer" {
		t.Errorf("took %+v", got)
	}
	if want := []string{"newest", "read", "newest", "newest"}; !slices.Equal(calls, want) {
		t.Errorf("calls %v, want %v", calls, want)
	}
}

func TestFollowerGoesOnAfterAnOutage(t *testing.T) {
	got, _ := follow(t,
		reply{err: errors.New("down")},
		reply{records: []Record{record("a", "1", 0)}, end: 1},
		reply{err: errors.New("down")},
		reply{end: 1},
		reply{records: []Record{record("a", "2", 1)}, end: 2},
	)
	if len(got) != 2 || string(got[1].records["a"]) != "2" {
		t.Errorf("took %+v", got)
	}
}

func TestAgentsRecords(t *testing.T) {
	a := Agent{ID: "a", Addr: netip.MustParseAddrPort("127.0.0.1:7201"), Domain: "z"}
	agents, bad := DecodeAgents(map[string][]byte{"a": a.Encode(), "b": []byte("?"), "c": []byte(`{"id":"c"}`)})
	slices.Sort(bad)
	if len(agents) != 1 || agents[0] != a || !slices.Equal(bad, []string{"b", "c"}) {
		t.Errorf("got %+v, bad %v", agents, bad)
	}
}
