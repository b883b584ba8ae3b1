// Package executor implements the state machine that starts tasks on the local
// upstreams of an agent.
//
// It starts the task of each pair (home incarnation, sequence number) at most once.
// For this it keeps a window of sequence numbers for each home, which needs no
// clocks. The home states a floor. The executor starts nothing below the floor, and
// stores the state of every task from the floor upwards. Before each start it asks
// a Gate whether the task may start.
//
// Callers: package agent. A Core is not safe for concurrent use.
package executor
