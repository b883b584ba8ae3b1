package config

import (
	"cmp"
	"reflect"
)

// Kind is the kind of an object.
type Kind string

// The kinds of objects.
const (
	KindDomain   Kind = "domain"
	KindWorker   Kind = "worker"
	KindUpstream Kind = "upstream"
	KindTeam     Kind = "team"
	KindRoutes   Kind = "routes"
	KindOut      Kind = "out"
)

// Key names one object. Name is empty for KindRoutes.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name,omitempty"`
}

// String returns "kind name".
func (k Key) String() string {
	if k.Name == "" {
		return string(k.Kind)
	}
	return string(k.Kind) + " " + k.Name
}

// Compare orders keys by kind, then by name.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// Object is a union: exactly one field is set. It must not be modified once it
// is part of a Config.
type Object struct {
	Domain   *Domain   `json:"domain,omitempty"`
	Worker   *Worker   `json:"worker,omitempty"`
	Upstream *Upstream `json:"upstream,omitempty"`
	Team     *Team     `json:"team,omitempty"`
	Routes   *Routes   `json:"routes,omitempty"`
	Out      *Out      `json:"out,omitempty"`
}

// Key returns the key of the object, or the zero Key when no field is set.
func (o Object) Key() Key {
	switch {
	case o.Domain != nil:
		return Key{KindDomain, o.Domain.Name}
	case o.Worker != nil:
		return Key{KindWorker, o.Worker.Name}
	case o.Upstream != nil:
		return Key{KindUpstream, o.Upstream.Name}
	case o.Team != nil:
		return Key{KindTeam, o.Team.Name}
	case o.Routes != nil:
		return Key{Kind: KindRoutes}
	case o.Out != nil:
		return o.Out.Key()
	default:
		return Key{}
	}
}

// Edit is a union: it puts an object, or deletes the object of a key.
type Edit struct {
	Put    *Object `json:"put,omitempty"`
	Delete *Key    `json:"delete,omitempty"`
}

// Key returns the key of the object that the edit touches.
func (e Edit) Key() Key {
	switch {
	case e.Put != nil:
		return e.Put.Key()
	case e.Delete != nil:
		return *e.Delete
	default:
		return Key{}
	}
}

// Diff returns the edits that turn from into to, ordered by key.
func Diff(from, to *Config) []Edit {
	var edits []Edit
	for _, key := range union(from, to) {
		before, had := from.objects[key]
		after, has := to.objects[key]
		switch {
		case !has:
			edits = append(edits, Edit{Delete: &key})
		case !had || !reflect.DeepEqual(before, after):
			edits = append(edits, Edit{Put: &after})
		}
	}
	return edits
}
