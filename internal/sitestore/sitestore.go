// Package sitestore follows what lasts in the platform's store: the operators'
// records and the addresses of agents. It decides when to read and what to
// believe; a Topic only carries calls.
package sitestore

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// ErrTrimmed says that records from the offset of a read on are no longer held.
var ErrTrimmed = errors.New("the records have been deleted")

// Record is one record of a topic. Without a value it removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Topic is a log of records with keys of which the newest record of each key is
// kept for ever. Implementations are safe for concurrent use.
type Topic interface {
	// Newest returns the newest record of each key and the end of the log, at or
	// before which they were read.
	Newest(ctx context.Context) (records []Record, end int64, err error)
	// Read returns the records from an offset on, and the end. At the end of the
	// log it waits up to wait for a record. Its error may be ErrTrimmed.
	Read(ctx context.Context, from int64, wait time.Duration) (records []Record, end int64, err error)
	// Get returns the newest value of a key. Without one the value is empty.
	Get(ctx context.Context, key string) ([]byte, error)
	// Put appends a record. After an error it may have been appended.
	Put(ctx context.Context, key string, value []byte) error
}

const (
	// minRetry and maxRetry bound the pause after a failed call. They keep the calls
	// of a large fleet during an outage far below what the store permits, and the
	// first retry within a fraction of the 2 s for a change to be in force.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
)

// Follower keeps the newest record of each key of a topic.
type Follower struct {
	Topic Topic
	// Name names the topic in the log.
	Name string
	// Wait is how long a read waits for a record.
	Wait time.Duration
	// OnChange is called after each change, with the newest records and the offset up to
	// which they hold. The offset never goes back.
	OnChange func(records map[string][]byte, end int64)
	Logs     *telemetry.Logger

	records map[string][]byte
	end     int64
	known   bool
	failing bool
	retry   time.Duration
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.round(ctx); err != nil && ctx.Err() == nil {
			f.failed(err)
			pause(ctx, f.retry)
		}
	}
	return nil
}

// round makes one call and takes in what it brings.
func (f *Follower) round(ctx context.Context) error {
	if !f.known {
		return f.load(ctx)
	}
	records, end, err := f.Topic.Read(ctx, f.end, f.Wait)
	if errors.Is(err, ErrTrimmed) {
		f.Logs.LogEvent("store_history_gone", "", []any{"topic", f.Name, "offset", f.end})
		f.known = false
		return nil
	}
	if err != nil {
		return err
	}
	f.recovered()
	if end < f.end || len(records) == 0 {
		return nil
	}
	for _, r := range records {
		f.apply(r)
	}
	f.end = records[len(records)-1].Offset + 1
	f.OnChange(maps.Clone(f.records), f.end)
	return nil
}

// load reads the newest records, unless the answer is older than what is held.
func (f *Follower) load(ctx context.Context) error {
	records, end, err := f.Topic.Newest(ctx)
	if err != nil {
		return err
	}
	f.recovered()
	if end < f.end {
		return errors.Errorf("the store answered as of offset %d, before %d", end, f.end)
	}
	f.records = make(map[string][]byte, len(records))
	for _, r := range records {
		f.apply(r)
		end = max(end, r.Offset+1)
	}
	f.known, f.end = true, end
	f.OnChange(maps.Clone(f.records), f.end)
	return nil
}

func (f *Follower) apply(r Record) {
	if len(r.Value) == 0 {
		delete(f.records, r.Key)
		return
	}
	f.records[r.Key] = r.Value
}

func (f *Follower) failed(err error) {
	f.retry = min(max(2*f.retry, minRetry), maxRetry)
	if !f.failing {
		f.failing = true
		f.Logs.LogEvent("store_lost", "", []any{"topic", f.Name, "offset", f.end, "err", err})
	}
}

func (f *Follower) recovered() {
	f.retry = 0
	if f.failing {
		f.failing = false
		f.Logs.LogEvent("store_regained", "", []any{"topic", f.Name, "offset", f.end})
	}
}

// pause waits for d, spread by half, or for the end of ctx.
func pause(ctx context.Context, d time.Duration) { lifecycle.Wait(d/2+rand.N(d), ctx.Done()) }

// PutWithRetry puts a record and retries until that has succeeded or ctx ends. The events
// that it logs begin with what.
func PutWithRetry(ctx context.Context, t Topic, what, key string, value []byte, logs *telemetry.Logger) error {
	retry := minRetry
	for ctx.Err() == nil {
		err := t.Put(ctx, key, value)
		if err == nil {
			logs.LogEvent(what+"_published", "", []any{"key", key})
			return nil
		}
		logs.LogEvent(what+"_not_published", "", []any{"key", key, "err", err})
		pause(ctx, retry)
		retry = min(2*retry, maxRetry)
	}
	return nil
}
