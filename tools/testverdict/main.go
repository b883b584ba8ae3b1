// Command testverdict reads the output of "go test -json" and fails unless every
// failing test is listed in a file of known failures.
//
// Usage: go test -json ./... | testverdict KNOWN-RED.txt
//
// It prints the output of failing tests and go test's result line for each package. Its
// exit code is 0 when every test passed, 3 when only listed tests failed, and 1 otherwise.
// A listed test that was not run counts as a failure.
package main

import (
	"fmt"
	"os"
)

const (
	exitFailed    = 1
	exitKnownOnly = 3
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: testverdict KNOWN-RED.txt")
		os.Exit(exitFailed)
	}
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "testverdict:", err)
		os.Exit(exitFailed)
	}
	r := newTestRun(os.Stdout)
	if err := r.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, "testverdict:", err)
		os.Exit(exitFailed)
	}
	v := r.verdict(known)
	v.print(os.Stdout)
	os.Exit(v.exitCode())
}
