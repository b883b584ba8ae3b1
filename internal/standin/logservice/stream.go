package logservice

import "time"

// entry is a record and the time of its append.
type entry struct {
	record     []byte
	appendedAt time.Time
}

// stream holds the records of one stream. Service.mu guards it.
type stream struct {
	// oldest is the offset of entries[0].
	oldest  int64
	entries []entry
	// changed is closed and replaced when waiting reads must check the stream and the
	// faults again.
	changed chan struct{}
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// end returns the offset of the next append.
func (st *stream) end() int64 { return st.oldest + int64(len(st.entries)) }

func (st *stream) wakeReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *stream) append(record []byte, now time.Time) int64 {
	offset := st.end()
	st.entries = append(st.entries, entry{record: record, appendedAt: now})
	st.wakeReaders()
	return offset
}

// retain drops the oldest records that exceed a bound. Zero is no bound.
func (st *stream) retain(maxRecords int, maxAge time.Duration, now time.Time) {
	n := 0
	if maxRecords > 0 {
		n = max(0, len(st.entries)-maxRecords)
	}
	for maxAge > 0 && n < len(st.entries) && now.Sub(st.entries[n].appendedAt) > maxAge {
		n++
	}
	st.entries = st.entries[n:]
	st.oldest += int64(n)
}

// read returns up to limit records, starting at offset from, and the offset of the
// first. It moves from into the range of offsets that the stream holds.
func (st *stream) read(from int64, limit int) (int64, [][]byte) {
	from = min(max(from, st.oldest), st.end())
	rest := st.entries[from-st.oldest:]
	rest = rest[:min(limit, len(rest))]
	records := make([][]byte, len(rest))
	for i := range rest {
		records[i] = rest[i].record
	}
	return from, records
}
