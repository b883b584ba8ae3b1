// Package executor is the state machine that starts tasks on the upstreams
// beside an agent.
//
// It starts each (home incarnation, sequence number) at most once. A window of
// sequence numbers per home, bounded below by the floor that the home states,
// makes that exact without clocks: numbers below the floor are refused, numbers
// above it are remembered. Whether a task may start is asked of a Gate at the
// moment of the start.
//
// Callers: package agent. A Core is not safe for concurrent use.
package executor
