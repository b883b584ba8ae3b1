package sitestore

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// scriptedTopic is a topic that answers calls with replies, in their order. It calls done
// when none is left.
type scriptedTopic struct {
	mu      sync.Mutex
	calls   []string
	replies []reply
	done    context.CancelFunc
}

type reply struct {
	records []Record
	end     int64
	err     error
}

func (s *scriptedTopic) next(call string) ([]Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.replies) == 0 {
		s.done()
		return nil, 0, context.Canceled
	}
	r := s.replies[0]
	s.replies = s.replies[1:]
	s.calls = append(s.calls, call)
	return r.records, r.end, r.err
}

func (s *scriptedTopic) Newest(context.Context) ([]Record, int64, error) { return s.next("newest") }

func (s *scriptedTopic) Read(context.Context, int64, time.Duration) ([]Record, int64, error) {
	return s.next("read")
}

func (s *scriptedTopic) Put(context.Context, string, []byte) error {
	_, _, err := s.next("put")
	return err
}

func (s *scriptedTopic) Get(context.Context, string) ([]byte, error) {
	_, _, err := s.next("get")
	return nil, err
}

type change struct {
	records map[string][]byte
	end     int64
}

// follow runs a follower on a topic with the given replies. It returns the changes that
// the follower reported and the calls that it made.
func follow(t *testing.T, replies ...reply) ([]change, []string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &scriptedTopic{replies: replies, done: cancel}
	var got []change
	f := &Follower{Topic: s, Name: "test", Logs: telemetry.NewLogger("test"), OnChange: func(records map[string][]byte, end int64) {
		got = append(got, change{records, end})
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
		t.Errorf("changes: got %+v, want 3: the second with value 2 and end 7, the third with 1 record and end 8", got)
	}
}

// TestFollowerNeverGoesBack guards against replacing known records by older ones. After
// ErrTrimmed the follower loads the newest records again, and the store may answer as of
// an earlier offset.
func TestFollowerNeverGoesBack(t *testing.T) {
	got, calls := follow(t,
		reply{records: []Record{record("a", "new", 9)}, end: 10},
		reply{err: ErrTrimmed},
		reply{records: []Record{record("a", "old", 4)}, end: 5},
		reply{records: []Record{record("a", "newer", 11)}, end: 12},
	)
	if len(got) != 2 || string(got[1].records["a"]) != "newer" {
		t.Errorf("changes: got %+v, want 2, the second with the newest value", got)
	}
	if want := []string{"newest", "read", "newest", "newest"}; !slices.Equal(calls, want) {
		t.Errorf("calls: got %v, want %v", calls, want)
	}
}

// TestChangesBetweenPages guards against a missed change: the newest records come in pages
// that are not a snapshot. A key of the first page that changes before the last one is read
// keeps its old record there, and the newer one is at an offset below that of the last page.
func TestChangesBetweenPages(t *testing.T) {
	got, _ := follow(t,
		reply{records: []Record{record("a", "old", 4), record("b", "new", 6)}, end: 5},
		reply{records: []Record{record("a", "new", 5)}, end: 7},
		reply{records: []Record{record("b", "new", 6)}, end: 7},
	)
	if len(got) != 1 || got[0].end != 7 || string(got[0].records["a"]) != "new" || string(got[0].records["b"]) != "new" {
		t.Errorf("changes: got %+v, want one at offset 7 with the newest value of both keys", got)
	}
}

// TestOlderRecordAfterPages guards against a key that goes back: a read that continues from
// the end of the first page returns records older than those of later pages.
func TestOlderRecordAfterPages(t *testing.T) {
	got, _ := follow(t,
		reply{records: []Record{record("a", "newest", 6)}, end: 5},
		reply{records: []Record{record("a", "older", 5), record("a", "newest", 6), record("b", "1", 7)}, end: 9},
		reply{records: []Record{{Key: "a", Offset: 8}}, end: 9},
	)
	if len(got) != 2 || string(got[0].records["a"]) != "newest" || got[0].end != 8 || len(got[1].records) != 1 {
		t.Errorf("changes: got %+v, want two: the newest value at offset 8, then its deletion", got)
	}
}

func TestFollowerContinuesAfterOutage(t *testing.T) {
	got, _ := follow(t,
		reply{err: errors.New("down")},
		reply{records: []Record{record("a", "1", 0)}, end: 1},
		reply{err: errors.New("down")},
		reply{end: 1},
		reply{records: []Record{record("a", "2", 1)}, end: 2},
	)
	if len(got) != 2 || string(got[1].records["a"]) != "2" {
		t.Errorf("changes: got %+v, want 2, the second with the newest value", got)
	}
}

func TestDecodeAgents(t *testing.T) {
	a := Agent{ID: "a", Addr: netip.MustParseAddrPort("127.0.0.1:7201"), Domain: "z"}
	agents, ignored := DecodeAgents(map[string][]byte{"a": a.Encode(), "b": []byte("?"), "c": []byte(`{"id":"c"}`)})
	if len(agents) != 1 || agents[0] != a || len(ignored) != 2 || ignored["b"] == nil || ignored["c"] == nil {
		t.Errorf("got %+v, ignored %v, want agent a, ignored b and c", agents, ignored)
	}
}

// TestOddAgentRecords guards against endless attempts to connect to what is no agent, against
// another order of the agents after each change, and against records in place of those that
// an agent has written itself.
func TestOddAgentRecords(t *testing.T) {
	want := []Agent{}
	records := map[string][]byte{}
	for _, id := range []node.ID{"g", "h", "i", "j", "k"} {
		a := Agent{ID: id, Addr: netip.MustParseAddrPort("10.0.0.7:7201")}
		want = append(want, a)
		records[string(id)] = a.Encode()
	}
	odd := map[string]string{"another": `{"id":"g","addr":"10.0.0.8:1"}`, "": `{"id":"","addr":"10.0.0.8:1"}`}
	for _, addr := range []string{
		"10.0.0.8:0", "10.0.0.8:65536", "10.0.0.8:-1", "10.0.0.8:99999999999", "10.0.0.8", "host:80", "", ":80", "0.0.0.0:80", "[::]:80",
		"224.0.0.1:80", "[ff02::1]:80", "[fe80::1%eth0]:80", "[::ffff:0.0.0.0]:80", "10.0.0.8:80 ",
	} {
		odd["addr "+addr] = `{"id":"addr ` + addr + `","addr":"` + addr + `"}`
	}
	for key, value := range odd {
		records[key] = []byte(value)
	}
	agents, ignored := DecodeAgents(records)
	if !slices.Equal(agents, want) {
		t.Errorf("got agents %v, want %v", agents, want)
	}
	for key := range odd {
		if ignored[key] == nil || len(ignored[key].Error()) > 300 {
			t.Errorf("key %q: got reason %v, want a short one", key, ignored[key])
		}
	}
}
