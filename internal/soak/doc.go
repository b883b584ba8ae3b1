// Package soak runs the real programs as separate processes on one machine, injects
// faults from outside them, and checks the promises of the product all the while from
// what callers and upstreams see.
//
// The stand-ins of the platform run in the soak's own process, so that every start and
// every end of a run is seen in one order.
package soak
