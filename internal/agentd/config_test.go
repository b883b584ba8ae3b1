package agentd

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// TestOutageLimitReachesTheCore guards against an outage limit that stands in the
// settings but is not passed to the core.
func TestOutageLimitReachesTheCore(t *testing.T) {
	s := settings.DefaultAgent()
	if got := (&Config{Settings: s}).coreConfig(node.Ref{}, "").OutageLimit; got != 0 {
		t.Errorf("the default outage limit is %v, want 0", got)
	}
	s.Timing.OutageLimit = settings.OutageLimit(time.Hour)
	if got := (&Config{Settings: s}).coreConfig(node.Ref{}, "").OutageLimit; got != time.Hour {
		t.Errorf("the outage limit is %v, want 1h", got)
	}
}
