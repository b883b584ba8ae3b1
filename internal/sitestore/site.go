package sitestore

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// Decode returns the published state in the operators' records, as of a revision.
type Decode func(records map[string][]byte, revision int64) (*site.State, error)

// FollowSite returns a follower of the operators' records that hands each newer
// published state to take. Records that can't be read leave the former state.
func FollowSite(operators Topic, decode Decode, wait time.Duration, logs *telemetry.Logger, take func(*site.State)) *Follower {
	return &Follower{
		Topic: operators, Name: "operators", Wait: wait, Logs: logs,
		OnChange: func(records map[string][]byte, end int64) {
			state, err := decode(records, end)
			if err != nil {
				logs.Error(err, "the published state can't be read; the former one stays in force", "revision", end)
				return
			}
			take(state)
		},
	}
}
