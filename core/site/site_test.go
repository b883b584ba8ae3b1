package site

import (
	"testing"
	"time"
)

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	s := &State{Routes: []Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}}
	tests := []struct{ host, path, route, rest string }{
		{"a.example", "/x/1", "short", "1"},
		{"a.example", "/x/y/1", "long", "1"},
		{"a.example", "/x/y/z/1", "long", "z/1"},
		{"b.example", "/x/1", "", ""},
		{"c.example", "/x/1", "", ""},
		{"a.example", "/x", "", ""},
	}
	for _, tt := range tests {
		r, rest, ok := s.Match(tt.host, tt.path)
		if ok != (tt.route != "") || ok && (r.Name != tt.route || rest != tt.rest) {
			t.Errorf("match of %s%s: got route %v, rest %q, ok %v", tt.host, tt.path, r, rest, ok)
		}
	}
}

func TestObjective(t *testing.T) {
	r := &Route{Stretch: 1.5, Margin: 60 * time.Millisecond}
	if got := r.Objective(100 * time.Millisecond); got != 210*time.Millisecond {
		t.Errorf("got objective %v, want 210ms", got)
	}
}
