// Package sitestore keeps a copy of records in the platform's store: the operators'
// records and the addresses of agents. It decides when to read and which answers to
// accept; a Topic only sends the calls.
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

// ErrTrimmed is returned by a read whose offset is before the oldest retained record.
var ErrTrimmed = errors.New("the records have been deleted")

// Record is one record of a topic. An empty value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Topic is a compacted log: the newest record of each key is kept forever.
// Implementations are safe for concurrent use.
type Topic interface {
	// Newest returns the newest record of each key, and an end offset of the log. Records
	// from that offset on may be missing.
	Newest(ctx context.Context) (records []Record, end int64, err error)
	// Read returns the records from an offset on, and the end offset of the log. If there
	// are none yet, it waits for one for up to wait. It returns ErrTrimmed if records
	// from the offset on have been deleted.
	Read(ctx context.Context, from int64, wait time.Duration) (records []Record, end int64, err error)
	// Get returns the newest value of a key, or an empty value if there is none.
	Get(ctx context.Context, key string) ([]byte, error)
	// Put appends a record. If it returns an error, the record may still have been
	// appended.
	Put(ctx context.Context, key string, value []byte) error
}

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. The minimum
	// is a fraction of the 2 s within which a change must be in force. The maximum keeps
	// the calls of a large fleet during an outage far below the store's limit.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Follower keeps a copy of the newest record of each key of a topic.
type Follower struct {
	Topic Topic
	// Name is the name of the topic in log lines.
	Name string
	// Wait bounds how long a read waits for a record.
	Wait time.Duration
	// OnChange is called after each change with the newest record of each key and the
	// end offset of the log as of which they were read. The offset never decreases.
	OnChange func(records map[string][]byte, end int64)
	Logs     *telemetry.Logger

	// records holds the newest record of each key as of the offset end, and offsets those of
	// all records that were applied, including deletions. After the newest records were
	// read, some may be from offsets up to completeAt, while others are still missing.
	records         map[string][]byte
	offsets         map[string]int64
	end, completeAt int64
	// loaded is false until the newest records have been read, and again after
	// ErrTrimmed.
	loaded bool
	// failing is set while calls fail, and retryDelay is the delay after the last failure.
	failing    bool
	retryDelay time.Duration
}

// Run follows the topic until ctx ends. It retries failed calls.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(err)
			sleepJittered(ctx, f.retryDelay)
		}
	}
	return nil
}

// readOnce sends one call to the topic and applies its answer.
func (f *Follower) readOnce(ctx context.Context) error {
	if !f.loaded {
		return f.loadNewest(ctx)
	}
	records, end, err := f.Topic.Read(ctx, f.end, f.Wait)
	if errors.Is(err, ErrTrimmed) {
		f.Logs.LogEvent("store_history_gone", "", []any{"topic", f.Name, "offset", f.end})
		f.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	f.recordSuccess()
	if end < f.end || len(records) == 0 {
		return nil
	}
	for _, r := range records {
		f.applyRecord(r)
	}
	f.end = records[len(records)-1].Offset + 1
	f.reportChange()
	return nil
}

// reportChange calls OnChange, unless records before completeAt are missing.
func (f *Follower) reportChange() {
	if f.end >= f.completeAt {
		f.OnChange(maps.Clone(f.records), f.end)
	}
}

// loadNewest replaces the copy by the newest records. It rejects an answer whose end
// offset is lower than that of the copy.
func (f *Follower) loadNewest(ctx context.Context) error {
	records, end, err := f.Topic.Newest(ctx)
	if err != nil {
		return err
	}
	f.recordSuccess()
	if end < f.end {
		return errors.Errorf("the store answered as of offset %d, but the records as of offset %d are already known", end, f.end)
	}
	f.records, f.offsets = make(map[string][]byte, len(records)), make(map[string]int64, len(records))
	f.loaded, f.end, f.completeAt = true, end, end
	for _, r := range records {
		f.applyRecord(r)
		f.completeAt = max(f.completeAt, r.Offset+1)
	}
	f.reportChange()
	return nil
}

// applyRecord applies a record, unless a newer one of the same key was applied.
func (f *Follower) applyRecord(r Record) {
	if at, ok := f.offsets[r.Key]; ok && r.Offset < at {
		return
	}
	f.offsets[r.Key] = r.Offset
	if len(r.Value) == 0 {
		delete(f.records, r.Key)
		return
	}
	f.records[r.Key] = r.Value
}

// recordFailure lengthens the delay and logs the first failure of an outage.
func (f *Follower) recordFailure(err error) {
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	if !f.failing {
		f.failing = true
		f.Logs.LogEvent("store_lost", "", []any{"topic", f.Name, "offset", f.end, "err", err})
	}
}

// recordSuccess resets the delay and logs the end of an outage.
func (f *Follower) recordSuccess() {
	f.retryDelay = 0
	if f.failing {
		f.failing = false
		f.Logs.LogEvent("store_regained", "", []any{"topic", f.Name, "offset", f.end})
	}
}

// sleepJittered waits for a random time between d/2 and 3d/2, or until ctx ends.
func sleepJittered(ctx context.Context, d time.Duration) { lifecycle.Wait(d/2+rand.N(d), ctx.Done()) }

// PutWithRetry puts a record and retries until that succeeds or ctx ends. It logs events
// whose names are eventPrefix followed by _published or _not_published.
func PutWithRetry(ctx context.Context, t Topic, eventPrefix, key string, value []byte, logs *telemetry.Logger) error {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		err := t.Put(ctx, key, value)
		if err == nil {
			logs.LogEvent(eventPrefix+"_published", "", []any{"key", key})
			return nil
		}
		logs.LogEvent(eventPrefix+"_not_published", "", []any{"key", key, "err", err})
		sleepJittered(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
	return nil
}
