// Package loadgen sends jobs to entries at times that do not depend on the
// answers, checks every answer, and records response times.
//
// A response counts from the intended arrival, so that a slow system cannot
// slow its own measurement. The plan of arrivals is a function of the seed.
package loadgen
