package settings

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// maxFileBytes is the largest size of a settings file, in bytes.
const maxFileBytes = 1 << 20

var (
	sectionLine = regexp.MustCompile(`^\[([A-Za-z][A-Za-z0-9_-]*)\]$`)
	keyLine     = regexp.MustCompile(`^([A-Za-z][A-Za-z0-9_-]*)\s*=\s*(.*)$`)
)

// name identifies a key of a settings file, or a section when key is empty.
type name struct{ section, key string }

// source is a parsed settings file with the line of each section and key.
type source struct {
	path   string
	file   *ini.File
	lines  map[name]int
	faults Faults
}

// readSource reads and parses the file at path, and records its faults.
func readSource(path string) *source {
	data, err := os.ReadFile(path)
	s := &source{path: path, file: ini.Empty(), lines: map[name]int{}}
	if err != nil {
		s.addFault(0, "the file can't be read: "+reason(err))
		return s
	}
	s.parse(data)
	return s
}

// reason returns the text of an error without the path, which Fault.File contains.
func reason(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}

func (s *source) addFault(line int, reason string) {
	s.faults = append(s.faults, Fault{File: s.path, Line: line, Reason: reason})
}

// parse records the faults of single lines. It passes only lines without a fault to the
// INI library, which stops at the first fault and reports no line numbers.
func (s *source) parse(data []byte) {
	if len(data) > maxFileBytes {
		s.addFault(0, "the file is larger than 1MiB")
		return
	}
	if !utf8.Valid(data) {
		s.addFault(0, "the file is not UTF-8 text")
		return
	}
	lines := bytes.Split(bytes.TrimPrefix(data, []byte("\ufeff")), []byte("\n"))
	section := ""
	for i, line := range lines {
		if !s.scanLine(i+1, strings.TrimSpace(string(line)), &section) {
			lines[i] = nil
		}
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}, bytes.Join(lines, []byte("\n")))
	if err != nil {
		s.addFault(0, "the file is not INI: "+err.Error())
		return
	}
	s.file = file
}

// scanLine records the section or key of a line. It reports whether the line
// has no fault.
func (s *source) scanLine(number int, line string, section *string) bool {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return true
	}
	if m := sectionLine.FindStringSubmatch(line); m != nil {
		*section = m[1]
		return s.record(number, name{section: m[1]})
	}
	m := keyLine.FindStringSubmatch(line)
	switch {
	case m == nil:
		s.addFault(number, "the line is neither [section] nor key = value")
		return false
	case strings.ContainsAny(m[2], "`\"'\x00\r"):
		s.addFault(number, "the value must not contain quotes or control characters")
		return false
	case *section == "":
		s.addFault(number, "the key "+m[1]+" stands before the first section")
		return false
	}
	return s.record(number, name{section: *section, key: m[1]})
}

// record stores the line of a section or key, or records a fault if the file has it
// already. It reports whether the INI library may read the line. The library must not
// read a repeated key, since its value would replace the first one.
func (s *source) record(number int, n name) bool {
	if _, ok := s.lines[n]; !ok {
		s.lines[n] = number
		return true
	}
	if n.key == "" {
		s.addFault(number, "the section "+n.section+" is given twice")
		return true
	}
	s.addFault(number, "the key "+n.key+" is given twice")
	return false
}

// value returns the text of a key, or false if the key is absent.
func (s *source) value(n name) (string, bool) {
	if _, ok := s.lines[n]; !ok {
		return "", false
	}
	section, err := s.file.GetSection(n.section)
	if err != nil || !section.HasKey(n.key) {
		return "", false
	}
	return section.Key(n.key).Value(), true
}
