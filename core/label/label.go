// Package label holds label sets and parsed label selectors.
//
// The text form of selectors is parsed outside the core; this package only
// evaluates parsed requirements.
package label

import "slices"

// Set maps label keys to values.
type Set map[string]string

// Operator is the condition that a Requirement sets for the value of a key.
type Operator string

// The operators of requirements.
const (
	In        Operator = "in"
	NotIn     Operator = "notin"
	Exists    Operator = "exists"
	NotExists Operator = "!"
)

// Requirement is one condition of a selector. Values is sorted; it is empty for
// Exists and NotExists.
type Requirement struct {
	Key      string   `json:"key"`
	Operator Operator `json:"op"`
	Values   []string `json:"values,omitempty"`
}

// Selector is a list of requirements that must all hold. An empty selector matches
// every set.
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

// matches reports whether r holds for s.
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
