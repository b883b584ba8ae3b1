package publish

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
)

// fakeLog is a log in memory. The next appends fail with the faults in appends, in
// order, and the next readErrors reads fail.
type fakeLog struct {
	records    [][]byte
	oldest     int64
	appends    []fault
	readErrors int
}

// self is the sender of the records that fakeLog and truncatedLog add. No stream has it
// as a member.
var self = node.Ref{ID: "stranger", Incarnation: 1}

// fault is what happens to an append.
type fault int

const (
	lost      fault = iota // The append has no effect and gets no reply.
	replyLost              // The append takes effect but gets no reply.
	refused                // The log refuses the append.
	overtaken              // The log appends another record first.
)

func (l *fakeLog) Append(_ context.Context, _ string, record []byte) (int64, error) {
	if len(l.appends) == 0 {
		l.records = append(l.records, record)
		return int64(len(l.records) - 1), nil
	}
	f := l.appends[0]
	l.appends = l.appends[1:]
	switch f {
	case replyLost:
		l.records = append(l.records, record)
		return 0, logclient.ErrUnknownEffect
	case overtaken:
		l.records = append(l.records, control.EncodeLeave(self, 0), record)
		return int64(len(l.records) - 1), nil
	case lost:
		return 0, logclient.ErrUnknownEffect
	default:
		return 0, logclient.ErrUnavailable
	}
}

func (l *fakeLog) Read(_ context.Context, _ string, from int64, limit int, _ time.Duration) (logclient.ReadResult, error) {
	if l.readErrors > 0 {
		l.readErrors--
		return logclient.ReadResult{}, logclient.ErrUnavailable
	}
	end := int64(len(l.records))
	from = min(max(from, l.oldest), end)
	return logclient.ReadResult{
		From:    from,
		Records: l.records[from:min(from+int64(limit), end)],
		End:     end,
		Oldest:  l.oldest,
	}, nil
}

func takeOut(domain string) control.EditFunc { return control.TakeOut(config.TakeOut{Domain: domain}) }

func TestPublish(t *testing.T) {
	tests := []struct {
		name         string
		log          fakeLog
		domain       string
		want         control.Status
		recordsAdded int
	}{
		{"log up", fakeLog{}, "south", control.Accepted, 1},
		{"nothing to change", fakeLog{}, "north", control.Unchanged, 0},
		{"reply lost", fakeLog{appends: []fault{replyLost}}, "south", control.Accepted, 1},
		{"append lost", fakeLog{appends: []fault{lost}}, "south", control.Accepted, 1},
		{"refused four times", fakeLog{appends: []fault{refused, refused, refused, refused}}, "south", control.Accepted, 1},
		{"lost three times", fakeLog{appends: []fault{lost, lost, lost}}, "south", control.Undecided, 0},
		{"log down at first", fakeLog{readErrors: 2}, "south", control.Accepted, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			log := tt.log
			log.records = [][]byte{control.EncodeChange(control.Change{
				ID: "first", From: -1, Author: "op",
				Edits: []config.Edit{{Put: &config.Object{TakeOut: &config.TakeOut{Domain: "north"}}}},
			})}
			c := &Client{Log: &log, Stream: "s"}
			p, err := c.Publish(context.Background(), "op", takeOut(tt.domain))
			if err != nil {
				t.Fatal(err)
			}
			if p.Status != tt.want || len(log.records) != 1+tt.recordsAdded {
				t.Errorf("got status %s with %d records, want %s with %d", p.Status, len(log.records), tt.want, 1+tt.recordsAdded)
			}
			if got := p.From + int64(len(p.Records)); got != p.State.Next() {
				t.Errorf("got last records up to offset %d, want them up to that of the state, %d", got, p.State.Next())
			}
		})
	}
}

func TestPublishFailsWhenItsContextEnds(t *testing.T) {
	log := &fakeLog{readErrors: 1 << 30}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p, err := (&Client{Log: log}).Publish(ctx, "op", takeOut("south"))
	if !errors.Is(err, logclient.ErrUnavailable) || p.Status == control.Undecided {
		t.Errorf("got status %q, error %v, want ErrUnavailable and not undecided", p.Status, err)
	}
}

// TestReadOfTruncatedStreamIsIncomplete guards against a configuration folded from
// a stream whose first records retention has deleted.
func TestReadOfTruncatedStreamIsIncomplete(t *testing.T) {
	log := &fakeLog{oldest: 1}
	for _, domain := range []string{"north", "south"} {
		log.records = append(log.records, control.EncodeChange(control.Change{
			ID: domain, From: -1, Author: "op",
			Edits: []config.Edit{{Put: &config.Object{TakeOut: &config.TakeOut{Domain: domain}}}},
		}))
	}
	if _, err := (&Client{Log: log}).Read(context.Background(), nil); !errors.Is(err, ErrIncomplete) {
		t.Errorf("got error %v, want ErrIncomplete", err)
	}
}

func TestReadReportsEveryRevision(t *testing.T) {
	log := &fakeLog{}
	c := &Client{Log: log}
	const changes = readLimit + 10
	for i := range changes {
		log.records = append(log.records, control.EncodeChange(control.Change{
			ID: fmt.Sprint(i), From: int64(i - 1), Author: "op", Edits: []config.Edit{putTeam("t", float64(i+1))},
		}))
	}
	var revisions []int64
	state, err := c.Read(context.Background(), func(cfg *config.Config) { revisions = append(revisions, cfg.Revision()) })
	if err != nil {
		t.Fatal(err)
	}
	if len(revisions) != changes || !slices.IsSorted(revisions) || state.Config().Revision() != changes-1 {
		t.Errorf("got %d revisions, the last %d, want one for each change, in order", len(revisions), state.Config().Revision())
	}
}

func putTeam(name string, quota float64) config.Edit {
	return config.Edit{Put: &config.Object{Team: &config.Team{Name: name, Quota: quota}}}
}

func fold(t *testing.T, c *config.Config, edits ...config.Edit) *config.Config {
	t.Helper()
	next, err := c.Fold(c.Revision()+1, edits)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestMerge(t *testing.T) {
	base := fold(t, config.Empty(), putTeam("a", 1), putTeam("b", 1))
	deleteA := config.Edit{Delete: &config.Key{Kind: config.KindTeam, Name: "a"}}
	tests := []struct {
		name      string
		theirs    []config.Edit
		mine      config.Edit
		edits     int
		conflicts int
	}{
		{"nothing in between", nil, putTeam("a", 2), 1, 0},
		{"another object in between", []config.Edit{putTeam("b", 2)}, putTeam("a", 2), 1, 0},
		{"same object in between", []config.Edit{putTeam("a", 3)}, putTeam("a", 2), 0, 1},
		{"same edit in between", []config.Edit{putTeam("a", 2)}, putTeam("a", 2), 0, 0},
		{"deleted in between", []config.Edit{deleteA}, putTeam("a", 2), 0, 1},
		{"changed before a deletion", []config.Edit{putTeam("a", 3)}, deleteA, 0, 1},
		{"deleted by both", []config.Edit{deleteA}, deleteA, 0, 0},
		{"created by both", []config.Edit{putTeam("c", 1)}, putTeam("c", 2), 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			current := base
			if tt.theirs != nil {
				current = fold(t, base, tt.theirs...)
			}
			m := &Merge{Base: base, Edits: []config.Edit{tt.mine}}
			if got := len(m.Edit(current)); got != tt.edits || len(m.Conflicts) != tt.conflicts {
				t.Errorf("got %d edits and conflicts %v, want %d edits and %d conflicts", got, m.Conflicts, tt.edits, tt.conflicts)
			}
		})
	}
}
