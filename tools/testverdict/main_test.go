package main

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

const (
	runA      = `{"Action":"run","Package":"p","Test":"TestA"}`
	passA     = `{"Action":"pass","Package":"p","Test":"TestA"}`
	skipA     = `{"Action":"skip","Package":"p","Test":"TestA"}`
	failA     = `{"Action":"fail","Package":"p","Test":"TestA"}`
	runSub    = `{"Action":"run","Package":"p","Test":"TestA/sub"}`
	failSub   = `{"Action":"fail","Package":"p","Test":"TestA/sub"}`
	passPkg   = `{"Action":"pass","Package":"p"}`
	failPkg   = `{"Action":"fail","Package":"p"}`
	resultPkg = `{"Action":"output","Package":"p","Output":"ok p 0.1s\n"}`
	panics    = `{"Action":"output","Package":"p","Test":"TestA","Output":"panic: broken\n"}`
	buildFail = `{"Action":"build-fail","ImportPath":"p"}`
)

// TestVerdict guards against a failure that the list of known failures hides. That includes
// failures that cannot be seen because of a panic, a failed build or a skipped test.
func TestVerdict(t *testing.T) {
	a := testName{"p", "TestA"}
	tests := []struct {
		name   string
		events []string
		known  []testName
		faults []string
		code   int
	}{
		{"all pass", []string{runA, passA, resultPkg, passPkg}, nil, nil, 0},
		{"failure that is not listed", []string{runA, failA, failPkg}, nil, []string{"p TestA failed"}, 1},
		{"failure that is listed", []string{runA, failA, failPkg}, []testName{a}, nil, 3},
		{"listed test passes", []string{runA, passA, passPkg}, []testName{a}, nil, 0},
		{"listed test is skipped", []string{runA, skipA, passPkg}, []testName{a}, []string{"p TestA is listed and was not run"}, 1},
		{"listed test does not exist", []string{runA, passA, passPkg}, []testName{{"p", "TestB"}}, []string{"p TestB is listed and was not run"}, 1},
		{"listed parent covers its subtest", []string{runA, runSub, failSub, failA, failPkg}, []testName{a}, nil, 3},
		{"listed subtest covers its parent", []string{runA, runSub, failSub, failA, failPkg}, []testName{{"p", "TestA/sub"}}, nil, 3},
		{"subtest that is not listed", []string{runA, runSub, failSub, failA, failPkg}, nil, []string{"p TestA/sub failed"}, 1},
		{"same name in another package", []string{runA, failA, failPkg}, []testName{{"q", "TestA"}}, []string{"p TestA failed", "q TestA is listed and was not run"}, 1},
		{"panic hides the other tests", []string{runA, panics, failA, failPkg}, []testName{a}, []string{"p ended before all its tests had run"}, 1},
		{"package fails without a test", []string{runA, passA, failPkg}, nil, []string{"p ended before all its tests had run"}, 1},
		{"build failure", []string{buildFail}, nil, []string{"the build failed"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			r := newTestRun(&out)
			if err := r.read(strings.NewReader(strings.Join(tt.events, "\n"))); err != nil {
				t.Fatal(err)
			}
			v := r.verdict(tt.known)
			if !slices.Equal(v.faults, tt.faults) || v.exitCode() != tt.code {
				t.Errorf("got faults %q, exit code %d", v.faults, v.exitCode())
			}
			if slices.Contains(tt.events, resultPkg) && out.String() != "ok p 0.1s\n" {
				t.Errorf("printed %q, want only the result line of the package", out.String())
			}
		})
	}
}

// TestParseKnown checks that an incomplete entry is an error: it would otherwise hide a
// failure without naming its issue.
func TestParseKnown(t *testing.T) {
	tests := []struct {
		name, text string
		want       int
		ok         bool
	}{
		{"empty", "# nothing\n", 0, true},
		{"two entries", "test: p TestA\ncommand: go test\nseen: x\nissue: 3\n\ntest: p TestB\ncommand: c\nseen: y\nissue: 4\n", 2, true},
		{"no issue", "test: p TestA\ncommand: go test\nseen: x\n", 0, false},
		{"no package", "test: TestA\ncommand: go test\nseen: x\nissue: 3\n", 0, false},
		{"empty text", "test: p TestA\ncommand:\nseen: x\nissue: 3\n", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			known, err := parseKnown(tt.text)
			if len(known) != tt.want || (err == nil) != tt.ok {
				t.Errorf("got %v, error %v", known, err)
			}
		})
	}
	if _, err := newTestRun(nil), newTestRun(nil).read(strings.NewReader("not json")); err == nil {
		t.Error("got no error for malformed events")
	}
}
