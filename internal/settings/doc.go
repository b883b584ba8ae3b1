// Package settings reads and checks the INI settings file of a process.
//
// A file is checked whole: the error of LoadEntry, LoadAgent and Check is a
// Faults value that lists every fault with its file, line and reason.
package settings
