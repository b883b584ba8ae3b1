package job

import "slices"

// StateBytes is the memory of one state in a slice.
const StateBytes = 16

// equal holds the states of the largest job, if all tasks have the same state. Answers share them,
// since a process may hold those of many refused jobs.
var equal = map[TaskState][]TaskState{
	NotRun: slices.Repeat([]TaskState{NotRun}, MaxTasks),
	Done:   slices.Repeat([]TaskState{Done}, MaxTasks),
}

// EqualStates returns the states of n tasks that all have the state s. The slice may be shared and
// must not be modified.
func EqualStates(s TaskState, n int) []TaskState {
	if shared := equal[s]; n <= len(shared) {
		return shared[:n:n]
	}
	return slices.Repeat([]TaskState{s}, n)
}

// ShareStates returns equal states in a shared slice, which must not be modified, and their size in
// bytes if they are not shared.
func ShareStates(states []TaskState) (same []TaskState, size int) {
	if len(states) == 0 {
		return nil, 0
	}
	shared := equal[states[0]]
	differs := func(s TaskState) bool { return s != states[0] }
	if len(states) > len(shared) || slices.ContainsFunc(states, differs) {
		return states, len(states) * StateBytes
	}
	return shared[:len(states):len(states)], 0
}
