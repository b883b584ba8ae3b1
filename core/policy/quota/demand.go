package quota

import (
	"math"
	"time"
)

// evenPart is the part of a rate that is always split evenly, so that an entry
// whose demand just begins is not refused everything.
const evenPart = 0.2

// demandWindow is the time constant of the demand estimate.
const demandWindow = 5 * time.Second

// Fraction returns the part of a team's rate that an entry with demand own
// holds, when the demand of all shares live entries is total. The parts of all
// entries add up to one if they use the same reports.
func Fraction(own, total float64, shares int) float64 {
	even := 1 / float64(max(shares, 1))
	if total <= 0 || own < 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*min(own/total, 1)
}

// demand estimates a rate of tasks with exponential forgetting.
type demand struct {
	perSecond float64
	last      time.Duration
}

func (d *demand) add(now time.Duration, tasks int) {
	d.perSecond = d.rate(now) + float64(tasks)/demandWindow.Seconds()
	d.last = max(d.last, now)
}

func (d *demand) rate(now time.Duration) float64 {
	age := max(now-d.last, 0)
	return d.perSecond * math.Exp(-age.Seconds()/demandWindow.Seconds())
}
