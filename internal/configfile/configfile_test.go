package configfile_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/internal/configfile"
)

// example is in the form that Format returns.
const example = `[domain recife-a]
labels = region=northeast

[route checkout]
tasks = kind in (checkout,slot),team=shop
upstreams = !draining,tier=gold

[route rest]

[team shop]
quota = 400.5
class = urgent
labels = night=none

[upstream orders-7]
labels = tier=gold

[worker rack1.w3]
labels = disk=ssd,rack=1
`

func parse(t *testing.T, text string) *config.Config {
	t.Helper()
	c, err := configfile.Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestParse checks that the objects of a file take effect, that routes are tried in the
// order of the file, and that Format returns the same text.
func TestParse(t *testing.T) {
	c := parse(t, example)
	team, _ := c.Team("shop")
	if team.Quota != 400.5 || team.Class != job.Urgent || team.Labels["night"] != "none" {
		t.Errorf("got team %+v, want quota 400.5, class urgent and label night=none", team)
	}
	rule, ok := c.Match("shop", job.Urgent, label.Set{"kind": "slot"})
	if !ok || rule.Route != "checkout" {
		t.Fatalf("got rule %+v, want route checkout", rule)
	}
	if !rule.Allows(config.Place{Upstream: "orders-7"}) || rule.Allows(config.Place{Upstream: "orders-8"}) {
		t.Error("the route checkout must allow the upstream orders-7 (tier=gold) and refuse orders-8")
	}
	if rule, _ := c.Match("shop", job.Urgent, nil); rule.Route != "rest" {
		t.Errorf("a task without labels: got rule %+v, want route rest", rule)
	}
	if got := configfile.Format(c); got != example {
		t.Errorf("Format returned:\n%s\nwant the text that was parsed", got)
	}
}

// TestParseListsEveryFault checks that one call of Parse reports all faults of a file, each
// with its line.
func TestParseListsEveryFault(t *testing.T) {
	const text = `quota = 1
[team shop]
quota = many
class = vip
colour = red
quota = 2
[team shop]
[teams x]
quota = 1
[route]
[route r]
tasks = kind in checkout
upstreams = size > 3
nonsense
[worker w]
labels = a=1,!b
[domain d]
labels = domain=x
[upstream u]
labels = "a=1"
`
	const want = `test.ini:1: the key quota stands before the first section
test.ini:3: quota "many" is not a number of task starts per second
test.ini:4: unknown class "vip", want urgent, normal or batch
test.ini:5: unknown key "colour" in a team section, want quota or class or labels
test.ini:6: the key quota is given twice, first on line 3
test.ini:7: the section team shop is given twice, first on line 2
test.ini:8: unknown kind "teams", want domain, worker, upstream, team or route
test.ini:10: the section is not of the form [kind name]
test.ini:12: tasks: unable to parse requirement: found 'checkout' expected: '('
test.ini:13: upstreams: operator "gt" on "size" is not supported
test.ini:14: the line is neither [kind name] nor key = value
test.ini:16: labels: "!b" is no label, want key=value
test.ini:17: label key "domain" is reserved
test.ini:20: the value must not contain quotes or control characters`
	_, err := configfile.Parse("test.ini", []byte(text))
	if err == nil || err.Error() != want {
		t.Errorf("got faults:\n%v", err)
	}
}

// TestSectionsInheritNothing checks that the section of team a.b takes no key from that
// of team a: the INI library treats a dotted name as a child section, which inherits
// the keys of its parent.
func TestSectionsInheritNothing(t *testing.T) {
	c := parse(t, "[team a]\nquota = 5\n[team a.b]\nclass = batch\n")
	if team, _ := c.Team("a.b"); team.Quota != 0 {
		t.Errorf("got team %+v, want no quota", team)
	}
}

// TestParseRefusesWholeFiles checks faults that belong to the file as a whole.
func TestParseRefusesWholeFiles(t *testing.T) {
	for name, data := range map[string][]byte{
		"not UTF-8": {0xff, 0xfe},
		"too large": make([]byte, configfile.MaxFileBytes+1),
	} {
		if _, err := configfile.Parse("x", data); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

func TestParseSelector(t *testing.T) {
	for text, want := range map[string]string{
		"":                     "",
		"b=2, a==1":            "a=1,b=2",
		"a!=1":                 "a!=1",
		"a in (y, x, x)":       "a in (x,y)",
		"a notin (x)":          "a!=x",
		"!a , b":               "!a,b",
		"example.com/a exists": "error",
		"a=1,":                 "error",
		"a>1":                  "error",
		"a in (":               "error",
	} {
		sel, err := configfile.ParseSelector(text)
		got := config.SelectorString(sel)
		if err != nil {
			got = "error"
		}
		if got != want {
			t.Errorf("ParseSelector(%q): got %q (error %v), want %q", text, got, err, want)
		}
	}
}

// TestDiffLeavesDomainsOut guards against a publication that brings back a failure domain
// that is taken out, only because the published file does not contain that state.
func TestDiffLeavesDomainsOut(t *testing.T) {
	file := parse(t, example)
	running, err := parse(t, "[team gone]\n\n[team shop]\nquota = 1\n").Fold(3, []config.Edit{
		{Put: &config.Object{TakeOut: &config.TakeOut{Domain: "recife-a"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	edits := configfile.Diff(running, file)
	after, err := running.Fold(4, edits)
	if err != nil || !after.TakenOut(config.Place{Domain: "recife-a"}) {
		t.Errorf("publishing a file failed or brought a failure domain back: error %v", err)
	}
	if !strings.Contains(configfile.Format(after), "# taken out: domain recife-a\n") {
		t.Error("the formatted configuration does not show the failure domain that is taken out")
	}
	if len(configfile.Diff(after, file)) != 0 {
		t.Error("got edits after the file was published, want none")
	}
	text := configfile.FormatDiff(running, edits)
	for _, part := range []string{"- [team gone]\n", "- quota = 1\n", "+ quota = 400.5\n", "+ [route rest]\n"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in the formatted difference:\n%s", part, text)
		}
	}
}

// TestRoundTrip checks that Format returns text that Parse reads as the same
// configuration.
func TestRoundTrip(t *testing.T) {
	names := rapid.StringMatching(`[a-z0-9][a-z0-9._=#;:-]{0,8}`)
	keys := rapid.StringMatching(`k[a-z0-9]{0,3}`)
	values := rapid.StringMatching(`([a-z0-9]([a-z0-9._-]{0,4}[a-z0-9])?)?`)
	labels := rapid.MapOfN(keys, values, 0, 4)
	terms := rapid.Custom(func(t *rapid.T) string {
		key, list := keys.Draw(t, "key"), strings.Join(rapid.SliceOfN(values, 1, 3).Draw(t, "values"), ",")
		return rapid.SampledFrom([]string{key, "!" + key, key + " in (" + list + ")", key + " notin (" + list + ")"}).Draw(t, "term")
	})
	selectors := rapid.Custom(func(t *rapid.T) label.Selector {
		sel, err := configfile.ParseSelector(strings.Join(rapid.SliceOfN(terms, 0, 4).Draw(t, "terms"), ","))
		if err != nil {
			t.Fatal(err)
		}
		return sel
	})
	rapid.Check(t, func(t *rapid.T) {
		var edits []config.Edit
		for _, name := range rapid.SliceOfNDistinct(names, 0, 4, rapid.ID).Draw(t, "names") {
			class := rapid.SampledFrom(append(job.Classes, "")).Draw(t, "class")
			team := &config.Team{Name: name, Quota: rapid.Float64Range(0, 1e9).Draw(t, "quota"), Class: class, Labels: labels.Draw(t, "labels")}
			route := config.Route{Name: name, Tasks: selectors.Draw(t, "tasks"), Upstreams: selectors.Draw(t, "upstreams")}
			edits = append(edits, config.Edit{Put: &config.Object{Team: team}},
				config.Edit{Put: &config.Object{Worker: &config.Worker{Name: name, Labels: labels.Draw(t, "worker labels")}}})
			if len(edits) == 2 {
				edits = append(edits, config.Edit{Put: &config.Object{Routes: &config.Routes{Routes: []config.Route{route}}}})
			}
		}
		c, err := config.Empty().Fold(1, edits)
		if err != nil {
			t.Fatal(err)
		}
		text := configfile.Format(c)
		again, err := configfile.Parse("x", []byte(text))
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if got := configfile.Format(again); got != text {
			t.Fatalf("first formatted as\n%s\nand after parsing as\n%s", text, got)
		}
	})
}

// FuzzParse checks that a file that Parse accepts stays the same configuration after
// Format and Parse, and that an error has a text.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		example, "", "[team a]\nquota=1e3", "[route r]\ntasks = a in (b,c), !d\n", "[team a", "=\n[]\n",
		"[team DEFAULT]\n[worker a.b]\nlabels = x=\n", "[domain d] ; comment\nlabels = a=1 # comment\n", "\ufeff[team t]\r\nquota = 3\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := configfile.Parse("x", []byte(text))
		if err != nil {
			if err.Error() == "" {
				t.Error("got an error without a text")
			}
			return
		}
		formatted := configfile.Format(c)
		again, err := configfile.Parse("x", []byte(formatted))
		if err != nil {
			t.Fatalf("%v in\n%s", err, formatted)
		}
		if got := configfile.Format(again); got != formatted {
			t.Errorf("first formatted as\n%s\nand after parsing as\n%s", formatted, got)
		}
	})
}

// FuzzSelector checks that a selector that ParseSelector accepts stays the same after
// formatting and parsing.
func FuzzSelector(f *testing.F) {
	for _, seed := range []string{"", "a=b", "a!=b,c", "a in (b,c),!d", "a notin ()", "a in (,)", "a=", "x y z", "((", "a>1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		sel, err := configfile.ParseSelector(text)
		if err != nil {
			return
		}
		formatted := config.SelectorString(sel)
		again, err := configfile.ParseSelector(formatted)
		if err != nil || config.SelectorString(again) != formatted {
			t.Errorf("%q became %q, then %q (%v)", text, formatted, config.SelectorString(again), err)
		}
	})
}
