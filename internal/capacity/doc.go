// Package capacity holds the benchmarks whose figures are in docs/CAPACITY.md. They
// drive the cores of whole fleets in virtual time, encode every message, and report
// the traffic, CPU time and memory of one process.
package capacity
