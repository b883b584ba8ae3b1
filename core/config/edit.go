package config

import (
	"cmp"
	"reflect"
)

// Kind is the type of an object.
type Kind string

// The types of objects.
const (
	KindDomain   Kind = "domain"
	KindWorker   Kind = "worker"
	KindUpstream Kind = "upstream"
	KindTeam     Kind = "team"
	KindRoutes   Kind = "routes"
	KindTakeOut  Kind = "out"
)

// Key identifies an object. Name is empty for KindRoutes, of which there is only
// one object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name,omitempty"`
}

// String returns the kind and, after a space, the name if it is not empty.
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

// Object is an object of the configuration. Exactly one field is set. An Object
// must not be modified once it is part of a Config.
type Object struct {
	Domain   *Domain   `json:"domain,omitempty"`
	Worker   *Worker   `json:"worker,omitempty"`
	Upstream *Upstream `json:"upstream,omitempty"`
	Team     *Team     `json:"team,omitempty"`
	Routes   *Routes   `json:"routes,omitempty"`
	TakeOut  *TakeOut  `json:"out,omitempty"`
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
	case o.TakeOut != nil:
		return o.TakeOut.Key()
	default:
		return Key{}
	}
}

// Edit adds or replaces the object Put, or deletes the object with the key
// Delete. Exactly one field is set.
type Edit struct {
	Put    *Object `json:"put,omitempty"`
	Delete *Key    `json:"delete,omitempty"`
}

// Key returns the key of the object to put or to delete, or the zero Key when
// neither field is set.
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

// Diff returns the edits that turn the configuration from into to, ordered by
// Key.Compare.
func Diff(from, to *Config) []Edit {
	var edits []Edit
	for _, key := range keyUnion(from, to) {
		before, existed := from.objects[key]
		after, exists := to.objects[key]
		switch {
		case !exists:
			edits = append(edits, Edit{Delete: &key})
		case !existed || !reflect.DeepEqual(before, after):
			edits = append(edits, Edit{Put: &after})
		}
	}
	return edits
}
