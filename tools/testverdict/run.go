package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is one line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// run collects the events of a test run.
type run struct {
	out     io.Writer
	output  map[testName][]string
	seen    map[testName]bool
	failed  map[testName]bool
	crashed map[string]bool
	// failedPackages is in order of appearance.
	failedPackages []string
	buildFailed    bool
}

func newRun(out io.Writer) *run {
	return &run{
		out:     out,
		output:  map[testName][]string{},
		seen:    map[testName]bool{},
		failed:  map[testName]bool{},
		crashed: map[string]bool{},
	}
}

func (r *run) read(in io.Reader) error {
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

func (r *run) add(e event) {
	name := testName{e.Package, e.Test}
	switch e.Action {
	case "build-output":
		fmt.Fprint(r.out, e.Output)
	case "build-fail":
		r.buildFailed = true
	case "output":
		r.addOutput(name, e.Output)
	case "run":
		r.seen[name] = true
	case "pass":
		delete(r.output, name)
	case "skip":
		delete(r.output, name)
		delete(r.seen, name)
	case "fail":
		r.addFailure(name)
	}
}

func (r *run) addOutput(name testName, output string) {
	if strings.HasPrefix(output, "panic: ") || strings.HasPrefix(output, "fatal error: ") {
		r.crashed[name.pkg] = true
	}
	if name.test == "" {
		r.printClosing(output)
		return
	}
	r.output[name] = append(r.output[name], output)
}

// printClosing prints output of a package, but for the line that precedes the
// closing line of a package that passed.
func (r *run) printClosing(output string) {
	if output != "PASS\n" {
		fmt.Fprint(r.out, output)
	}
}

func (r *run) addFailure(name testName) {
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

// verdict is the result of a run measured against the known failures.
type verdict struct {
	// faults say why the run failed.
	faults []string
	// passedOver are the known failures that were seen.
	passedOver []testName
	// fixed are known failures that passed.
	fixed []testName
}

func (r *run) verdict(known []testName) verdict {
	var v verdict
	if r.buildFailed {
		v.faults = append(v.faults, "the build failed")
	}
	for _, n := range r.leafFailures() {
		if !covered(n, known) {
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
		case !r.seen[n]:
			v.faults = append(v.faults, n.String()+" is listed and was not run")
		case r.failed[n]:
			v.passedOver = append(v.passedOver, n)
		default:
			v.fixed = append(v.fixed, n)
		}
	}
	return v
}

// leafFailures returns the failed tests without a failed subtest, sorted.
func (r *run) leafFailures() []testName {
	var leaves []testName
	for n := range r.failed {
		if !r.hasFailedSubtest(n) {
			leaves = append(leaves, n)
		}
	}
	slices.SortFunc(leaves, func(a, b testName) int { return strings.Compare(a.String(), b.String()) })
	return leaves
}

func (r *run) hasFailedSubtest(parent testName) bool {
	for n := range r.failed {
		if n.pkg == parent.pkg && strings.HasPrefix(n.test, parent.test+"/") {
			return true
		}
	}
	return false
}

func (r *run) hasFailedTest(pkg string) bool {
	for n := range r.failed {
		if n.pkg == pkg {
			return true
		}
	}
	return false
}

// covered reports whether the test or one of its parents is known to fail.
func covered(n testName, known []testName) bool {
	return slices.ContainsFunc(known, func(k testName) bool {
		return k.pkg == n.pkg && (k.test == n.test || strings.HasPrefix(n.test, k.test+"/"))
	})
}

func (v verdict) print(out io.Writer) {
	for _, n := range v.passedOver {
		fmt.Fprintln(out, "KNOWN RED, passed over:", n)
	}
	for _, n := range v.fixed {
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
	case len(v.passedOver) > 0:
		return exitKnownOnly
	default:
		return 0
	}
}
