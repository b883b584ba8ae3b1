package config

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// Limits of a single object, and MaxEdits of a single change.
const (
	MaxNameBytes    = 128
	MaxLabels       = 32
	MaxRequirements = 32
	MaxValues       = 256
	MaxRoutes       = 1000
	MaxEdits        = 5000
)

// The reserved label keys. Their values are computed during matching; operators
// cannot set labels with these keys.
const (
	ReservedDomain   = "domain"
	ReservedWorker   = "worker"
	ReservedUpstream = "upstream"
	ReservedTeam     = "team"
	ReservedClass    = "class"
)

var reservedKeys = []string{ReservedDomain, ReservedWorker, ReservedUpstream, ReservedTeam, ReservedClass}

// Validate returns the errors found in the edit, joined.
func (e Edit) Validate() error {
	switch {
	case e.Put != nil && e.Delete != nil:
		return errors.New("edit both puts and deletes")
	case e.Put != nil:
		return e.Put.Validate()
	case e.Delete == nil:
		return errors.New("edit is empty")
	case !slices.Contains(kinds, e.Delete.Kind):
		return fmt.Errorf("unknown kind %q", e.Delete.Kind)
	default:
		return nil
	}
}

var kinds = []Kind{KindDomain, KindWorker, KindUpstream, KindTeam, KindRoutes, KindTakeOut}

// Validate returns the errors found in the object, joined.
func (o Object) Validate() error {
	if n := o.countSetFields(); n != 1 {
		return fmt.Errorf("object has %d kinds, want 1", n)
	}
	switch {
	case o.Domain != nil:
		return errors.Join(validateName(o.Domain.Name), validateLabels(o.Domain.Labels))
	case o.Worker != nil:
		return errors.Join(validateName(o.Worker.Name), validateLabels(o.Worker.Labels))
	case o.Upstream != nil:
		return errors.Join(validateName(o.Upstream.Name), validateLabels(o.Upstream.Labels))
	case o.Team != nil:
		return o.Team.validate()
	case o.Routes != nil:
		return o.Routes.validate()
	default:
		return o.TakeOut.validate()
	}
}

// countSetFields returns how many fields of the object are set.
func (o Object) countSetFields() int {
	n := 0
	for _, set := range []bool{o.Domain != nil, o.Worker != nil, o.Upstream != nil, o.Team != nil, o.Routes != nil, o.TakeOut != nil} {
		if set {
			n++
		}
	}
	return n
}

func (t *Team) validate() error {
	errs := []error{validateName(t.Name), validateLabels(t.Labels)}
	if t.Quota < 0 || math.IsNaN(t.Quota) || math.IsInf(t.Quota, 0) {
		errs = append(errs, fmt.Errorf("quota %v is not a finite number of at least 0", t.Quota))
	}
	if t.Class != "" && !slices.Contains(job.Classes, t.Class) {
		errs = append(errs, fmt.Errorf("unknown class %q", t.Class))
	}
	return errors.Join(errs...)
}

func (r *Routes) validate() error {
	if len(r.Routes) > MaxRoutes {
		return fmt.Errorf("%d routes, at most %d", len(r.Routes), MaxRoutes)
	}
	var errs []error
	names := make(map[string]bool)
	for _, route := range r.Routes {
		if names[route.Name] {
			errs = append(errs, fmt.Errorf("route %q is given twice", route.Name))
		}
		names[route.Name] = true
		err := errors.Join(validateName(route.Name), ValidateSelector(route.Tasks), ValidateSelector(route.Upstreams))
		if err != nil {
			errs = append(errs, fmt.Errorf("route %q: %w", route.Name, err))
		}
	}
	return errors.Join(errs...)
}

func (o *TakeOut) validate() error {
	if (o.Domain == "") == (len(o.Selector) == 0) {
		return errors.New("out needs either a domain or a selector")
	}
	if o.Domain != "" {
		return validateName(o.Domain)
	}
	return ValidateSelector(o.Selector)
}

func validateName(name string) error {
	if name == "" {
		return errors.New("name is empty")
	}
	if len(name) > MaxNameBytes {
		return fmt.Errorf("name has %d bytes, at most %d", len(name), MaxNameBytes)
	}
	for _, r := range name {
		if unicode.IsSpace(r) || !unicode.IsPrint(r) {
			return fmt.Errorf("name %q has a space or an unprintable character", name)
		}
	}
	return nil
}

func validateLabels(labels label.Set) error {
	if len(labels) > MaxLabels {
		return fmt.Errorf("%d labels, at most %d", len(labels), MaxLabels)
	}
	for _, key := range reservedKeys {
		if _, ok := labels[key]; ok {
			return fmt.Errorf("label key %q is reserved", key)
		}
	}
	for key, value := range labels {
		if key == "" || len(key) > MaxNameBytes || len(value) > MaxNameBytes {
			return fmt.Errorf("label %q is empty or longer than %d bytes", key, MaxNameBytes)
		}
	}
	return nil
}

// ValidateSelector returns the first error found in a selector.
func ValidateSelector(sel label.Selector) error {
	if len(sel) > MaxRequirements {
		return fmt.Errorf("%d requirements, at most %d", len(sel), MaxRequirements)
	}
	for _, r := range sel {
		if err := validateRequirement(r); err != nil {
			return fmt.Errorf("requirement on %q: %w", r.Key, err)
		}
	}
	return nil
}

// grammarChars are the characters with a meaning in the text form of a selector.
// Keys and values must not contain them.
const grammarChars = " ,()!=<>"

func validateRequirement(r label.Requirement) error {
	switch {
	case r.Key == "":
		return errors.New("key is empty")
	case strings.ContainsAny(r.Key, grammarChars):
		return errors.New("key has a character of the selector grammar")
	case r.Operator == label.Exists || r.Operator == label.NotExists:
		if len(r.Values) > 0 {
			return errors.New("operator takes no values")
		}
		return nil
	case r.Operator != label.In && r.Operator != label.NotIn:
		return fmt.Errorf("unknown operator %q", r.Operator)
	case len(r.Values) == 0:
		return errors.New("values are missing")
	case len(r.Values) > MaxValues:
		return fmt.Errorf("%d values, at most %d", len(r.Values), MaxValues)
	case strings.ContainsAny(strings.Join(r.Values, ""), grammarChars):
		return errors.New("a value has a character of the selector grammar")
	case !slices.IsSorted(r.Values):
		return errors.New("values are not sorted")
	default:
		return nil
	}
}
