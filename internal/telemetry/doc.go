// Package telemetry holds the logs, metrics and traces of a process.
//
// Nothing but the log output is shared between the daemons of one process:
// each has its own Metrics and its own Tracer.
package telemetry
