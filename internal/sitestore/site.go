package sitestore

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// Decode decodes the published state from the operators' records as of a revision.
type Decode func(records map[string][]byte, revision int64) (*site.State, error)

// FollowSite returns a follower of the operators' records that passes each newer
// published state to onChange. If the records cannot be decoded, it logs an error and
// does not call onChange, so that the previous state stays in force.
func FollowSite(operators Topic, decode Decode, wait time.Duration, logs *telemetry.Logger, onChange func(*site.State)) *Follower {
	return &Follower{
		Topic: operators, Name: "operators", Wait: wait, Logs: logs,
		OnChange: func(records map[string][]byte, end int64) {
			state, err := decode(records, end)
			if err != nil {
				logs.Error(err, "cannot decode the published state; the previous one stays in force", "revision", end)
				return
			}
			onChange(state)
		},
	}
}
