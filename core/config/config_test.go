package config_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

func in(key string, values ...string) label.Requirement {
	return label.Requirement{Key: key, Operator: label.In, Values: values}
}

func put(objects ...config.Object) []config.Edit {
	var edits []config.Edit
	for _, o := range objects {
		edits = append(edits, config.Edit{Put: &o})
	}
	return edits
}

func fold(t *testing.T, objects ...config.Object) *config.Config {
	t.Helper()
	c, err := config.Empty().Fold(1, put(objects...))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func routes(r ...config.Route) config.Object {
	return config.Object{Routes: &config.Routes{Routes: r}}
}

func TestMatch(t *testing.T) {
	c := fold(t, routes(
		config.Route{Name: "checkout", Tasks: label.Selector{in("kind", "checkout")}},
		config.Route{Name: "urgent", Tasks: label.Selector{in("team", "shop"), in("class", "urgent")}},
		config.Route{Name: "shop", Tasks: label.Selector{in("team", "shop")}},
	))
	for _, tc := range []struct {
		name   string
		team   string
		class  job.Class
		labels label.Set
		want   string
	}{
		{"by label", "x", job.Batch, label.Set{"kind": "checkout"}, "checkout"},
		{"first of two", "shop", job.Urgent, label.Set{"kind": "checkout"}, "checkout"},
		{"by class", "shop", job.Urgent, nil, "urgent"},
		{"by team", "shop", job.Normal, nil, "shop"},
		{"no route matches", "x", job.Urgent, nil, ""},
		{"task labels do not override reserved keys", "x", job.Urgent, label.Set{"team": "shop"}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, ok := c.Match(tc.team, tc.class, tc.labels)
			if r.Route != tc.want || ok != (tc.want != "") {
				t.Errorf("got route %q, found %v", r.Route, ok)
			}
		})
	}
}

func TestMatchWithoutRoutesAllowsAll(t *testing.T) {
	for name, c := range map[string]*config.Config{"empty": config.Empty(), "empty list": fold(t, routes())} {
		r, ok := c.Match("x", job.Normal, nil)
		if !ok || !r.Allows(config.Place{Domain: "d"}) {
			t.Errorf("%s configuration: a task is not allowed on a place", name)
		}
	}
	if (config.Rule{}).Allows(config.Place{}) {
		t.Error("the zero rule allows a place")
	}
}

func TestAllowsEffectiveLabels(t *testing.T) {
	objects := []config.Object{
		{Domain: &config.Domain{Name: "south", Labels: label.Set{"tier": "domain", "disk": "domain", "net": "domain"}}},
		{Worker: &config.Worker{Name: "w1", Labels: label.Set{"tier": "worker", "disk": "worker"}}},
		{Upstream: &config.Upstream{Name: "u1", Labels: label.Set{"tier": "upstream"}}},
	}
	place := config.Place{
		Domain: "south", Worker: "w1", Upstream: "u1",
		Labels: label.Set{"tier": "own", "disk": "own", "net": "own", "gpu": "own", "domain": "own"},
	}
	for _, tc := range []struct {
		name string
		sel  label.Selector
		want bool
	}{
		{"label of the upstream", label.Selector{in("tier", "upstream")}, true},
		{"label of the worker", label.Selector{in("disk", "worker")}, true},
		{"label of the domain", label.Selector{in("net", "domain")}, true},
		{"announced label", label.Selector{in("gpu", "own")}, true},
		{"reserved keys", label.Selector{in("domain", "south"), in("worker", "w1"), in("upstream", "u1")}, true},
		{"one requirement does not match", label.Selector{in("gpu", "own"), in("tier", "own")}, false},
		{"absent label must be absent", label.Selector{{Key: "x", Operator: label.NotExists}}, true},
		{"present label must be absent", label.Selector{{Key: "gpu", Operator: label.NotExists}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := fold(t, append(objects[:3:3], routes(config.Route{Name: "r", Upstreams: tc.sel}))...)
			r, _ := c.Match("x", job.Normal, nil)
			if got := r.Allows(place); got != tc.want {
				t.Errorf("got allowed %v, want the opposite", got)
			}
		})
	}
}

func TestOut(t *testing.T) {
	c := fold(
		t,
		config.Object{Domain: &config.Domain{Name: "east", Labels: label.Set{"region": "r1"}}},
		config.Object{TakeOut: &config.TakeOut{Domain: "south"}},
		config.Object{TakeOut: &config.TakeOut{Selector: label.Selector{in("region", "r1")}}},
		config.Object{TakeOut: &config.TakeOut{Selector: label.Selector{in("domain", "north", "west")}}},
	)
	for domain, want := range map[string]bool{"south": true, "east": true, "west": true, "other": false, "": false} {
		place := config.Place{Domain: domain, Labels: label.Set{"region": "r1", "domain": "south"}}
		if got := c.TakenOut(place); got != want {
			t.Errorf("domain %q: got taken out %v, want the opposite", domain, got)
		}
	}
}

func TestFoldLeavesReceiverUnchanged(t *testing.T) {
	team := func(quota float64) config.Object {
		return config.Object{Team: &config.Team{Name: "t", Quota: quota}}
	}
	before := fold(t, team(1))
	after, err := before.Fold(5, put(team(2)))
	if err != nil || after.Revision() != 5 {
		t.Fatalf("got revision %d and error %v, want revision 5", after.Revision(), err)
	}
	if old, _ := before.Team("t"); old.Quota != 1 {
		t.Error("Fold changed the configuration that it was called on")
	}
	if _, err := before.Fold(6, put(team(3), team(4))); err == nil {
		t.Error("two edits of one object were accepted")
	}
	if _, err := before.Fold(6, make([]config.Edit, config.MaxEdits+1)); err == nil {
		t.Error("more than MaxEdits edits were accepted")
	}
}

func TestDiff(t *testing.T) {
	from := fold(
		t,
		config.Object{Team: &config.Team{Name: "gone"}},
		config.Object{Team: &config.Team{Name: "same", Quota: 1}},
		config.Object{Team: &config.Team{Name: "other", Quota: 1}},
	)
	to := fold(
		t,
		config.Object{Team: &config.Team{Name: "same", Quota: 1}},
		config.Object{Team: &config.Team{Name: "other", Quota: 2}},
		config.Object{TakeOut: &config.TakeOut{Domain: "south"}},
	)
	edits := config.Diff(from, to)
	got, _ := json.Marshal(edits)
	want := `[{"put":{"out":{"domain":"south"}}},{"delete":{"kind":"team","name":"gone"}},{"put":{"team":{"name":"other","quota":2}}}]`
	if string(got) != want {
		t.Errorf("got edits %s, want %s", got, want)
	}
	folded, err := from.Fold(2, edits)
	if err != nil || len(config.Diff(folded, to)) != 0 {
		t.Errorf("folding the edits does not give the target configuration: error %v", err)
	}
}

func TestValidate(t *testing.T) {
	team := func(edit func(*config.Team)) config.Object {
		team := config.Team{Name: "t"}
		edit(&team)
		return config.Object{Team: &team}
	}
	out := func(r ...label.Requirement) config.Object {
		return config.Object{TakeOut: &config.TakeOut{Selector: r}}
	}
	many := make(label.Set)
	for i := range config.MaxLabels + 1 {
		many[strings.Repeat("k", i+1)] = ""
	}
	for _, tc := range []struct {
		name   string
		object config.Object
		want   string
	}{
		{"empty", config.Object{}, "object has 0 kinds, want 1"},
		{"two kinds", config.Object{Team: &config.Team{Name: "t"}, TakeOut: &config.TakeOut{Domain: "d"}}, "object has 2 kinds, want 1"},
		{"no name", config.Object{Worker: &config.Worker{}}, "name is empty"},
		{"long name", config.Object{Domain: &config.Domain{Name: strings.Repeat("d", 129)}}, "name has 129 bytes, at most 128"},
		{"space in name", config.Object{Upstream: &config.Upstream{Name: "a b"}}, `name "a b" has a space or an unprintable character`},
		{"reserved label", config.Object{Upstream: &config.Upstream{Name: "u", Labels: label.Set{"domain": "x"}}}, `label key "domain" is reserved`},
		{"too many labels", config.Object{Upstream: &config.Upstream{Name: "u", Labels: many}}, "33 labels, at most 32"},
		{"negative quota", team(func(t *config.Team) { t.Quota = -1 }), "quota -1 is not a finite number of at least 0"},
		{"quota is NaN", team(func(t *config.Team) { t.Quota = math.NaN() }), "quota NaN is not a finite number of at least 0"},
		{"unknown class", team(func(t *config.Team) { t.Class = "vip" }), `unknown class "vip"`},
		{"same route twice", routes(config.Route{Name: "r"}, config.Route{Name: "r"}), `route "r" is given twice`},
		{"out without domain and selector", out(), "out needs either a domain or a selector"},
		{"unknown operator", out(label.Requirement{Key: "a", Operator: "gt"}), `requirement on "a": unknown operator "gt"`},
		{"no values", out(label.Requirement{Key: "a", Operator: label.In}), `requirement on "a": values are missing`},
		{"values with the operator exists", out(label.Requirement{Key: "a", Operator: label.Exists, Values: []string{"x"}}), `requirement on "a": operator takes no values`},
		{"unsorted values", out(in("a", "y", "x")), `requirement on "a": values are not sorted`},
		{"comma in a value", out(in("a", "x,y")), `requirement on "a": a value has a character of the selector grammar`},
		{"comma in a key", out(in("a,b", "x")), `requirement on "a,b": key has a character of the selector grammar`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.object.Validate()
			if err == nil || err.Error() != tc.want {
				t.Errorf("got error %v, want %s", err, tc.want)
			}
		})
	}
}

func BenchmarkMatchAndAllows(b *testing.B) {
	c, err := config.Empty().Fold(1, put(
		config.Object{Worker: &config.Worker{Name: "w1", Labels: label.Set{"tier": "gold"}}},
		routes(config.Route{
			Name:      "r",
			Tasks:     label.Selector{in("team", "shop")},
			Upstreams: label.Selector{in("tier", "gold"), in("domain", "south")},
		}),
	))
	if err != nil {
		b.Fatal(err)
	}
	place := config.Place{Domain: "south", Worker: "w1", Upstream: "u1"}
	b.ReportAllocs()
	for b.Loop() {
		r, _ := c.Match("shop", job.Urgent, nil)
		r.Allows(place)
		c.TakenOut(place)
	}
}
