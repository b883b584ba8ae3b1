package config

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// labelLookup looks up effective labels one by one, so that matching a selector
// does not need to build the merged set of labels.
type labelLookup interface {
	value(key string) (string, bool)
}

// matches reports whether the selector matches the labels of v.
func matches(sel label.Selector, v labelLookup) bool {
	for i := range sel {
		var set label.Set
		if value, ok := v.value(sel[i].Key); ok {
			set = label.Set{sel[i].Key: value}
		}
		if !sel[i : i+1].Matches(set) {
			return false
		}
	}
	return true
}

// taskLabels looks up the labels of a task.
type taskLabels struct {
	team   string
	class  job.Class
	labels label.Set
}

func (v *taskLabels) value(key string) (string, bool) {
	switch key {
	case ReservedTeam:
		return v.team, true
	case ReservedClass:
		return string(v.class), true
	default:
		value, ok := v.labels[key]
		return value, ok
	}
}

// domainLabels looks up the labels that operators gave to a failure domain.
type domainLabels struct {
	config *Config
	domain string
}

func (v *domainLabels) value(key string) (string, bool) {
	if key == ReservedDomain {
		return v.domain, true
	}
	return v.config.label(Key{KindDomain, v.domain}, key)
}

// placeLabels looks up the effective labels of an upstream at a place.
type placeLabels struct {
	config *Config
	place  Place
}

func (v *placeLabels) value(key string) (string, bool) {
	switch key {
	case ReservedDomain:
		return v.place.Domain, true
	case ReservedWorker:
		return v.place.Worker, true
	case ReservedUpstream:
		return v.place.Upstream, true
	}
	if value, ok := v.config.label(Key{KindUpstream, v.place.Upstream}, key); ok {
		return value, true
	}
	if value, ok := v.config.label(Key{KindWorker, v.place.Worker}, key); ok {
		return value, true
	}
	if value, ok := v.config.label(Key{KindDomain, v.place.Domain}, key); ok {
		return value, true
	}
	value, ok := v.place.Labels[key]
	return value, ok
}

// label returns the value of a label that operators gave to an object.
func (c *Config) label(object Key, key string) (string, bool) {
	o, ok := c.objects[object]
	if !ok {
		return "", false
	}
	value, ok := o.labels()[key]
	return value, ok
}

func (o Object) labels() label.Set {
	switch {
	case o.Domain != nil:
		return o.Domain.Labels
	case o.Worker != nil:
		return o.Worker.Labels
	case o.Upstream != nil:
		return o.Upstream.Labels
	case o.Team != nil:
		return o.Team.Labels
	default:
		return nil
	}
}
