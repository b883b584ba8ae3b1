// Package placement chooses the executor that gets a task.
//
// A Picker sees candidates that have passed the label selectors. It corrects
// the last reported load of each by the tasks that this process has sent since.
// Pickers are not safe for concurrent use.
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
// its slots. Further tasks wait at their home, which can still place them
// anywhere.
const QueuePerSlot = 1

// RemoteQueue is the number of tasks that a process lets wait at another
// executor. It is less than what the executor accepts, since others send too.
// Urgent tasks wait only at an executor whose slots are all in use.
const RemoteQueue = 2

// rampTime is the time after which an executor in service gets its full share.
const rampTime = time.Second

// Candidate is one executor that may run the task.
type Candidate struct {
	Ref    node.Ref
	Domain string
	// Local marks the deciding process itself.
	Local bool
	// Near marks a candidate in the failure domain of a deciding process that is
	// not a candidate itself.
	Near bool
	// Load is the last report. Load.Slots is 0 when none has been received.
	Load message.Load
	// Sent is the number of tasks that this process has sent there and that
	// Load does not cover.
	Sent int
	// Age is the age of Load.
	Age time.Duration
	// Suspect marks an executor that is silent or on probation. It gets a task
	// only when no other executor has room.
	Suspect bool
	// Class is the class of the task to place. Empty is normal.
	Class job.Class
	// QueuedUrgent is the part of Load.Queued that is urgent, or zero when that
	// is not known.
	QueuedUrgent int
	// UpFor is how long the executor has been in service. Zero is unknown and
	// counts as long.
	UpFor time.Duration
}

// Picker chooses among candidates.
type Picker interface {
	// Name returns the name that New accepts.
	Name() string
	// Pick returns an index into cands, or -1 when none has room.
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

// Names lists the policies, baselines first.
var Names = []string{Random, RoundRobin, LeastLoad, TwoChoices, LocalFirst}

// UnknownError reports a policy name that New does not accept.
type UnknownError struct{ Name string }

// Error implements error.
func (e *UnknownError) Error() string {
	return "unknown placement policy " + strconv.Quote(e.Name)
}

// New returns the named policy. The same seed and candidates give the same
// choices.
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

// Free returns the number of slots of c that are free for the class of the
// task, never below zero. Urgent tasks overtake queued ones and may take the
// reserved slots.
func Free(c Candidate) int { return max(0, free(&c)) }

// Room returns the number of tasks that may be sent to c: its free slots and
// what is left of its allowed queue. It is never below zero.
func Room(c Candidate) int { return max(0, room(&c)) }

// AnyFree reports whether any candidate is known to have a free slot. An
// executor without one refuses an urgent task while another has, because a
// second message costs less than a place in the queue.
func AnyFree(cands []Candidate) bool {
	for i := range cands {
		c := &cands[i]
		if free(c) > 0 && !c.Load.Draining && !suspect(c) {
			return true
		}
	}
	return false
}

func free(c *Candidate) int { return usableSlots(c) - occupied(c) }

// usableSlots returns the number of slots that the class of the task may use.
func usableSlots(c *Candidate) int {
	if c.Class == job.Urgent {
		return c.Load.Slots
	}
	return c.Load.Slots - slots.DefaultReserve.Held(c.Load.Slots)
}

// occupied returns the number of tasks at c that go before the task.
func occupied(c *Candidate) int {
	if c.Class == job.Urgent {
		return c.Load.Busy + c.QueuedUrgent + c.Sent
	}
	return c.Load.Busy + c.Load.Queued + c.Sent
}

func room(c *Candidate) int {
	if c.Load.Draining || c.Load.Slots <= 0 {
		return 0
	}
	return min(free(c)+allowedQueue(c), rampRoom(c))
}

// rampRoom returns the number of tasks that may be sent to an executor that has
// come into service. All processes see its free slots at the same moment; each
// begins with one task and may have more under way as time passes.
func rampRoom(c *Candidate) int {
	if c.Local || c.UpFor <= 0 || c.UpFor >= rampTime {
		return math.MaxInt
	}
	return 1 + int(int64(c.Load.Slots)*int64(c.UpFor)/int64(rampTime)) - c.Sent
}

// allowedQueue returns the number of tasks that may wait at c.
func allowedQueue(c *Candidate) int {
	switch {
	case c.Local:
		return QueuePerSlot * c.Load.Slots
	case c.Class == job.Urgent && c.Load.Busy < c.Load.Slots:
		return 0
	default:
		return min(RemoteQueue, QueuePerSlot*c.Load.Slots)
	}
}

// suspect reports whether c should get a task only as a last resort.
func suspect(c *Candidate) bool { return c.Suspect || c.Load.Failing }

// usable reports whether c has room. Suspects count only on the last pass.
func usable(c *Candidate, lastPass bool) bool {
	return room(c) > 0 && (lastPass || !suspect(c))
}

// twoPasses calls pick without the suspects, and with them when that found
// nothing.
func twoPasses(pick func(lastPass bool) int) int {
	if i := pick(false); i >= 0 {
		return i
	}
	return pick(true)
}

// Spread places up to n tasks and returns the chosen index for each, fewer when
// the room runs out. It raises Sent of the chosen candidates.
func Spread(p Picker, cands []Candidate, n int) []int {
	out := make([]int, 0, n)
	for range n {
		i := p.Pick(cands)
		if i < 0 {
			break
		}
		cands[i].Sent++
		out = append(out, i)
	}
	return out
}
