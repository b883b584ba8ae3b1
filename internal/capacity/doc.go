// Package capacity holds the benchmarks behind docs/CAPACITY.md. They drive the
// cores of whole fleets in virtual time, encode every message, and report what
// one node spends.
package capacity
