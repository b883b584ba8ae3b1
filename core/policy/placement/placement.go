// Package placement chooses the executor to which a task is sent.
//
// A Picker chooses among candidates that match the label selectors of the task.
// To the last reported load of each candidate it adds the tasks that this process
// has sent there since. Pickers are not safe for concurrent use.
package placement

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/slots"
)

// QueuePerSlot is the number of tasks that may wait at an executor for each of
// its slots. Further tasks wait at their home, which can still send them to any
// executor.
const QueuePerSlot = 1

// RemoteQueueLimit is the number of tasks that may wait at the executor of another
// process. It is less than what the executor accepts, because other processes
// send tasks there too. Urgent tasks may wait only at an executor whose slots are
// all in use.
const RemoteQueueLimit = 2

// rampTime is how long an executor must be in service before a process may send
// it as many tasks as it has capacity for.
const rampTime = time.Second

// Candidate is one executor that may run the task.
type Candidate struct {
	Ref    node.Ref
	Domain string
	// Local marks the deciding process itself.
	Local bool
	// SameDomain marks a candidate in the failure domain of the deciding
	// process. It is set only when the deciding process is not a candidate
	// itself.
	SameDomain bool
	// Load is the last load report. Load.Slots is 0 when none has been received.
	Load message.Load
	// UnreportedTasks is the number of tasks that this process has sent to the
	// executor and that Load does not include yet.
	UnreportedTasks int
	// LoadAge is the age of Load.
	LoadAge time.Duration
	// Suspect marks an executor that is unresponsive or on probation. It gets a
	// task only when no other executor has free capacity.
	Suspect bool
	// Class is the class of the task to place. Empty means normal.
	Class job.Class
	// QueuedUrgent is the number of urgent tasks in Load.Queued, or zero when it
	// is not known.
	QueuedUrgent int
	// InServiceFor is how long the executor has been in service. Zero means
	// unknown and is treated as longer than rampTime.
	InServiceFor time.Duration
}

// Picker chooses among candidates.
type Picker interface {
	// Name returns the name that New accepts.
	Name() string
	// Pick returns an index into cands, or -1 when no candidate has free capacity.
	Pick(cands []Candidate) int
}

// The names that New accepts. Default is used for an empty name.
const (
	Random     = "random"
	RoundRobin = "round-robin"
	LeastLoad  = "least-load"
	TwoChoices = "two-choices"
	LocalFirst = "local-first"
	Default    = LocalFirst
)

// Names lists the policies: the baselines first, the default last.
var Names = []string{Random, RoundRobin, LeastLoad, TwoChoices, LocalFirst}

// UnknownError reports a policy name that New does not accept.
type UnknownError struct{ Name string }

// Error implements error.
func (e *UnknownError) Error() string {
	return "unknown placement policy " + strconv.Quote(e.Name)
}

// New returns the named policy. Its choices depend only on seed and the
// candidates.
func New(name string, seed uint64) (Picker, error) {
	rng := rand.New(rand.NewPCG(seed, seed))
	switch name {
	case Random:
		return &random{rng: rng}, nil
	case RoundRobin:
		return &roundRobin{}, nil
	case LeastLoad:
		return &leastLoad{rng: rng}, nil
	case TwoChoices:
		return &twoChoices{rng: rng}, nil
	case LocalFirst, "":
		return &localFirst{rng: rng}, nil
	default:
		return nil, &UnknownError{Name: name}
	}
}

// FreeSlots returns the number of slots of c that are free for the class of the
// task. It is never negative. An urgent task overtakes queued tasks of lower
// classes and may use the reserved slots.
func FreeSlots(c Candidate) int { return max(0, freeSlots(&c)) }

// FreeCapacity returns the free capacity of c: the number of tasks that may be sent
// there, to free slots and to the rest of its allowed queue. It is never
// negative.
func FreeCapacity(c Candidate) int { return max(0, freeCapacity(&c)) }

// AnyFreeSlot reports whether any candidate is known to have a free slot. An
// executor without a free slot refuses an urgent task while another executor has
// one, because sending the task again takes less time than waiting in the queue.
func AnyFreeSlot(cands []Candidate) bool {
	for i := range cands {
		c := &cands[i]
		if freeSlots(c) > 0 && !c.Load.Draining && !suspect(c) {
			return true
		}
	}
	return false
}

// freeSlots returns the number of usable slots minus the tasks at c, which may be
// negative.
func freeSlots(c *Candidate) int { return usableSlots(c) - tasksBefore(c) }

// usableSlots returns the number of slots that the class of the task may use.
func usableSlots(c *Candidate) int {
	if c.Class == job.Urgent {
		return c.Load.Slots
	}
	return c.Load.Slots - slots.DefaultReserve.ReservedSlots(c.Load.Slots)
}

// tasksBefore returns the number of tasks at c that are ahead of the task to place.
func tasksBefore(c *Candidate) int {
	if c.Class == job.Urgent {
		return c.Load.Busy + c.QueuedUrgent + c.UnreportedTasks
	}
	return c.Load.Busy + c.Load.Queued + c.UnreportedTasks
}

// freeCapacity returns the free capacity of c, which may be negative.
func freeCapacity(c *Candidate) int {
	if c.Load.Draining || c.Load.Slots <= 0 {
		return 0
	}
	return min(freeSlots(c)+allowedQueue(c), rampCapacity(c))
}

// rampCapacity limits the number of tasks that may be sent to an executor that has
// just come into service. All processes see its free slots at the same moment and
// would overfill it together. So each process sends one task at first, and the limit
// on its unreported tasks there rises during rampTime.
func rampCapacity(c *Candidate) int {
	if c.Local || c.InServiceFor <= 0 || c.InServiceFor >= rampTime {
		return math.MaxInt
	}
	return 1 + int(int64(c.Load.Slots)*int64(c.InServiceFor)/int64(rampTime)) - c.UnreportedTasks
}

// allowedQueue returns the number of tasks that may wait at c for a slot.
func allowedQueue(c *Candidate) int {
	switch {
	case c.Local:
		return QueuePerSlot * c.Load.Slots
	case c.Class == job.Urgent && c.Load.Busy < c.Load.Slots:
		return 0
	default:
		return min(RemoteQueueLimit, QueuePerSlot*c.Load.Slots)
	}
}

// suspect reports whether c may get a task only when no other candidate has free
// capacity.
func suspect(c *Candidate) bool { return c.Suspect || c.Load.Failing }

// usable reports whether c has free capacity. A suspect is usable only on the last
// pass.
func usable(c *Candidate, lastPass bool) bool {
	return freeCapacity(c) > 0 && (lastPass || !suspect(c))
}

// twoPasses calls pick without suspects, and if that returns -1, with suspects.
func twoPasses(pick func(lastPass bool) int) int {
	if i := pick(false); i >= 0 {
		return i
	}
	return pick(true)
}

// PickMany places up to n tasks and returns the chosen index for each. It
// returns fewer indexes when no candidate has free capacity any more. It
// increments UnreportedTasks of each chosen candidate.
func PickMany(p Picker, cands []Candidate, n int) []int {
	out := make([]int, 0, n)
	for range n {
		i := p.Pick(cands)
		if i < 0 {
			break
		}
		cands[i].UnreportedTasks++
		out = append(out, i)
	}
	return out
}
