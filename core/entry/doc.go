// Package entry is the state machine of an entry process.
//
// A Core is driven by Step(now, event), which returns the actions to carry
// out, in order. It is not safe for concurrent use.
package entry
