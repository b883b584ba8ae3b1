// Package config holds the operators' configuration: typed objects with
// labels, folded from edits into an immutable Config.
package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// NoRevision is the revision before the first change.
const NoRevision = -1

// Config is the folded configuration. It is immutable and safe for concurrent
// use.
type Config struct {
	revision int64
	objects  map[Key]Object
	// outs are the selectors of the Out objects that name no domain.
	outs []label.Selector
}

// Rule says which upstreams may run a task.
type Rule struct {
	// Route is the name of the route that matched. It is empty when no route is
	// configured.
	Route string

	upstreams label.Selector
	config    *Config
}

// Empty returns the configuration before the first change.
func Empty() *Config {
	return &Config{revision: NoRevision, objects: make(map[Key]Object)}
}

// Fold returns the configuration after the edits of the change at offset
// revision. It fails, with no effect, when an edit is invalid or two edits
// touch one object.
func (c *Config) Fold(revision int64, edits []Edit) (*Config, error) {
	if len(edits) > MaxEdits {
		return nil, fmt.Errorf("%d edits, at most %d", len(edits), MaxEdits)
	}
	return c.FoldAll(revision, edits)
}

// FoldAll is Fold without a limit on the number of edits.
func (c *Config) FoldAll(revision int64, edits []Edit) (*Config, error) {
	objects := maps.Clone(c.objects)
	seen := make(map[Key]bool, len(edits))
	for _, e := range edits {
		if err := e.Validate(); err != nil {
			return nil, fmt.Errorf("%v: %w", e.Key(), err)
		}
		key := e.Key()
		if seen[key] {
			return nil, fmt.Errorf("%v: edited twice", key)
		}
		seen[key] = true
		if e.Put != nil {
			objects[key] = *e.Put
		} else {
			delete(objects, key)
		}
	}
	return build(revision, objects), nil
}

func build(revision int64, objects map[Key]Object) *Config {
	c := &Config{revision: revision, objects: objects}
	for _, key := range c.Keys() {
		if out := objects[key].Out; out != nil && out.Domain == "" {
			c.outs = append(c.outs, out.Selector)
		}
	}
	return c
}

// Revision returns the offset of the last accepted change, or -1.
func (c *Config) Revision() int64 { return c.revision }

// Keys returns the keys of all objects in order.
func (c *Config) Keys() []Key {
	return slices.SortedFunc(maps.Keys(c.objects), Key.Compare)
}

// Object returns the object of the given key.
func (c *Config) Object(key Key) (Object, bool) {
	o, ok := c.objects[key]
	return o, ok
}

// union returns the keys of both configurations in order.
func union(a, b *Config) []Key {
	keys := append(a.Keys(), b.Keys()...)
	slices.SortFunc(keys, Key.Compare)
	return slices.Compact(keys)
}

// Team returns the team of the given name.
func (c *Config) Team(name string) (Team, bool) {
	o, ok := c.objects[Key{KindTeam, name}]
	if !ok {
		return Team{}, false
	}
	return *o.Team, true
}

// Match returns the rule of the first route that selects a task. The selector
// sees the task's labels and the reserved keys "team" and "class". Without any
// route every task matches a rule that allows all. It reports false when no
// route matches.
func (c *Config) Match(team string, class job.Class, labels label.Set) (Rule, bool) {
	o, ok := c.objects[Key{Kind: KindRoutes}]
	if !ok || len(o.Routes.Routes) == 0 {
		return Rule{config: c}, true
	}
	view := taskView{team: team, class: class, labels: labels}
	for _, r := range o.Routes.Routes {
		if matches(r.Tasks, &view) {
			return Rule{Route: r.Name, upstreams: r.Upstreams, config: c}, true
		}
	}
	return Rule{}, false
}

// Allows reports whether the rule's upstream selector matches the effective
// labels of p: those announced, overridden by those that operators gave to the
// domain, the worker and the upstream, in this order, and the reserved keys
// "domain", "worker" and "upstream". The zero Rule allows nothing.
func (r Rule) Allows(p Place) bool {
	if r.config == nil {
		return false
	}
	return matches(r.upstreams, &placeView{config: r.config, place: p})
}

// Out reports whether the failure domain of p is taken out.
func (c *Config) Out(p Place) bool {
	if _, ok := c.objects[Key{KindOut, "name:" + p.Domain}]; ok {
		return true
	}
	if len(c.outs) == 0 {
		return false
	}
	view := domainView{config: c, domain: p.Domain}
	for _, sel := range c.outs {
		if matches(sel, &view) {
			return true
		}
	}
	return false
}

// Len returns the number of objects.
func (c *Config) Len() int { return len(c.objects) }
