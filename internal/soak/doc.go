// Package soak runs the real programs as separate processes on one machine and injects
// faults into them from outside. Meanwhile it checks the guarantees of the product from
// what callers and upstreams see.
//
// The stand-ins of the platform run in the soak's own process, so that the soak sees the
// starts and completions of all runs in one order.
package soak
