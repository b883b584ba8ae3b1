package transport

import "sync/atomic"

// Stats holds the counts of a Transport since it was opened.
type Stats struct {
	EnvelopesIn  uint64 `json:"envelopes_in"`
	EnvelopesOut uint64 `json:"envelopes_out"`
	MessagesIn   uint64 `json:"messages_in"`
	MessagesOut  uint64 `json:"messages_out"`
	BytesIn      uint64 `json:"bytes_in"`
	BytesOut     uint64 `json:"bytes_out"`
	// DroppedFull counts messages dropped because the queue was full.
	DroppedFull uint64 `json:"dropped_full"`
	// DroppedNoAddress counts messages to an incarnation without an address or
	// connection.
	DroppedNoAddress uint64 `json:"dropped_no_address"`
	// DroppedCut counts messages dropped by Config.Cut.
	DroppedCut uint64 `json:"dropped_cut"`
	// DroppedStale counts messages that waited too long for a connection.
	DroppedStale uint64 `json:"dropped_stale"`
	// DroppedOther counts messages lost with a connection or too large to send.
	DroppedOther uint64 `json:"dropped_other"`
	// Misaddressed counts received envelopes that were addressed to another process or
	// incarnation.
	Misaddressed uint64 `json:"misaddressed"`
	// BadFrames counts connections closed because the peer sent invalid data.
	BadFrames uint64 `json:"bad_frames"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// Kinds counts messages by kind.
	Kinds []KindCount `json:"kinds"`
}

// counters holds the counts that Stats reports, updated concurrently.
type counters struct {
	envelopesIn, envelopesOut atomic.Uint64
	messagesIn, messagesOut   atomic.Uint64
	bytesIn, bytesOut         atomic.Uint64
	droppedFull               atomic.Uint64
	droppedNoAddress          atomic.Uint64
	droppedCut                atomic.Uint64
	droppedStale              atomic.Uint64
	droppedOther              atomic.Uint64
	misaddressed              atomic.Uint64
	badFrames                 atomic.Uint64
	sent, received            kindCounters
}

// Stats returns the current counts.
func (t *Transport) Stats() Stats {
	c := &t.counters
	t.mu.Lock()
	open := len(t.conns)
	t.mu.Unlock()
	return Stats{
		Connections:      open,
		EnvelopesIn:      c.envelopesIn.Load(),
		EnvelopesOut:     c.envelopesOut.Load(),
		MessagesIn:       c.messagesIn.Load(),
		MessagesOut:      c.messagesOut.Load(),
		BytesIn:          c.bytesIn.Load(),
		BytesOut:         c.bytesOut.Load(),
		DroppedFull:      c.droppedFull.Load(),
		DroppedNoAddress: c.droppedNoAddress.Load(),
		DroppedCut:       c.droppedCut.Load(),
		DroppedStale:     c.droppedStale.Load(),
		DroppedOther:     c.droppedOther.Load(),
		Misaddressed:     c.misaddressed.Load(),
		BadFrames:        c.badFrames.Load(),
		Kinds:            kindCounts(c.sent, c.received),
	}
}
