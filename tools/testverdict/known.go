package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// testName names a test or subtest of a package.
type testName struct{ pkg, test string }

func (n testName) String() string { return n.pkg + " " + n.test }

// entryKeys lists the keys that each entry of the file must have, in this order.
var entryKeys = []string{"test", "command", "seen", "issue"}

// readKnown returns the tests in the file of known failures, or none when the file does
// not exist.
func readKnown(path string) ([]testName, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnown(string(data))
}

// parseKnown returns the tests that the entries name. It skips blank lines, which
// separate entries, and lines that start with #, which are comments.
func parseKnown(text string) ([]testName, error) {
	var known []testName
	next := 0
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		if key != entryKeys[next] || value == "" {
			return nil, fmt.Errorf("known failures, line %d: want %q followed by a text", i+1, entryKeys[next]+":")
		}
		if key == "test" {
			pkg, test, ok := strings.Cut(value, " ")
			if !ok {
				return nil, fmt.Errorf("known failures, line %d: want an import path and the name of a test", i+1)
			}
			known = append(known, testName{pkg, test})
		}
		next = (next + 1) % len(entryKeys)
	}
	if next != 0 {
		return nil, fmt.Errorf("known failures: the last entry has no %q", entryKeys[next]+":")
	}
	return known, nil
}
