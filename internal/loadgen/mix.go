package loadgen

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// JobType describes one type of job in a Mix.
type JobType struct {
	Name  string
	Team  string
	Class job.Class
	// Weight is the frequency of this type relative to the weights of the other types.
	Weight float64
	// MinTasks and MaxTasks bound the number of tasks.
	MinTasks, MaxTasks int
	// MinTaskDuration and MaxTaskDuration bound the duration of most tasks. The duration
	// is distributed uniformly on a logarithmic scale.
	MinTaskDuration, MaxTaskDuration time.Duration
	// LongTaskShare is the share of tasks whose duration is between MaxTaskDuration and
	// LongTaskDuration.
	LongTaskShare    float64
	LongTaskDuration time.Duration
	// Timeout is the time from the intended arrival to the deadline.
	Timeout time.Duration
	// Idempotent is the caller's declaration that tasks may run more than once.
	Idempotent bool
	// Labels are the labels of each task.
	Labels label.Set
	// NeverRuns is true if no upstream can run these tasks.
	NeverRuns bool
}

// Mix is a set of job types.
type Mix []JobType

// drawJobType draws a job type by weight.
func (m Mix) drawJobType(rng *rand.Rand) *JobType {
	var total float64
	for i := range m {
		total += m[i].Weight
	}
	x := rng.Float64() * total
	for i := range m {
		x -= m[i].Weight
		if x < 0 {
			return &m[i]
		}
	}
	return &m[len(m)-1]
}

// drawTaskDurations draws the number and durations of a job's tasks.
func (t *JobType) drawTaskDurations(rng *rand.Rand) []time.Duration {
	n := t.MinTasks + rng.IntN(t.MaxTasks-t.MinTasks+1)
	durations := make([]time.Duration, n)
	for i := range durations {
		if rng.Float64() < t.LongTaskShare {
			durations[i] = logUniform(rng, t.MaxTaskDuration, t.LongTaskDuration)
		} else {
			durations[i] = logUniform(rng, t.MinTaskDuration, t.MaxTaskDuration)
		}
	}
	return durations
}

// logUniform draws a duration between low and high, rounded to milliseconds.
func logUniform(rng *rand.Rand, low, high time.Duration) time.Duration {
	x := math.Exp(rng.Float64() * math.Log(float64(high)/float64(low)))
	return time.Duration(float64(low) * x).Round(time.Millisecond)
}

// workSamples is the number of jobs from which meanWork estimates the mean.
const workSamples = 20000

// meanWork estimates the mean total duration of the tasks of a job.
func (m Mix) meanWork() time.Duration {
	rng := rand.New(rand.NewPCG(1, 2))
	var sum time.Duration
	for range workSamples {
		for _, d := range m.drawJobType(rng).drawTaskDurations(rng) {
			sum += d
		}
	}
	return sum / workSamples
}
