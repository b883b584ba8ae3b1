package publish

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
)

// truncatedLog returns a log of two records whose first one retention has deleted. Its
// next appends fail with the faults f.
func truncatedLog(f ...fault) *fakeLog {
	leave := control.EncodeLeave(self, 0)
	return &fakeLog{records: [][]byte{leave, leave}, oldest: 1, appends: f}
}

func TestReset(t *testing.T) {
	tests := []struct {
		name    string
		log     *fakeLog
		want    error
		records int
	}{
		{"log up", truncatedLog(), nil, 3},
		{"reply lost", truncatedLog(replyLost), nil, 3},
		{"append lost", truncatedLog(lost), nil, 3},
		{"refused", truncatedLog(refused), nil, 3},
		{"log down at first", &fakeLog{records: truncatedLog().records, oldest: 1, readErrors: 1}, nil, 3},
		{"nothing lost", &fakeLog{records: truncatedLog().records}, ErrComplete, 2},
		{"empty", &fakeLog{}, ErrComplete, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			offset, err := (&Client{Log: tt.log}).Reset(context.Background(), "op")
			if !errors.Is(err, tt.want) || err == nil && offset != 2 {
				t.Errorf("got offset %d, error %v, want error %v, and offset 2 without an error", offset, err, tt.want)
			}
			if len(tt.log.records) != tt.records {
				t.Errorf("got %d records, want %d", len(tt.log.records), tt.records)
			}
			if _, err := (&Client{Log: tt.log}).Read(context.Background(), nil); err != nil {
				t.Errorf("got error %v from reading the stream, want none", err)
			}
		})
	}
}

// TestResetIsRepeatedAfterAnotherRecord checks that a reset is appended again for a
// new offset when another record was appended at its offset first.
func TestResetIsRepeatedAfterAnotherRecord(t *testing.T) {
	log := truncatedLog(overtaken)
	if offset, err := (&Client{Log: log}).Reset(context.Background(), "op"); err != nil || offset != 4 {
		t.Errorf("got offset %d, error %v, want offset 4", offset, err)
	}
}

func TestResetWithLostReplyAndFailedReadIsUndecided(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := (&Client{Log: truncatedLog(lost)}).Reset(ctx, "op"); !errors.Is(err, ErrUndecided) {
		t.Errorf("got error %v, want ErrUndecided", err)
	}
}
