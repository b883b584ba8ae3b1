// Package sessions holds tests of several agents and entries together: golden
// files of whole sessions, and sessions with random faults. The processes are the
// cores of packages agent and entry. Simulated upstreams, a simulated network and
// a simulated log connect them in virtual time.
package sessions
