// Package agent is the state machine of the process beside an upstream: home of
// jobs, executor of tasks and member of the fleet.
//
// A Core is driven by Step(now, event), which returns the actions to carry out,
// in order. The same configuration, events and times give the same actions. The
// shell round it
//
//   - delivers envelopes, log reads, announcements and ends of tasks as events,
//   - carries out Send, StartTask and AppendControl, any of which may be lost,
//   - delivers a Tick at the time of the last SetTimer.
//
// Nothing else is needed, so that a Core can be driven without a socket; see the
// example. A Core is not safe for concurrent use.
package agent
