// Package loadgen sends jobs to entries at times that do not depend on the answers,
// checks every answer, and records response times.
//
// A response time starts at the intended arrival of the job, so that a slow system
// cannot delay its own measurement. The plan of arrivals depends only on its Config,
// which includes the seed.
package loadgen
