// Package agent is the state machine of the process beside an upstream.
//
// A Core is driven by Step(now, event), which returns the actions to carry
// out, in order. It is not safe for concurrent use.
package agent
