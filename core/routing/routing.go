// Package routing finds out which announced upstreams the configuration allows.
package routing

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// AllowsAny reports whether the rule allows at least one of upstreams, the
// local upstreams of the agent m. It allows none in a failure domain that is
// taken out.
func AllowsAny(cfg *config.Config, rule config.Rule, m control.Member, upstreams []message.Upstream) bool {
	for _, u := range upstreams {
		place := config.Place{Domain: m.Domain, Worker: m.Worker, Upstream: u.Name, Labels: u.Labels}
		if !cfg.TakenOut(place) && rule.Allows(place) {
			return true
		}
	}
	return false
}
