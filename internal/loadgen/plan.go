package loadgen

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Burst raises the rate of arrivals for a while.
type Burst struct {
	Start, Length time.Duration
	// Factor multiplies the rate.
	Factor float64
}

// CancelWave cancels jobs in flight.
type CancelWave struct {
	// At is when the wave begins, Every when it repeats; zero is no repeat.
	At, Every time.Duration
	// Share is the share of the jobs in flight that are cancelled.
	Share float64
}

// Config holds what a plan is made from.
type Config struct {
	Seed     uint64
	Duration time.Duration
	Mix      Mix
	// Load is the offered work as a share of Slots.
	Load  float64
	Slots int
	// MaxJobs ends the plan early when it is not zero.
	MaxJobs int
	// ResubmitShare is the share of jobs that are submitted once more, through
	// another entry, before their answer has come.
	ResubmitShare float64
	Burst         Burst
	Cancel        CancelWave
}

// IDSource says where a job's ID comes from.
type IDSource string

// The sources of job IDs.
const (
	// Minted IDs come from an entry in batches.
	Minted IDSource = "minted"
	// UUID IDs are made by the client.
	UUID IDSource = "uuid"
	// Absent leaves the ID to the entry; such a job cannot be submitted again.
	Absent IDSource = "absent"
)

// Shares of the sources of IDs; the rest is UUID.
const (
	mintedShare = 0.5
	absentShare = 0.1
)

// Arrival is one job of a plan.
type Arrival struct {
	// At is the intended arrival since the start of the run.
	At     time.Duration
	Kind   *Kind
	Source IDSource
	// Payloads has one payload per task, unlike all others of the plan.
	Payloads [][]byte
	// Longest is the duration of the longest task.
	Longest time.Duration
	// Route draws the entries that the job goes through.
	Route uint64
	// Resubmit is when the job is submitted again after its arrival. Zero is
	// never.
	Resubmit time.Duration
	// Cancel is when the caller cancels the job. Zero is never.
	Cancel time.Duration
}

// NewPlan draws the arrivals of a run. The same config gives the same plan.
func NewPlan(cfg Config) []Arrival {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	mean := cfg.Mix.meanWork()
	jobsPerSecond := cfg.Load * float64(cfg.Slots) / mean.Seconds()
	var plan []Arrival
	at := time.Duration(0)
	for {
		rate := jobsPerSecond * cfg.Burst.factor(at)
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		full := cfg.MaxJobs > 0 && len(plan) >= cfg.MaxJobs
		if at >= cfg.Duration || full {
			return plan
		}
		plan = append(plan, cfg.arrival(rng, len(plan), at))
	}
}

// factor returns the factor of the rate at one time.
func (b Burst) factor(at time.Duration) float64 {
	if at >= b.Start && at < b.Start+b.Length {
		return b.Factor
	}
	return 1
}

func (cfg *Config) arrival(rng *rand.Rand, n int, at time.Duration) Arrival {
	a := Arrival{At: at, Kind: cfg.Mix.pick(rng), Source: drawSource(rng), Route: rng.Uint64()}
	for i, d := range a.Kind.tasks(rng) {
		a.Payloads = append(a.Payloads, payload(cfg.Seed, n, i, d))
		a.Longest = max(a.Longest, d)
	}
	resubmits := rng.Float64() < cfg.ResubmitShare
	delay := time.Duration(rng.Int64N(int64(a.Longest) + 1))
	if resubmits && a.Source != Absent {
		a.Resubmit = max(delay, 1)
	}
	a.Cancel = cfg.Cancel.draw(rng, at, a.Longest)
	return a
}

func drawSource(rng *rand.Rand) IDSource {
	switch x := rng.Float64(); {
	case x < mintedShare:
		return Minted
	case x < mintedShare+absentShare:
		return Absent
	default:
		return UUID
	}
}

// draw returns when the job that arrives at and runs for about length is
// cancelled: in the first wave that finds it in flight, if it is chosen.
func (w CancelWave) draw(rng *rand.Rand, at, length time.Duration) time.Duration {
	chosen := rng.Float64() < w.Share
	if !chosen || w.At == 0 {
		return 0
	}
	wave := w.At
	for wave <= at && w.Every > 0 {
		wave += w.Every
	}
	if wave <= at || wave > at+length {
		return 0
	}
	return wave - at
}

func payload(seed uint64, n, task int, d time.Duration) []byte {
	return fmt.Appendf(nil, `{"ms":%d,"tag":"%x-%d-%d"}`, d.Milliseconds(), seed, n, task)
}
