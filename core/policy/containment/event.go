package containment

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// sameEvent is the time within which crashes count as one towards the blame of routes: a
	// failure of several hosts is no evidence against what they ran.
	sameEvent = 50 * time.Millisecond
	// Crashes within sameEvent are taken to have a common cause from outside if they are
	// massCrashes or more and massShare or more of the upstreams of the service. Those under
	// one task, which moves from upstream to upstream, count as one.
	massCrashes = 3
	massShare   = 0.3
)

// event is the crashes of a service within sameEvent of the one that was reported first, at
// the time at.
type event struct {
	service string
	at      time.Duration
	// count is the number of crashes that have no blamed task in common with an earlier one,
	// blamed how often each task is blamed. mass is set once they are a mass event; crashes
	// holds the crashes until then, maxCrashRecords at most.
	count   int
	blamed  map[message.TaskName]int
	crashes []eventCrash
	mass    bool
}

// eventCrash is a crash of an event.
type eventCrash struct {
	// shares holds the shares of the blamed tasks, and counted is what the crash counts
	// towards the blame of routes.
	shares  map[message.TaskName]float64
	counted crashRecord
}

// recordEvent adds a crash to the event of its service, and clears the tasks of the blame if
// that is a mass event. It returns the cleared tasks. A task is cleared once, and not if it is
// blamed for several of the crashes: it may be what they have in common.
func (t *Tracker) recordEvent(at time.Duration, service string, upstreams int, x eventCrash) (cleared []message.TaskName) {
	e := t.eventOf(at, service)
	separate := true
	for name := range x.shares {
		separate = separate && e.blamed[name] == 0
		e.blamed[name]++
	}
	if separate {
		e.count++
	}
	if len(e.crashes) < maxCrashRecords {
		e.crashes = append(e.crashes, x)
	}
	e.mass = e.mass || e.count >= massCrashes && float64(e.count) >= massShare*float64(upstreams)
	if !e.mass {
		return nil
	}
	for _, o := range e.crashes {
		clear(o.counted.shares)
		clear(o.counted.jobs)
		for name, share := range o.shares {
			if e.blamed[name] == 1 && t.clearTask(name, share) {
				cleared = append(cleared, name)
			}
		}
	}
	e.crashes = nil
	return cleared
}

// eventOf returns the event of a crash, which may be older than those that are known: a
// dispatcher that has just started learns of recent crashes in any order.
func (t *Tracker) eventOf(at time.Duration, service string) *event {
	for _, e := range slices.Backward(t.events) {
		if e.service == service && (e.at-at).Abs() <= sameEvent {
			return e
		}
	}
	e := &event{service: service, at: at, blamed: make(map[message.TaskName]int)}
	t.events = append(t.events, e)
	return e
}

// clearTask takes the blame for one crash back from a task, unless that was done before.
func (t *Tracker) clearTask(name message.TaskName, share float64) bool {
	r, ok := t.tasks[name]
	if !ok || r.cleared {
		return false
	}
	before := r.verdict()
	r.cleared = true
	r.blamed--
	r.blame -= share
	if before == Condemned && r.verdict() != Condemned {
		decrement(t.condemnedJobs, name.Job)
		t.condemnations = slices.DeleteFunc(t.condemnations, func(x condemnation) bool { return x.task == name })
	}
	return true
}
