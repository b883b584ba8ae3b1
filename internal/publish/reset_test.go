package publish

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
)

// lostBeginning is a log that has dropped its first record.
func lostBeginning(f ...fault) *fakeLog {
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
		{"log up", lostBeginning(), nil, 3},
		{"reply lost", lostBeginning(replyLost), nil, 3},
		{"append lost", lostBeginning(lost), nil, 3},
		{"refused", lostBeginning(refused), nil, 3},
		{"log down at first", &fakeLog{records: lostBeginning().records, oldest: 1, readErrors: 1}, nil, 3},
		{"nothing lost", &fakeLog{records: lostBeginning().records}, ErrComplete, 2},
		{"empty", &fakeLog{}, ErrComplete, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			offset, err := (&Client{Log: tt.log}).Reset(context.Background(), "op")
			if !errors.Is(err, tt.want) || err == nil && offset != 2 {
				t.Errorf("offset %d, error %v, want %v", offset, err, tt.want)
			}
			if len(tt.log.records) != tt.records {
				t.Errorf("%d records, want %d", len(tt.log.records), tt.records)
			}
			if _, err := (&Client{Log: tt.log}).Read(context.Background(), nil); err != nil {
				t.Errorf("the stream is not complete: %v", err)
			}
		})
	}
}

// TestResetYieldsToARecordInBetween checks that a reset whose offset another
// record has taken is made anew.
func TestResetYieldsToARecordInBetween(t *testing.T) {
	log := lostBeginning(overtaken)
	if offset, err := (&Client{Log: log}).Reset(context.Background(), "op"); err != nil || offset != 4 {
		t.Errorf("offset %d, error %v", offset, err)
	}
}

func TestResetThatCannotBeLookedUpIsUndecided(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := (&Client{Log: lostBeginning(lost)}).Reset(ctx, "op"); !errors.Is(err, ErrUndecided) {
		t.Errorf("error %v", err)
	}
}
