// Package settings reads and checks the INI settings file of a process.
//
// Loading and checking do not stop at the first fault: the error of the Load functions
// and of Check is a Faults value that lists every fault with its file, line and reason.
package settings
