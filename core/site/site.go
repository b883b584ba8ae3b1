// Package site holds the state that operators have published for a whole deployment:
// which requests go to which service, and which failure domains get no work.
package site

import (
	"slices"
	"strings"
	"time"
)

// State is the newest published state that a process knows. A State replaces another only
// when its Revision is higher. It is immutable.
type State struct {
	// Revision is the position in the store up to which this state is current.
	Revision int64 `json:"rev"`
	// Version is the operators' version number of the configuration, for logs.
	Version int64 `json:"ver"`
	// Configured is false until a configuration has been published.
	Configured bool     `json:"set"`
	Routes     []Route  `json:"routes,omitempty"`
	DomainsOut []string `json:"out,omitempty"`
	Limits     Limits   `json:"limits"`
}

// Limits are what the operators promise to callers: a request within them is not refused for its
// size or its time. Zero means that the operators state no limit.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes of the header and the body of a request.
	HeaderBytes int64 `json:"header,omitempty"`
	BodyBytes   int64 `json:"body,omitempty"`
	// HeaderTimeout is the time in which a caller must send a header, and IdleTimeout the time for
	// which it may keep a connection open without a request.
	HeaderTimeout time.Duration `json:"header_time,omitempty"`
	IdleTimeout   time.Duration `json:"idle_time,omitempty"`
}

// Route assigns the requests with one host and path prefix to one service.
type Route struct {
	Name string `json:"name"`
	// Host is the name in the Host header, in lower case and without a port.
	Host       string `json:"host"`
	PathPrefix string `json:"prefix"`
	// Service is the service whose upstreams run the tasks.
	Service string `json:"service"`
	// Priority orders waiting jobs; 0 comes first.
	Priority int `json:"prio,omitempty"`
	// MaxAttempts is the number of reported failures of a task after which its job fails.
	MaxAttempts int `json:"attempts"`
	// The target response time of a job is Stretch times the duration of its longest task,
	// plus Margin.
	Stretch float64       `json:"stretch"`
	Margin  time.Duration `json:"margin"`
	// Timeout limits the duration of a job.
	Timeout time.Duration `json:"timeout"`
}

// Objective returns the target response time of a job whose longest task takes longest.
func (r *Route) Objective(longest time.Duration) time.Duration {
	return time.Duration(float64(longest)*r.Stretch) + r.Margin
}

// Match returns the route of a request: the one with this host and the longest matching
// prefix of the path. Rest is the remaining path after the prefix.
func (s *State) Match(host, path string) (route *Route, rest string, ok bool) {
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if route == nil || len(r.PathPrefix) > len(route.PathPrefix) {
			route = r
		}
	}
	if route == nil {
		return nil, "", false
	}
	return route, path[len(route.PathPrefix):], true
}

// Route returns the route with this name, or nil if there is none.
func (s *State) Route(name string) *Route {
	if i := slices.IndexFunc(s.Routes, func(r Route) bool { return r.Name == name }); i >= 0 {
		return &s.Routes[i]
	}
	return nil
}

// IsDomainOut reports whether operators have taken the failure domain out.
func (s *State) IsDomainOut(domain string) bool { return slices.Contains(s.DomainsOut, domain) }
