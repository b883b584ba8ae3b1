package sitestore

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// Decode decodes the published state from the operators' records as of a revision. Previous is
// the state decoded before, or nil. What cannot be decoded is in ignored, by the key of its
// record and the object; the state is nil if nothing can be stated without it.
type Decode func(records map[string][]byte, revision int64, previous *site.State) (state *site.State, ignored map[string]error)

// FollowSite returns a follower of the operators' records that passes each newer
// published state to onChange. It logs records that cannot be decoded; what they concern
// stays as before, and the other records are followed.
func FollowSite(operators Topic, decode Decode, wait time.Duration, logs *telemetry.Logger, onChange func(*site.State)) *Follower {
	var previous *site.State
	var log IgnoredLog
	return &Follower{
		Topic: operators, Name: "operators", Wait: wait, Logs: logs,
		OnChange: func(records map[string][]byte, end int64) {
			state, ignored := decode(records, end, previous)
			log.Log(logs, "operators", ignored)
			if state == nil {
				return
			}
			previous = state
			onChange(state)
		},
	}
}
