package lessee

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/containment"
)

const (
	// crashRetention is how long a crash is reported to dispatchers that have not
	// acknowledged it, such as new ones: several times the pause before a resubmission.
	crashRetention = 10 * time.Second
	// maxCrashedRuns limits the runs that a report of a crash lists.
	maxCrashedRuns = 24
)

// crash is an unplanned end of the upstream while it had runs.
type crash struct {
	number uint64
	at     time.Duration
	sign   liveness.Sign
	runs   []message.CrashedRun
}

// recordCrash records that the upstream has crashed and returns the reason for the loss of
// its runs. It does nothing if the upstream had no runs or was about to leave. The crash is
// dated at the time at of its first sign, so that crashes with one cause have about the same
// date, however long the leases last. The ages of the runs count up to aliveAt, when the
// upstream was last known to run.
func (c *Core) recordCrash(sign liveness.Sign, at, aliveAt time.Duration) message.RefuseReason {
	leaving := c.upstream.draining || c.upstream.withdrawn
	if len(c.runs) == 0 || leaving || c.upstream.phase != open {
		return ""
	}
	recorded := crash{number: c.lastCrash + 1, at: at, sign: sign}
	for _, r := range c.runs {
		recorded.runs = append(recorded.runs, message.CrashedRun{Task: r.name, Route: r.route, Age: max(0, aliveAt-r.startedAt)})
	}
	slices.SortFunc(recorded.runs, func(a, b message.CrashedRun) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	recorded.runs = recorded.runs[:min(len(recorded.runs), maxCrashedRuns)]
	c.lastCrash = recorded.number
	c.crashes = append(c.crashes, recorded)
	c.logEvent("upstream_crashed", "", "upstream", c.upstream.id, "born", c.upstream.incarnation, "crash", recorded.number, "sign", sign, "runs", len(c.runs),
		"last_started", recorded.runs[0].Task.String(), "last_started_ms_ago", recorded.runs[0].Age.Milliseconds())
	return message.LostUpstreamCrashed
}

// reportCrashes sends a heartbeat to each dispatcher that does not know of a recent crash.
// It precedes the reports of the lost runs, so that dispatchers know of the crash when they
// place the tasks again.
func (c *Core) reportCrashes() {
	for _, h := range c.holderOrder {
		if len(c.unknownCrashes(h)) > 0 {
			c.sendHeartbeat(h)
		}
	}
}

// proves reports whether an isolated run of another job excludes the offer: if the upstream
// crashed, either could be to blame.
func (c *Core) proves(m *message.Offer) bool {
	for _, r := range c.runs {
		excludes := r.isolation == message.Alone || m.Isolation == message.Alone && r.isolation == message.Isolated
		if excludes && r.name.Job != m.Task.Job && c.now.Mono-r.acceptedAt <= containment.StartWindow {
			return true
		}
	}
	return false
}

// unknownCrashes returns the recent crashes that h has not acknowledged.
func (c *Core) unknownCrashes(h *leaseHolder) []message.Crash {
	var list []message.Crash
	for _, x := range c.crashes {
		if age := c.now.Mono - x.at; x.number > h.knownCrash && age <= crashRetention {
			list = append(list, message.Crash{Number: x.number, Age: age, Sign: x.sign, Runs: x.runs})
		}
	}
	return list
}

// forgetCrashes drops the crashes that are older than crashRetention.
func (c *Core) forgetCrashes() {
	c.crashes = slices.DeleteFunc(c.crashes, func(x crash) bool { return c.now.Mono-x.at > crashRetention })
}
