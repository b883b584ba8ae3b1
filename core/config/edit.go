package config

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

// Key names one object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name,omitempty"`
}

// Object is a union: exactly one field is set.
type Object struct {
	Domain   *Domain   `json:"domain,omitempty"`
	Worker   *Worker   `json:"worker,omitempty"`
	Upstream *Upstream `json:"upstream,omitempty"`
	Team     *Team     `json:"team,omitempty"`
	Routes   *Routes   `json:"routes,omitempty"`
	Out      *Out      `json:"out,omitempty"`
}

// Edit is a union: it puts an object, or deletes the object of a key.
type Edit struct {
	Put    *Object `json:"put,omitempty"`
	Delete *Key    `json:"delete,omitempty"`
}
