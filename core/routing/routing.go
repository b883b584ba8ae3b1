// Package routing evaluates the configuration against announced upstreams.
package routing

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// AllowsAny reports whether the rule allows one of the upstreams beside the
// agent m, outside the failure domains that are taken out.
func AllowsAny(cfg *config.Config, rule config.Rule, m control.Member, ups []message.Upstream) bool {
	for _, u := range ups {
		place := config.Place{Domain: m.Domain, Worker: m.Worker, Upstream: u.Name, Labels: u.Labels}
		if !cfg.Out(place) && rule.Allows(place) {
			return true
		}
	}
	return false
}
