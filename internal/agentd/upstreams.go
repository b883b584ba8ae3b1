package agentd

import (
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/upstreamcall"
)

// maxUpstreams bounds the upstreams beside one agent.
const maxUpstreams = 64

// upstreams holds the connection pools of the announced upstreams. It is safe
// for concurrent use.
type upstreams struct {
	mono func() time.Duration

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the connections of one upstream.
type pool struct {
	*upstreamcall.Pool
	addr        string
	connections int
	// lapses is the monotonic time at which the announcement lapses.
	lapses time.Duration
}

// set takes an announcement. A new address or number of connections gets a new
// pool; tasks that run go on in the old one. The error is an *httpserver.Error.
func (u *upstreams) set(a Announcement, now time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sweep(now)
	p, ok := u.pools[a.Name]
	if ok && p.addr == a.Addr && p.connections == a.Connections {
		p.lapses = now + a.ttl()
		return nil
	}
	if ok {
		p.Close()
	} else if len(u.pools) >= maxUpstreams {
		return httpserver.BadRequest("%d upstreams are announced; the limit is %d", len(u.pools), maxUpstreams)
	}
	if u.pools == nil {
		u.pools = make(map[string]*pool)
	}
	u.pools[a.Name] = &pool{
		Pool:        upstreamcall.NewPool(a.Addr, a.Connections, u.mono),
		addr:        a.Addr,
		connections: a.Connections,
		lapses:      now + a.ttl(),
	}
	return nil
}

// sweep removes the pools whose announcement lapsed long ago.
func (u *upstreams) sweep(now time.Duration) {
	for name, p := range u.pools {
		if now > p.lapses+maxTTL {
			p.Close()
			delete(u.pools, name)
		}
	}
}

// get returns the pool of an upstream, or nil.
func (u *upstreams) get(name string) *upstreamcall.Pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p, ok := u.pools[name]; ok {
		return p.Pool
	}
	return nil
}

// remove forgets an upstream. Tasks that run go on.
func (u *upstreams) remove(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p, ok := u.pools[name]; ok {
		p.Close()
		delete(u.pools, name)
	}
}
