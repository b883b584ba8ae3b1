// Package core is the root of the deterministic part of dogwoodgauge.
//
// The packages below it hold the decisions of each role: entry and agent. They
// read no clock, open no file or socket and draw no random numbers. Time,
// messages and seeds enter as typed events; messages to send, tasks to start
// and answers to give leave as typed actions. The same events give the same
// actions. Package step says how to drive a role; packages agent and entry add
// the events and actions of their own.
package core
