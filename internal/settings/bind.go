package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// field is one key of a settings struct.
type field struct {
	name     name
	required bool
	// defaultText is the default value as written in a file. It is empty when there is
	// none.
	defaultText string
	value       reflect.Value
}

// fields lists the keys of a settings struct in order of declaration.
func fields(settings any) []field {
	v := reflect.ValueOf(settings).Elem()
	var all []field
	for i := range v.NumField() {
		section := v.Type().Field(i).Tag.Get("ini")
		all = append(all, sectionFields(section, v.Field(i))...)
	}
	return all
}

func sectionFields(section string, v reflect.Value) []field {
	var all []field
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			all = append(all, sectionFields(section, v.Field(i))...)
			continue
		}
		key, option, _ := strings.Cut(f.Tag.Get("ini"), ",")
		all = append(all, field{
			name:        name{section: section, key: key},
			required:    option == "required",
			defaultText: f.Tag.Get("default"),
			value:       v.Field(i),
		})
	}
	return all
}

// setDefaults sets every key that has a default to it. It panics when a default in a
// struct tag is malformed.
func setDefaults(settings any) {
	for _, f := range fields(settings) {
		if f.defaultText == "" {
			continue
		}
		if err := parseValue(f.value, f.defaultText); err != nil {
			panic(fmt.Sprintf("default of %s.%s: %v", f.name.section, f.name.key, err))
		}
	}
}

// bind fills a settings struct from s. It records a fault for every key that is
// missing, malformed or unknown.
func bind(s *source, settings any) {
	setDefaults(settings)
	all := fields(settings)
	for _, f := range all {
		bindField(s, f)
	}
	for n, line := range s.lines {
		reportUnknown(s, all, n, line)
	}
}

func bindField(s *source, f field) {
	text, ok := s.value(f.name)
	switch {
	case !ok && f.required:
		s.addFault(s.lines[name{section: f.name.section}], fmt.Sprintf("the key %s of section %s is missing", f.name.key, f.name.section))
	case !ok:
	case text == "":
		s.addFault(s.lines[f.name], fmt.Sprintf("the key %s has no value", f.name.key))
	default:
		if err := parseValue(f.value, text); err != nil {
			s.addFault(s.lines[f.name], fmt.Sprintf("%s = %s: %v", f.name.key, text, err))
		}
	}
}

func reportUnknown(s *source, known []field, n name, line int) {
	isKnown := slices.ContainsFunc(known, func(f field) bool {
		return f.name == n || n.key == "" && f.name.section == n.section
	})
	switch {
	case isKnown:
	case n.key == "":
		s.addFault(line, "unknown section "+n.section)
	default:
		s.addFault(line, fmt.Sprintf("unknown key %s in section %s", n.key, n.section))
	}
}
