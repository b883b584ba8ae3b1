package config

import (
	"strings"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// Domain holds the labels that operators give to a failure domain.
type Domain struct {
	Name   string    `json:"name"`
	Labels label.Set `json:"labels,omitempty"`
}

// Worker holds the labels that operators give to a worker.
type Worker struct {
	Name   string    `json:"name"`
	Labels label.Set `json:"labels,omitempty"`
}

// Upstream holds the labels that operators give to an upstream.
type Upstream struct {
	Name   string    `json:"name"`
	Labels label.Set `json:"labels,omitempty"`
}

// Team holds the settings of a team that submits jobs.
type Team struct {
	Name string `json:"name"`
	// Quota limits the task starts per second. Zero means no limit.
	Quota float64 `json:"quota,omitempty"`
	// Class is the class of those jobs of the team that do not name a class.
	Class  job.Class `json:"class,omitempty"`
	Labels label.Set `json:"labels,omitempty"`
}

// Route allows the tasks that the selector Tasks matches to run on the upstreams
// that the selector Upstreams matches.
type Route struct {
	Name      string         `json:"name"`
	Tasks     label.Selector `json:"tasks,omitempty"`
	Upstreams label.Selector `json:"upstreams,omitempty"`
}

// Routes is the ordered list of all routes. It is one object, because a route
// applies only to the tasks that no route before it matches.
type Routes struct {
	Routes []Route `json:"routes"`
}

// TakeOut takes out the failure domain with the name Domain or, when Domain is
// empty, every failure domain that Selector matches. The selector is evaluated on
// the labels that operators gave to the domain and on the reserved key "domain".
type TakeOut struct {
	Domain   string         `json:"domain,omitempty"`
	Selector label.Selector `json:"selector,omitempty"`
}

// Place identifies an upstream and the worker and failure domain that it runs in.
// Labels are those that the upstream announced.
type Place struct {
	Domain   string
	Worker   string
	Upstream string
	Labels   label.Set
}

// Key returns the key of the object. It is derived from the domain or the
// selector, so that taking out the same domains twice does not make two objects.
func (o *TakeOut) Key() Key {
	if o.Domain != "" {
		return Key{KindTakeOut, "name:" + o.Domain}
	}
	return Key{KindTakeOut, "labels:" + SelectorString(o.Selector)}
}

// SelectorString returns the selector in its text form, for example "a=x,!b".
func SelectorString(sel label.Selector) string {
	terms := make([]string, len(sel))
	for i, r := range sel {
		terms[i] = requirementString(r)
	}
	return strings.Join(terms, ",")
}

func requirementString(r label.Requirement) string {
	switch {
	case r.Operator == label.Exists:
		return r.Key
	case r.Operator == label.NotExists:
		return "!" + r.Key
	case r.Operator == label.In && len(r.Values) == 1:
		return r.Key + "=" + r.Values[0]
	case r.Operator == label.NotIn && len(r.Values) == 1:
		return r.Key + "!=" + r.Values[0]
	default:
		return r.Key + " " + string(r.Operator) + " (" + strings.Join(r.Values, ",") + ")"
	}
}
