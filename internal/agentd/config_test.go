package agentd

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

func TestSettingsReachTheCore(t *testing.T) {
	s := settings.DefaultAgent()
	if got := (&Config{Settings: s}).core(node.Ref{}, "").OutageLimit; got != 0 {
		t.Errorf("the default outage limit is %v", got)
	}
	s.Timing.OutageLimit = settings.OutageLimit(time.Hour)
	if got := (&Config{Settings: s}).core(node.Ref{}, "").OutageLimit; got != time.Hour {
		t.Errorf("the outage limit is %v, want 1h", got)
	}
}
