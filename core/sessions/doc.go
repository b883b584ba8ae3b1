// Package sessions holds the tests that run several agents and entries
// together: golden files of whole sessions and randomised runs. The processes
// are the cores of packages agent and entry, joined by a network, a log and
// upstreams in virtual time.
package sessions
