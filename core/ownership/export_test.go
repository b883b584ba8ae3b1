package ownership

import "time"

// Follows reports whether the tracker holds a take-over from another node.
func (t *Tracker) Follows() bool { return len(t.removed) > 0 }

// TakeOver shows a take-over that a majority has read.
type TakeOver struct {
	Offset     int64
	Usable     time.Duration
	UsableWall int64
}

// TakeOvers returns the take-overs that a majority has read.
func (t *Tracker) TakeOvers() []TakeOver {
	var all []TakeOver
	if t.whole != nil && t.whole.majority {
		all = append(all, t.whole.show())
	}
	for _, o := range t.removed {
		if o.majority {
			all = append(all, o.show())
		}
	}
	return all
}

func (o *takeOver) show() TakeOver {
	return TakeOver{Offset: o.offset, Usable: o.usable, UsableWall: o.usableWall}
}
