package transport

import "sync/atomic"

// Stats counts what a Transport has carried since it was opened.
type Stats struct {
	EnvelopesIn, EnvelopesOut uint64
	MessagesIn, MessagesOut   uint64
	BytesIn, BytesOut         uint64
	// DroppedFull counts messages that found a full queue.
	DroppedFull uint64
	// DroppedNoAddress counts messages to a run without an address or connection.
	DroppedNoAddress uint64
	// DroppedCut counts messages dropped by Config.Cut.
	DroppedCut uint64
	// DroppedStale counts messages that waited too long for a connection.
	DroppedStale uint64
	// DroppedOther counts messages lost with a connection or too large to send.
	DroppedOther uint64
	// Misaddressed counts envelopes that arrived for another run.
	Misaddressed uint64
	// BadFrames counts connections closed because of what they sent.
	BadFrames uint64
}

// counters is the live form of Stats.
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
}

// Stats returns the counters.
func (t *Transport) Stats() Stats {
	c := &t.counters
	return Stats{
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
	}
}
