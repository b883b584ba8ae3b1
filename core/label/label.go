// Package label holds label sets and parsed label selectors.
//
// Parsing of the textual grammar is done outside the core; this package only
// evaluates requirements.
package label

import "slices"

// Set maps label keys to values.
type Set map[string]string

// Operator is the relation that a Requirement states.
type Operator string

// The operators of the selector grammar.
const (
	In        Operator = "in"
	NotIn     Operator = "notin"
	Exists    Operator = "exists"
	NotExists Operator = "!"
)

// Requirement is one term of a selector. Values is sorted and is empty for
// Exists and NotExists.
type Requirement struct {
	Key      string   `json:"key"`
	Operator Operator `json:"op"`
	Values   []string `json:"values,omitempty"`
}

// Selector is a conjunction of requirements. The empty selector matches all
// sets.
type Selector []Requirement

// Matches reports whether every requirement holds for s. NotIn also holds when
// the key is absent.
func (sel Selector) Matches(s Set) bool {
	for _, r := range sel {
		if !r.matches(s) {
			return false
		}
	}
	return true
}

func (r Requirement) matches(s Set) bool {
	v, ok := s[r.Key]
	switch r.Operator {
	case In:
		return ok && slices.Contains(r.Values, v)
	case NotIn:
		return !ok || !slices.Contains(r.Values, v)
	case Exists:
		return ok
	case NotExists:
		return !ok
	default:
		return false
	}
}
