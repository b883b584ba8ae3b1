package placement

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// modelEvent calls do at the virtual time at. Events of the same time are ordered
// by seq.
type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// modelEvents is a heap of events, earliest first.
type modelEvents []modelEvent

func (e modelEvents) Len() int      { return len(e) }
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e *modelEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// modelResult holds the measurements of a run of the model. A ratio is the
// response time of a task divided by its service time.
type modelResult struct {
	// ratios holds the ratios of urgent tasks.
	ratios []float64
	// afterBurst holds the ratios of urgent tasks that arrive more than two seconds
	// after the burst.
	afterBurst []float64
	// normalSum is the sum of the ratios of the other tasks.
	normalSum                         float64
	tasks, remote, refused, completed int
	// lost counts the tasks that the failing node failed. refusedOnReturn
	// counts the refusals in the two seconds after nodes came into service.
	lost, refusedOnReturn int
	// shed counts the tasks of refused jobs.
	shed map[job.Class]int
}

// quantile returns quantile q of v, and sorts v.
func quantile(v []float64, q float64) float64 {
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}
