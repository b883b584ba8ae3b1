// Package core is the root of the deterministic part of dogwoodgauge.
//
// The packages below it implement the logic of each role, such as entry and
// agent. They do not read a clock, open files or sockets, or use a system source
// of randomness. The caller passes in the time, received messages and random
// seeds as typed events. Messages to send, tasks to start and answers to return
// are typed actions that the caller carries out. The same sequence of events
// always gives the same actions. Package step describes how to drive a role. The
// package of each role defines its additional events and actions.
package core
