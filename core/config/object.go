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

// Team is a team that submits jobs.
type Team struct {
	Name string `json:"name"`
	// Quota is in task starts per second. Zero is unlimited.
	Quota float64 `json:"quota,omitempty"`
	// Class is the class of the team's jobs that name none.
	Class  job.Class `json:"class,omitempty"`
	Labels label.Set `json:"labels,omitempty"`
}

// Route sends the tasks that Tasks selects to the upstreams that Upstreams
// selects.
type Route struct {
	Name      string         `json:"name"`
	Tasks     label.Selector `json:"tasks,omitempty"`
	Upstreams label.Selector `json:"upstreams,omitempty"`
}

// Routes is the ordered list of all routes. It is one object, because the
// meaning of a route depends on those before it.
type Routes struct {
	Routes []Route `json:"routes"`
}

// Out takes failure domains out: the domain of the given name, or, when Domain
// is empty, every domain that Selector matches. A selector sees the labels that
// operators gave to the domain and the reserved key "domain".
type Out struct {
	Domain   string         `json:"domain,omitempty"`
	Selector label.Selector `json:"selector,omitempty"`
}

// Place is where an upstream sits. Labels are those that the upstream
// announced.
type Place struct {
	Domain   string
	Worker   string
	Upstream string
	Labels   label.Set
}

// Key returns the key of the object. It is a function of the domain or of the
// selector, so that taking the same domains out twice touches one object.
func (o *Out) Key() Key {
	if o.Domain != "" {
		return Key{KindOut, "name:" + o.Domain}
	}
	return Key{KindOut, "labels:" + SelectorString(o.Selector)}
}

// SelectorString returns the selector in the textual grammar.
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
