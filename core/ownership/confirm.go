package ownership

import (
	"strconv"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

// confirmStep is how much longer each next agent in rank order waits before it
// appends a confirmation.
const confirmStep = time.Second

// confirmRetry is how long an agent waits for its own confirmation to be read.
const confirmRetry = 10 * time.Second

// confirmation schedules the confirmation of one change of the agent set.
type confirmation struct {
	offset int64
	at     time.Duration
	active bool
}

// Confirm returns the confirmation record that this process should append now.
// It reports false when none is due. Call it on each timer tick.
func (t *Tracker) Confirm(now clock.Now) ([]byte, bool) {
	offset, ok := t.confirmable()
	if !ok {
		t.confirm.active = false
		return nil, false
	}
	if !t.confirm.active || t.confirm.offset != offset {
		t.confirm = confirmation{offset: offset, at: now.Mono + t.confirmDelay(), active: true}
	}
	if now.Mono < t.confirm.at {
		return nil, false
	}
	t.confirm.at = now.Mono + confirmRetry
	return control.EncodeConfirm(offset+1, t.config.Self), true
}

// confirmable returns the offset of the last change of the agent set when a
// majority is known to have read it.
func (t *Tracker) confirmable() (int64, bool) {
	if !t.joined || !t.state.Synced() {
		return 0, false
	}
	offset, ok := t.state.UnconfirmedOffset()
	if !ok || !t.majorityRead(offset) {
		return 0, false
	}
	return offset, true
}

// confirmDelay spreads the agents, so that as a rule one of them appends.
func (t *Tracker) confirmDelay() time.Duration {
	key := "confirm " + strconv.FormatInt(t.state.ConfirmedOffset(), 10)
	position := rendezvous.Position(key, t.state.Agents(), t.config.Self.ID)
	return time.Duration(position) * confirmStep
}
