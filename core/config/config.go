// Package config holds the operators' configuration: typed objects, most of them
// with labels, that edits add, replace or delete. Each set of edits results in a
// new, immutable Config.
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

// Config is the configuration at one revision. It is immutable and safe for
// concurrent use.
type Config struct {
	revision int64
	objects  map[Key]Object
	// outSelectors are the selectors of the TakeOut objects that name no domain.
	outSelectors []label.Selector
}

// Rule selects the upstreams that may run a task.
type Rule struct {
	// Route is the name of the route that matched the task. It is empty when no
	// routes are configured.
	Route string

	upstreams label.Selector
	config    *Config
}

// Empty returns the configuration before the first change.
func Empty() *Config {
	return &Config{revision: NoRevision, objects: make(map[Key]Object)}
}

// Fold returns the configuration after the edits of the change at offset
// revision. It returns an error when there are more than MaxEdits edits, when an
// edit is invalid, or when two edits have the same key.
func (c *Config) Fold(revision int64, edits []Edit) (*Config, error) {
	if len(edits) > MaxEdits {
		return nil, fmt.Errorf("%d edits, at most %d", len(edits), MaxEdits)
	}
	return c.FoldWithoutLimit(revision, edits)
}

// FoldWithoutLimit is Fold without the limit on the number of edits. A snapshot
// may hold more objects than one change may edit.
func (c *Config) FoldWithoutLimit(revision int64, edits []Edit) (*Config, error) {
	objects := maps.Clone(c.objects)
	edited := make(map[Key]bool, len(edits))
	for _, e := range edits {
		if err := e.Validate(); err != nil {
			return nil, fmt.Errorf("%v: %w", e.Key(), err)
		}
		key := e.Key()
		if edited[key] {
			return nil, fmt.Errorf("%v: edited twice", key)
		}
		edited[key] = true
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
		if out := objects[key].TakeOut; out != nil && out.Domain == "" {
			c.outSelectors = append(c.outSelectors, out.Selector)
		}
	}
	return c
}

// Revision returns the offset of the last accepted change, or NoRevision (-1).
func (c *Config) Revision() int64 { return c.revision }

// Keys returns the keys of all objects, ordered by Key.Compare.
func (c *Config) Keys() []Key {
	return slices.SortedFunc(maps.Keys(c.objects), Key.Compare)
}

// Object returns the object with the given key.
func (c *Config) Object(key Key) (Object, bool) {
	o, ok := c.objects[key]
	return o, ok
}

// keyUnion returns the keys of the objects of both configurations, ordered by
// Key.Compare.
func keyUnion(a, b *Config) []Key {
	keys := append(a.Keys(), b.Keys()...)
	slices.SortFunc(keys, Key.Compare)
	return slices.Compact(keys)
}

// Team returns the team with the given name.
func (c *Config) Team(name string) (Team, bool) {
	o, ok := c.objects[Key{KindTeam, name}]
	if !ok {
		return Team{}, false
	}
	return *o.Team, true
}

// Match returns the rule of the first route whose task selector matches a task.
// Selectors are evaluated on the task's labels and the reserved keys "team" and
// "class". When no routes are configured, Match returns a rule that allows every
// upstream. It reports false when there are routes, but none matches.
func (c *Config) Match(team string, class job.Class, labels label.Set) (Rule, bool) {
	o, ok := c.objects[Key{Kind: KindRoutes}]
	if !ok || len(o.Routes.Routes) == 0 {
		return Rule{config: c}, true
	}
	lookup := taskLabels{team: team, class: class, labels: labels}
	for _, r := range o.Routes.Routes {
		if matches(r.Tasks, &lookup) {
			return Rule{Route: r.Name, upstreams: r.Upstreams, config: c}, true
		}
	}
	return Rule{}, false
}

// Allows reports whether the rule's upstream selector matches the effective
// labels of p. The labels that operators gave to the upstream override those of
// the worker, these override those of the domain, and these override the labels
// that the upstream announced. The reserved keys "domain", "worker" and
// "upstream" hold the names in p. The zero Rule allows nothing.
func (r Rule) Allows(p Place) bool {
	if r.config == nil {
		return false
	}
	return matches(r.upstreams, &placeLabels{config: r.config, place: p})
}

// TakenOut reports whether operators have taken out the failure domain of p.
func (c *Config) TakenOut(p Place) bool {
	if _, ok := c.objects[Key{KindTakeOut, "name:" + p.Domain}]; ok {
		return true
	}
	if len(c.outSelectors) == 0 {
		return false
	}
	lookup := domainLabels{config: c, domain: p.Domain}
	for _, sel := range c.outSelectors {
		if matches(sel, &lookup) {
			return true
		}
	}
	return false
}

// Len returns the number of objects in the configuration.
func (c *Config) Len() int { return len(c.objects) }
