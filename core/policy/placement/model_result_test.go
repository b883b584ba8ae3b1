package placement

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

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

// modelResult holds what a run measured. The ratios are of the response time
// over the service time of urgent tasks.
type modelResult struct {
	ratios []float64
	// after holds the ratios of urgent tasks that arrive two seconds after the
	// burst or later.
	after []float64
	// normal is the sum of the ratios of the other tasks.
	normal                        float64
	tasks, remote, refused, ended int
	lost, onReturn                int
	shed                          map[job.Class]int
}

func quantile(v []float64, q float64) float64 {
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}
