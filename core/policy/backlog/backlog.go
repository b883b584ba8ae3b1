package backlog

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// arrivalShare is the share of the measured arrivals of more urgent demand that
	// a prediction counts as ahead, and waitShare the share of the predicted wait that must
	// pass the limit. Both are below 1 in favour of the caller: arrivals may end, and estimates
	// of long jobs that are too short make the rate too low. With 0.9 for both, 1 of 17,046 jobs
	// was refused in trials at 0.7 of the capacity, and none with these.
	arrivalShare, waitShare = 0.9, 0.75
	// arrivalSigmas is how far arrivals may exceed the usual ones by chance before a job that is
	// not late is given up: a wrong decision costs it most.
	arrivalSigmas = 2
	// minShare is the least share of the rate that counts as left for less urgent demand,
	// since a burst may end. In trials at 0.8 of the capacity, 0.1 refused twice as many jobs.
	minShare = 0.25
	// maxWait bounds predictions.
	maxWait = time.Minute
	// minRetry and maxRetry bound the time after which refused callers are asked back.
	// minSpread spreads them over several of the whole seconds that they are told.
	minRetry, maxRetry = time.Second, 30 * time.Second
	minSpread          = 3 * time.Second
)

// Forecast is a prediction of when a job starts, with its inputs.
type Forecast struct {
	// Wait is the time until the start.
	Wait time.Duration
	// Ahead is the demand that is placed before the job, and Rate the demand placed per second.
	Ahead int
	Rate  float64
}

// Exceeds reports whether the start is later than limit, a time from now, even if the job waits
// for only waitShare of the prediction.
func (f Forecast) Exceeds(limit time.Duration) bool {
	return time.Duration(float64(f.Wait)*waitShare) > limit
}

// Backlog predicts waits for one kind of capacity. The zero value is empty.
type Backlog struct {
	Queue
	Meter
}

// Forecast predicts the start of the job with this entry, which becomes late after becomesLate,
// a time from now, if it is on time. It reports false if there is no backlog or its rate is not
// known.
func (b *Backlog) Forecast(now time.Duration, e Entry, becomesLate time.Duration) (Forecast, bool) {
	rate, ok := b.Rate(now)
	if !ok || !b.backlogged {
		return Forecast{}, false
	}
	sigmas := 0.0
	if e.Class != Late {
		sigmas = arrivalSigmas
	}
	f := b.forecast(e, rate, sigmas)
	if e.Class == OnTime && f.Wait > becomesLate {
		e.Class = Late // By then, it is placed behind others.
		f = b.forecast(e, rate, sigmas)
	}
	return f, true
}

func (b *Backlog) forecast(e Entry, rate, sigmas float64) Forecast {
	below := e.Priority
	if e.Class == Late {
		below++ // Arrivals of its own priority are not late yet.
	}
	ahead := b.Ahead(e)
	return Forecast{Wait: seconds(float64(ahead) / b.left(rate, below, sigmas)), Ahead: ahead, Rate: rate}
}

// left returns the part of the rate that arrivals below this priority value leave.
func (b *Backlog) left(rate float64, below int, sigmas float64) float64 {
	if !b.sustained() {
		return rate
	}
	return max(rate-arrivalShare*b.arrivalRate(below, sigmas), minShare*rate)
}

// ForecastInTurn predicts the start of a job that is on time if no job before it becomes late.
// Its priority gets at least share of the rate, from 0 to 1. It reports false if there is no
// backlog or its rate is not known.
func (b *Backlog) ForecastInTurn(now time.Duration, e Entry, share float64) (Forecast, bool) {
	rate, ok := b.Rate(now)
	if !ok || !b.backlogged {
		return Forecast{}, false
	}
	moreUrgent, samePriority := b.InTurn(e)
	f := Forecast{Ahead: moreUrgent + samePriority, Rate: rate}
	f.Wait = seconds(float64(f.Ahead) / b.left(rate, e.Priority, arrivalSigmas))
	if share > 0 {
		f.Wait = min(f.Wait, seconds(float64(samePriority)/(share*rate)))
	}
	return f, true
}

// Drain predicts when the backlog of this priority and the more urgent ones will have been
// placed if nothing else arrives. It is zero if that is not known.
func (b *Backlog) Drain(now time.Duration, priority int) time.Duration {
	rate, ok := b.Rate(now)
	if !ok {
		return 0
	}
	return seconds(float64(b.Through(priority)) / rate)
}

// RetryAfter returns when a refused caller should try again, given when the backlog will have
// drained and how long the caller has waited. Callers are spread by the IDs of their jobs, so
// that they do not all return at once. Those who have waited longest return first.
func RetryAfter(drain, waited time.Duration, id string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(id))
	spread := float64(h.Sum32()) / math.MaxUint32 * float64(max(drain, minSpread))
	return min(max(drain+time.Duration(spread)-waited, minRetry), maxRetry)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
