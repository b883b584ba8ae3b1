// Package agent is the state machine of an agent, the process on the same host
// as its upstreams: it is the home of jobs, the executor of tasks and a member
// of the set of processes that the control stream lists.
//
// A Core is driven by Step(now, event), which returns the actions to carry out,
// in order. The same configuration, events and times give the same actions. The
// shell around the core
//
//   - delivers envelopes, log reads, announcements and completions of tasks as events,
//   - carries out Send, StartTask and AppendControl, any of which may be lost,
//   - delivers a Tick at the time of the last SetTimer.
//
// A Core needs nothing else, so it can be driven without a socket; see the
// example. A Core is not safe for concurrent use.
package agent
