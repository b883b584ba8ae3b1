package settings

import (
	"cmp"
	"slices"
)

// LoadEntry reads and checks the settings file of an entry. The error is a
// Faults value.
func LoadEntry(path string) (Entry, error) {
	return loadEntry(readSource(path))
}

// LoadAgent reads and checks the settings file of an agent. The error is a
// Faults value.
func LoadAgent(path string) (Agent, error) {
	return loadAgent(readSource(path))
}

// Check reads and checks the settings file of any role and returns the role that the
// file names. The error is a Faults value.
func Check(path string) (Role, error) {
	return check(readSource(path))
}

// DefaultEntry returns the default settings of an entry. Keys without a default are
// empty.
func DefaultEntry() Entry {
	var e Entry
	setDefaults(&e)
	return e
}

// DefaultAgent returns the default settings of an agent. Keys without a default are
// empty.
func DefaultAgent() Agent {
	var a Agent
	setDefaults(&a)
	return a
}

func loadEntry(s *source) (Entry, error) {
	var e Entry
	bind(s, &e)
	checker{s}.entry(&e)
	return e, s.result()
}

func loadAgent(s *source) (Agent, error) {
	var a Agent
	bind(s, &a)
	checker{s}.agent(&a)
	return a, s.result()
}

func check(s *source) (Role, error) {
	text, _ := s.value(name{"node", "role"})
	switch Role(text) {
	case RoleAgent:
		_, err := loadAgent(s)
		return RoleAgent, err
	case RoleEntry:
		_, err := loadEntry(s)
		return RoleEntry, err
	case RoleDispatcher:
		_, err := loadDispatcher(s)
		return RoleDispatcher, err
	case RoleLessee:
		_, err := loadLessee(s)
		return RoleLessee, err
	default:
		return "", checkWithoutRole(s)
	}
}

// checkWithoutRole returns the faults of a file that names no role. It reads the file as
// settings of an entry and as settings of an agent, and returns the shorter list.
func checkWithoutRole(s *source) error {
	agentSource := *s
	agentSource.faults = slices.Clone(s.faults)
	_, asEntry := loadEntry(s)
	_, asAgent := loadAgent(&agentSource)
	if len(agentSource.faults) < len(s.faults) {
		return asAgent
	}
	return asEntry
}

// result returns the faults in order of lines, or nil when there are none.
func (s *source) result() error {
	if len(s.faults) == 0 {
		return nil
	}
	slices.SortFunc(s.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Reason, b.Reason))
	})
	return s.faults
}
