package agentd

import (
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/upstreamcall"
)

// maxUpstreams bounds the local upstreams of one agent.
const maxUpstreams = 64

// upstreams holds the connection pools of the announced upstreams. It is safe
// for concurrent use.
type upstreams struct {
	mono func() time.Duration

	mu    sync.Mutex
	pools map[string]*upstreamPool
}

// upstreamPool holds the connections to one upstream.
type upstreamPool struct {
	*upstreamcall.Pool
	addr        string
	connections int
	// expiresAt is the monotonic time at which the announcement lapses.
	expiresAt time.Duration
}

// set applies an announcement. If the address or the number of connections has
// changed, the upstream gets a new pool; running tasks continue in the old one. The
// error is an *httpserver.Error.
func (u *upstreams) set(a Announcement, now time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.removeExpired(now)
	p, ok := u.pools[a.Name]
	if ok && p.addr == a.Addr && p.connections == a.Connections {
		p.expiresAt = now + a.ttl()
		return nil
	}
	if ok {
		p.Close()
	} else if len(u.pools) >= maxUpstreams {
		return httpserver.BadRequest("%d upstreams are announced; the limit is %d", len(u.pools), maxUpstreams)
	}
	if u.pools == nil {
		u.pools = make(map[string]*upstreamPool)
	}
	u.pools[a.Name] = &upstreamPool{
		Pool:        upstreamcall.NewPool(a.Addr, a.Connections, u.mono),
		addr:        a.Addr,
		connections: a.Connections,
		expiresAt:   now + a.ttl(),
	}
	return nil
}

// removeExpired removes the pools whose announcement lapsed more than maxTTL ago.
func (u *upstreams) removeExpired(now time.Duration) {
	for name, p := range u.pools {
		if now > p.expiresAt+maxTTL {
			p.Close()
			delete(u.pools, name)
		}
	}
}

// get returns the pool of an upstream, or nil if the upstream is not announced.
func (u *upstreams) get(name string) *upstreamcall.Pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p, ok := u.pools[name]; ok {
		return p.Pool
	}
	return nil
}

// remove deletes the pool of an upstream. Running tasks continue.
func (u *upstreams) remove(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p, ok := u.pools[name]; ok {
		p.Close()
		delete(u.pools, name)
	}
}
