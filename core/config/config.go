// Package config holds the operators' configuration: typed objects with
// labels, folded from edits into an immutable Config.
package config

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// Config is the folded configuration. It is immutable and safe for concurrent
// use.
type Config struct {
	revision int64
}

// Rule says which upstreams may run a task.
type Rule struct {
	// Route is the name of the route that matched. It is empty when no route is
	// configured.
	Route string

	upstreams label.Selector
	config    *Config
}

// Revision returns the offset of the last accepted change, or -1.
func (c *Config) Revision() int64 { return c.revision }

// Team returns the team of the given name.
func (c *Config) Team(name string) (Team, bool) { return Team{}, false }

// Match returns the rule of the first route that selects a task. The selector
// sees the task's labels and the reserved keys "team" and "class". Without any
// route every task matches a rule that allows all. It reports false when no
// route matches.
func (c *Config) Match(team string, class job.Class, labels label.Set) (Rule, bool) {
	return Rule{}, false
}

// Allows reports whether the rule's upstream selector matches the effective
// labels of p.
func (r Rule) Allows(p Place) bool { return false }

// Out reports whether the failure domain of p is taken out.
func (c *Config) Out(p Place) bool { return false }
