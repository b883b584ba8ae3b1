package configfile

import (
	"cmp"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// MaxFileBytes is the largest size of a configuration file, in bytes.
const MaxFileBytes = 4 << 20

// The keys of the sections.
const (
	keyLabels    = "labels"
	keyQuota     = "quota"
	keyClass     = "class"
	keyTasks     = "tasks"
	keyUpstreams = "upstreams"
)

// kindRoute is the kind of the sections of routes. It has no config.Kind of its own
// since all routes together form one object.
const kindRoute = "route"

// sectionKeys lists the keys of each kind of section.
var sectionKeys = map[string][]string{
	string(config.KindDomain):   {keyLabels},
	string(config.KindWorker):   {keyLabels},
	string(config.KindUpstream): {keyLabels},
	string(config.KindTeam):     {keyQuota, keyClass, keyLabels},
	kindRoute:                   {keyTasks, keyUpstreams},
}

var (
	sectionLine = regexp.MustCompile(`^\[([a-z]+)\s+([^\[\]\s]+)\]$`)
	keyLine     = regexp.MustCompile(`^([a-z]+)\s*=\s*(.*)$`)
)

// section is one section of the file.
type section struct {
	kind string
	name string
	line int
	// keys maps each key to its line.
	keys map[string]int
	ini  *ini.Section
}

// parser holds the sections and the faults of one file.
type parser struct {
	path     string
	faults   settings.Faults
	sections []*section
}

// Parse parses a configuration file. The error is a settings.Faults that lists every
// fault with its line; path is only used to name the file in it.
func Parse(path string, data []byte) (*config.Config, error) {
	p := &parser{path: path}
	p.read(data)
	edits := p.edits()
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b settings.Fault) int { return cmp.Compare(a.Line, b.Line) })
		return nil, p.faults
	}
	c, err := config.Empty().Fold(config.NoRevision, edits)
	if err != nil {
		return nil, settings.Faults{{File: path, Reason: err.Error()}}
	}
	return c, nil
}

func (p *parser) addFault(line int, reason string) {
	p.faults = append(p.faults, settings.Fault{File: p.path, Line: line, Reason: reason})
}

// read records the sections and the faults of single lines. It passes only lines without
// a fault to the INI library, which stops at the first fault and reports no line numbers.
func (p *parser) read(data []byte) {
	if len(data) > MaxFileBytes {
		p.addFault(0, "the file is larger than 4MiB")
		return
	}
	if !utf8.Valid(data) {
		p.addFault(0, "the file is not UTF-8 text")
		return
	}
	lines := strings.Split(strings.TrimPrefix(string(data), "\ufeff"), "\n")
	for i, line := range lines {
		if !p.scanLine(i+1, strings.TrimSpace(line)) {
			lines[i] = ""
		}
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}, []byte(strings.Join(lines, "\n")))
	if err != nil {
		p.addFault(0, "the file is not INI: "+err.Error())
		return
	}
	for _, s := range p.sections {
		s.ini, _ = file.GetSection(s.title())
	}
}

func (s *section) title() string { return s.kind + " " + s.name }

// scanLine records the section or key of a line. It reports whether the INI library
// may read the line.
func (p *parser) scanLine(number int, line string) bool {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return true
	}
	if line[0] == '[' {
		return p.scanSection(number, line)
	}
	m := keyLine.FindStringSubmatch(line)
	switch {
	case m == nil:
		p.addFault(number, "the line is neither [kind name] nor key = value")
		return false
	case strings.ContainsAny(m[2], "`\"'\x00\r"):
		p.addFault(number, "the value must not contain quotes or control characters")
		return false
	case len(p.sections) == 0:
		p.addFault(number, "the key "+m[1]+" stands before the first section")
		return false
	}
	return p.scanKey(number, m[1])
}

// scanSection starts a section and reports whether the INI library may read its
// heading. The library must not read a heading that is malformed or names an unknown
// kind. Such a section is recorded without a kind: its lines are still checked, but its
// keys are not used.
func (p *parser) scanSection(number int, line string) bool {
	m := sectionLine.FindStringSubmatch(line)
	if m == nil {
		p.addFault(number, "the section is not of the form [kind name]")
		m = []string{line, "", line}
	} else if _, ok := sectionKeys[m[1]]; !ok {
		p.addFault(number, "unknown kind "+strconv.Quote(m[1])+", want domain, worker, upstream, team or route")
		m[1] = ""
	}
	s := &section{kind: m[1], name: m[2], line: number, keys: make(map[string]int)}
	earlier := slices.IndexFunc(p.sections, func(o *section) bool { return s.kind != "" && o.title() == s.title() })
	if earlier >= 0 {
		p.addFault(number, "the section "+s.title()+" is given twice, first on line "+strconv.Itoa(p.sections[earlier].line))
	}
	p.sections = append(p.sections, s)
	return s.kind != ""
}

// scanKey records a key of the last section. It reports whether the INI library may
// read the line of the key.
func (p *parser) scanKey(number int, key string) bool {
	s := p.sections[len(p.sections)-1]
	if s.kind == "" {
		return false
	}
	if !slices.Contains(sectionKeys[s.kind], key) {
		p.addFault(number, "unknown key "+strconv.Quote(key)+" in a "+s.kind+" section, want "+strings.Join(sectionKeys[s.kind], " or "))
		return false
	}
	if first, ok := s.keys[key]; ok {
		p.addFault(number, "the key "+key+" is given twice, first on line "+strconv.Itoa(first))
		return false
	}
	s.keys[key] = number
	return true
}

// edits returns the edits that put the objects of all sections, and records the faults
// of the objects.
func (p *parser) edits() []config.Edit {
	var edits []config.Edit
	routes := &config.Routes{}
	for _, s := range p.sections {
		if s.ini == nil {
			continue
		}
		faultsBefore := len(p.faults)
		o, route := p.object(s)
		if route != nil {
			routes.Routes = append(routes.Routes, *route)
			o = config.Object{Routes: &config.Routes{Routes: []config.Route{*route}}}
		}
		if err := o.Validate(); err != nil && len(p.faults) == faultsBefore {
			p.addFault(s.line, strings.ReplaceAll(err.Error(), "\n", "; "))
		}
		if route == nil {
			edits = append(edits, config.Edit{Put: &o})
		}
	}
	if len(routes.Routes) > 0 {
		edits = append(edits, config.Edit{Put: &config.Object{Routes: routes}})
	}
	return edits
}

// object returns the object that a section describes, or the route if the section is that
// of a route.
func (p *parser) object(s *section) (config.Object, *config.Route) {
	switch s.kind {
	case string(config.KindDomain):
		return config.Object{Domain: &config.Domain{Name: s.name, Labels: p.labels(s)}}, nil
	case string(config.KindWorker):
		return config.Object{Worker: &config.Worker{Name: s.name, Labels: p.labels(s)}}, nil
	case string(config.KindUpstream):
		return config.Object{Upstream: &config.Upstream{Name: s.name, Labels: p.labels(s)}}, nil
	case string(config.KindTeam):
		team := config.Team{Name: s.name, Quota: p.quota(s), Class: p.class(s), Labels: p.labels(s)}
		return config.Object{Team: &team}, nil
	default:
		return config.Object{}, &config.Route{Name: s.name, Tasks: p.selector(s, keyTasks), Upstreams: p.selector(s, keyUpstreams)}
	}
}

// value returns the text and line of a key, or false if the key is absent or faulty.
func (s *section) value(key string) (string, int, bool) {
	line, ok := s.keys[key]
	if !ok || !s.ini.HasKey(key) {
		return "", 0, false
	}
	return s.ini.Key(key).Value(), line, true
}

func (p *parser) labels(s *section) label.Set {
	text, line, ok := s.value(keyLabels)
	if !ok || text == "" {
		return nil
	}
	set, err := ParseLabels(text)
	if err != nil {
		p.addFault(line, "labels: "+err.Error())
	}
	return set
}

func (p *parser) selector(s *section, key string) label.Selector {
	text, line, ok := s.value(key)
	if !ok {
		return nil
	}
	sel, err := ParseSelector(text)
	if err != nil {
		p.addFault(line, key+": "+err.Error())
	}
	return sel
}

func (p *parser) quota(s *section) float64 {
	text, line, ok := s.value(keyQuota)
	if !ok {
		return 0
	}
	quota, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(quota) || math.IsInf(quota, 0) || quota < 0 {
		p.addFault(line, "quota "+strconv.Quote(text)+" is not a number of task starts per second")
		return 0
	}
	return quota
}

func (p *parser) class(s *section) job.Class {
	text, line, ok := s.value(keyClass)
	if !ok {
		return ""
	}
	if !slices.Contains(job.Classes, job.Class(text)) {
		p.addFault(line, "unknown class "+strconv.Quote(text)+", want urgent, normal or batch")
		return ""
	}
	return job.Class(text)
}
