// Package leasemodel tests dispatchers and agents with leased upstreams in randomized
// simulations, in virtual time and without a network. It has no code outside tests.
package leasemodel
