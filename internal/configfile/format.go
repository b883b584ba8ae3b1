package configfile

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// Format returns a configuration as INI. Failure domains that are taken out appear as
// comments, so Parse of the result gives the same configuration without these.
func Format(c *config.Config) string {
	var blocks []string
	for _, key := range c.Keys() {
		o, _ := c.Object(key)
		blocks = append(blocks, formatObject(o))
	}
	return strings.Join(blocks, "\n")
}

func formatObject(o config.Object) string {
	switch {
	case o.Domain != nil:
		return formatSection(string(config.KindDomain), o.Domain.Name, labelsLine(o.Domain.Labels))
	case o.Worker != nil:
		return formatSection(string(config.KindWorker), o.Worker.Name, labelsLine(o.Worker.Labels))
	case o.Upstream != nil:
		return formatSection(string(config.KindUpstream), o.Upstream.Name, labelsLine(o.Upstream.Labels))
	case o.Team != nil:
		return formatTeam(o.Team)
	case o.Routes != nil:
		return formatRoutes(o.Routes)
	default:
		return formatTakeOut(o.TakeOut)
	}
}

// line is one key and its value in a section. formatSection omits a line without a
// value.
type line struct{ key, value string }

func formatSection(kind, name string, lines ...line) string {
	var b strings.Builder
	b.WriteString("[" + kind + " " + name + "]\n")
	for _, l := range lines {
		if l.value != "" {
			b.WriteString(l.key + " = " + l.value + "\n")
		}
	}
	return b.String()
}

func formatTeam(t *config.Team) string {
	quota := ""
	if t.Quota > 0 {
		quota = strconv.FormatFloat(t.Quota, 'g', -1, 64)
	}
	return formatSection(string(config.KindTeam), t.Name,
		line{keyQuota, quota}, line{keyClass, string(t.Class)}, labelsLine(t.Labels))
}

func formatRoutes(r *config.Routes) string {
	var blocks []string
	for _, route := range r.Routes {
		blocks = append(blocks, formatSection(kindRoute, route.Name,
			line{keyTasks, config.SelectorString(route.Tasks)},
			line{keyUpstreams, config.SelectorString(route.Upstreams)}))
	}
	return strings.Join(blocks, "\n")
}

func formatTakeOut(o *config.TakeOut) string {
	if o.Domain != "" {
		return "# taken out: domain " + o.Domain + "\n"
	}
	return "# taken out: domains with " + config.SelectorString(o.Selector) + "\n"
}

func labelsLine(set label.Set) line {
	var terms []string
	for _, key := range slices.Sorted(maps.Keys(set)) {
		terms = append(terms, key+"="+set[key])
	}
	return line{keyLabels, strings.Join(terms, ",")}
}

// Diff returns the edits that turn the configuration from into that of a file. Failure
// domains that are taken out stay out.
func Diff(from, file *config.Config) []config.Edit {
	return slices.DeleteFunc(config.Diff(from, file), func(e config.Edit) bool {
		return e.Key().Kind == config.KindTakeOut
	})
}

// FormatDiff returns edits as text for operators: for each object its lines in from
// after "- " and its new lines after "+ ".
func FormatDiff(from *config.Config, edits []config.Edit) string {
	var b strings.Builder
	for _, e := range edits {
		if previous, ok := from.Object(e.Key()); ok {
			writePrefixed(&b, "- ", formatObject(previous))
		}
		if e.Put != nil {
			writePrefixed(&b, "+ ", formatObject(*e.Put))
		}
	}
	return b.String()
}

func writePrefixed(b *strings.Builder, prefix, text string) {
	for l := range strings.Lines(text) {
		if l != "\n" {
			b.WriteString(prefix + l)
		}
	}
}
