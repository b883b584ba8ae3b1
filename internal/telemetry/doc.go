// Package telemetry holds the logs, metrics and traces of a process.
//
// The daemons of one process share only the log output and its sampling. Each has
// its own Metrics and its own Tracer.
package telemetry
