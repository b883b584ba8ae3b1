package ownership

import (
	"strconv"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

// confirmRankDelay is the extra delay per rank before an agent appends a
// confirmation. The rank is the agent's position, counted from 0, in the order
// of rankDelay.
const confirmRankDelay = time.Second

// confirmRetryInterval is how long an agent waits to read its own confirmation
// back from the log before it appends another.
const confirmRetryInterval = 10 * time.Second

// confirmation holds when this process next appends a confirmation of the
// change of the agent set at offset.
type confirmation struct {
	offset    int64
	appendAt  time.Duration
	scheduled bool
}

// DueConfirmation returns the confirmation record that this process should
// append now, or false when none is due. Call it on each timer tick.
func (t *Tracker) DueConfirmation(now clock.Now) ([]byte, bool) {
	offset, ok := t.confirmableOffset()
	if !ok {
		t.nextConfirmation.scheduled = false
		return nil, false
	}
	if !t.nextConfirmation.scheduled || t.nextConfirmation.offset != offset {
		t.nextConfirmation = confirmation{offset: offset, appendAt: now.Mono + t.rankDelay(), scheduled: true}
	}
	if now.Mono < t.nextConfirmation.appendAt {
		return nil, false
	}
	t.nextConfirmation.appendAt = now.Mono + confirmRetryInterval
	return control.EncodeConfirm(offset+1, t.config.Self), true
}

// confirmableOffset returns the offset of the last unconfirmed change of the
// agent set, if a majority of agents is known to have applied it.
func (t *Tracker) confirmableOffset() (int64, bool) {
	if !t.joined || !t.state.Synced() {
		return 0, false
	}
	offset, ok := t.state.UnconfirmedOffset()
	if !ok || !t.majorityApplied(offset) {
		return 0, false
	}
	return offset, true
}

// rankDelay returns how long this agent waits before it appends a confirmation.
// It orders the agents by rendezvous hashing, so that their delays differ and
// usually only one of them appends.
func (t *Tracker) rankDelay() time.Duration {
	key := "confirm " + strconv.FormatInt(t.state.ConfirmedOffset(), 10)
	position := rendezvous.Position(key, t.state.Agents(), t.config.Self.ID)
	return time.Duration(position) * confirmRankDelay
}
