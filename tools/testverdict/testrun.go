package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is one line of the output of "go test -json". Test is empty when the event is
// about the package.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testRun collects the events of one execution of go test.
type testRun struct {
	out io.Writer
	// output holds the output of the tests that have no result yet.
	output map[testName][]string
	// executed holds the tests that were started and not skipped.
	executed map[testName]bool
	failed   map[testName]bool
	// crashed holds the packages whose output shows a panic or a fatal error.
	crashed map[string]bool
	// failedPackages is in order of the events.
	failedPackages []string
	buildFailed    bool
}

func newTestRun(out io.Writer) *testRun {
	return &testRun{
		out:      out,
		output:   map[testName][]string{},
		executed: map[testName]bool{},
		failed:   map[testName]bool{},
		crashed:  map[string]bool{},
	}
}

func (r *testRun) read(in io.Reader) error {
	decoder := json.NewDecoder(in)
	for {
		var e event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read test events: %w", err)
		}
		r.add(e)
	}
}

func (r *testRun) add(e event) {
	name := testName{e.Package, e.Test}
	switch e.Action {
	case "build-output":
		fmt.Fprint(r.out, e.Output)
	case "build-fail":
		r.buildFailed = true
	case "output":
		r.addOutput(name, e.Output)
	case "run":
		r.executed[name] = true
	case "pass":
		delete(r.output, name)
	case "skip":
		delete(r.output, name)
		delete(r.executed, name)
	case "fail":
		r.addFailure(name)
	}
}

func (r *testRun) addOutput(name testName, output string) {
	if strings.HasPrefix(output, "panic: ") || strings.HasPrefix(output, "fatal error: ") {
		r.crashed[name.pkg] = true
	}
	if name.test == "" {
		r.printPackageOutput(output)
		return
	}
	r.output[name] = append(r.output[name], output)
}

// printPackageOutput prints the output of a package. It omits the line PASS, which adds
// nothing to the result line that follows it.
func (r *testRun) printPackageOutput(output string) {
	if output != "PASS\n" {
		fmt.Fprint(r.out, output)
	}
}

func (r *testRun) addFailure(name testName) {
	if name.test == "" {
		r.failedPackages = append(r.failedPackages, name.pkg)
		return
	}
	r.failed[name] = true
	for _, output := range r.output[name] {
		fmt.Fprint(r.out, output)
	}
	delete(r.output, name)
}

// verdict is the result of a test run, compared with the known failures.
type verdict struct {
	// faults holds the reasons why the test run fails.
	faults []string
	// knownFailed holds the known failures that failed. They don't fail the test run.
	knownFailed []testName
	// knownPassed holds the known failures that passed.
	knownPassed []testName
}

func (r *testRun) verdict(known []testName) verdict {
	var v verdict
	if r.buildFailed {
		v.faults = append(v.faults, "the build failed")
	}
	for _, n := range r.leafFailures() {
		if !isKnown(n, known) {
			v.faults = append(v.faults, n.String()+" failed")
		}
	}
	for _, pkg := range r.failedPackages {
		if r.crashed[pkg] || !r.hasFailedTest(pkg) {
			v.faults = append(v.faults, pkg+" ended before all its tests had run")
		}
	}
	for _, n := range known {
		switch {
		case !r.executed[n]:
			v.faults = append(v.faults, n.String()+" is listed and was not run")
		case r.failed[n]:
			v.knownFailed = append(v.knownFailed, n)
		default:
			v.knownPassed = append(v.knownPassed, n)
		}
	}
	return v
}

// leafFailures returns the failed tests without a failed subtest, sorted.
func (r *testRun) leafFailures() []testName {
	var leaves []testName
	for n := range r.failed {
		if !r.hasFailedSubtest(n) {
			leaves = append(leaves, n)
		}
	}
	slices.SortFunc(leaves, func(a, b testName) int { return strings.Compare(a.String(), b.String()) })
	return leaves
}

func (r *testRun) hasFailedSubtest(parent testName) bool {
	for n := range r.failed {
		if n.pkg == parent.pkg && strings.HasPrefix(n.test, parent.test+"/") {
			return true
		}
	}
	return false
}

func (r *testRun) hasFailedTest(pkg string) bool {
	for n := range r.failed {
		if n.pkg == pkg {
			return true
		}
	}
	return false
}

// isKnown reports whether the test or one of its parents is known to fail.
func isKnown(n testName, known []testName) bool {
	return slices.ContainsFunc(known, func(k testName) bool {
		return k.pkg == n.pkg && (k.test == n.test || strings.HasPrefix(n.test, k.test+"/"))
	})
}

func (v verdict) print(out io.Writer) {
	for _, n := range v.knownFailed {
		fmt.Fprintln(out, "KNOWN RED, passed over:", n)
	}
	for _, n := range v.knownPassed {
		fmt.Fprintln(out, "KNOWN RED, but it passed:", n)
	}
	for _, fault := range v.faults {
		fmt.Fprintln(out, "FAILED:", fault)
	}
}

func (v verdict) exitCode() int {
	switch {
	case len(v.faults) > 0:
		return exitFailed
	case len(v.knownFailed) > 0:
		return exitKnownOnly
	default:
		return 0
	}
}
