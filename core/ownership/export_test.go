package ownership

import "time"

// HasRemovalTakeOver reports whether the tracker holds a take-over from a removed
// agent.
func (t *Tracker) HasRemovalTakeOver() bool { return len(t.removalTakeOvers) > 0 }

// TakeOver is a take-over whose record a majority of agents has applied.
type TakeOver struct {
	Offset       int64
	UsableAt     time.Duration
	UsableAtWall int64
}

// TakeOvers returns the take-overs whose record a majority of agents has applied.
func (t *Tracker) TakeOvers() []TakeOver {
	var all []TakeOver
	if t.fullTakeOver != nil && t.fullTakeOver.majorityApplied {
		all = append(all, t.fullTakeOver.export())
	}
	for _, o := range t.removalTakeOvers {
		if o.majorityApplied {
			all = append(all, o.export())
		}
	}
	return all
}

func (o *takeOver) export() TakeOver {
	return TakeOver{Offset: o.offset, UsableAt: o.usableAt, UsableAtWall: o.usableAtWall}
}
