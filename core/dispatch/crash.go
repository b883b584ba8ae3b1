package dispatch

import (
	"fmt"
	"strings"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// maxLoggedRuns limits the runs that the log line of a crash lists.
const maxLoggedRuns = 6

// handleCrashes processes the crashes of an agent's upstream that were not known yet.
func (c *Core) handleCrashes(a *agent, crashes []message.Crash) {
	for i := range crashes {
		crash := &crashes[i]
		if crash.Number <= a.knownCrash {
			continue
		}
		a.knownCrash = crash.Number
		c.stats.Crashes++
		c.logEvent("upstream_crashed", "", "agent", a.ref.String(), "crash", crash.Number, "runs", len(crash.Runs),
			"last_started", describeRuns(crash.Runs))
	}
}

// describeRuns lists the tasks that were started last, each with its age at the crash.
func describeRuns(runs []message.CrashedRun) string {
	var b strings.Builder
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		fmt.Fprintf(&b, "%s@%dms ", r.Task, r.Age.Milliseconds())
	}
	return strings.TrimSpace(b.String())
}
