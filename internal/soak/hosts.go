package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

const (
	// announcePause is the pause between two announcements of an upstream.
	announcePause = 500 * time.Millisecond
	// memoryLimit is what the settings allow each process.
	memoryLimit = 128 << 20
	// capacityCPU and capacityMemory are the room of an upstream, taskCPU and taskMemory
	// what a task takes of it.
	capacityCPU, capacityMemory = 16000, 16000
	taskCPU, taskMemory         = 1000, 100
	// slowClock is the rate of the clocks of every second upstream: as slow as the
	// platform permits.
	slowClock = 0.98
)

// dialer connects callers and announcers.
var dialer = &net.Dialer{Timeout: time.Second}

func isRefusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dispatcher is a process that callers reach.
type dispatcher struct {
	process
	callers string
}

// status returns the status of a GET, or zero without an answer.
func (d *dispatcher) status(client *http.Client, path string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+d.callers+path, nil)
	if err != nil {
		panic("a request can't be made: " + err.Error())
	}
	r.Host = routeHost
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// agent is a process beside an upstream.
type agent struct {
	process
	transport     string
	announcements string
	upstream      *platform.StandinUpstream
	listen        string

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	// links are the proxies through which the dispatchers reach the agent.
	links map[string]*link
}

// serveUpstream opens the port of the upstream.
func (a *agent) serveUpstream() error {
	l, err := listenAgain(a.listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: a.upstream}
	a.mu.Lock()
	a.server, a.listener = server, l
	a.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

const (
	// listenTries and listenPause bound the time in which a port must become free that was
	// in use a moment ago.
	listenTries = 20
	listenPause = 50 * time.Millisecond
)

// listenAgain opens a port that may still be taken for a moment after its listener was
// closed.
func listenAgain(addr string) (l net.Listener, err error) {
	for range listenTries {
		if l, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(listenPause)
	}
	return nil, err
}

// closeUpstream closes the port of the upstream, and all connections with it.
func (a *agent) closeUpstream() {
	a.mu.Lock()
	server, l := a.server, a.listener
	a.server = nil
	a.mu.Unlock()
	if server != nil {
		_ = server.Close()
		_ = l.Close() // The server does not know it yet if it has just been started.
	}
}

// announce lets the upstream announce itself until ctx ends.
func (a *agent) announce(ctx context.Context, c *checks) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	for ctx.Err() == nil {
		a.mu.Lock()
		up := a.server != nil
		a.mu.Unlock()
		if up {
			a.announceOnce(ctx, client, c)
		}
		lifecycle.Wait(announcePause, ctx.Done())
	}
}

func (a *agent) announceOnce(ctx context.Context, client *http.Client, c *checks) {
	born, draining := a.upstream.Incarnation()
	method, path, body := a.upstream.Announcement(service)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.announcements+path, bytes.NewReader(body))
	if err != nil {
		panic("an announcement can't be made: " + err.Error())
	}
	resp, err := client.Do(r)
	if err != nil {
		return // The agent is away; the next announcement follows.
	}
	_ = resp.Body.Close()
	if draining && resp.StatusCode == http.StatusOK {
		c.leaving(upstreamLife{a.upstream, born})
	}
}

// addDispatcher makes the settings and the store of a dispatcher.
func (s *Soak) addDispatcher(i int) error {
	ip := fmt.Sprintf("127.%d.1.%d", s.net, i+1)
	d := &dispatcher{callers: ip + ":8080"}
	d.name = fmt.Sprintf("entry-%d", i+1)
	storeAddr, err := s.serveStore(d.name)
	if err != nil {
		return err
	}
	path, err := settingsFile(s.cfg.Dir, d.name,
		fmt.Sprintf("[node]\nrole = dispatcher\nid = %s\ndomain = %s", d.name, domainName(i)),
		fmt.Sprintf("[listen]\ncallers = %[1]s:8080\nready = %[1]s:8081\ntransport = %[1]s:7200\nmetrics = %[1]s:9464", ip),
		"[store]\naddress = "+storeAddr,
		fmt.Sprintf("[limits]\nmemory = %dMiB", memoryLimit>>20),
		"[timing]\ngrace = 5s\nreadiness_delay = 2s",
	)
	if err != nil {
		return err
	}
	d.argv = []string{s.cfg.Dispatcher, "dispatcher", "--settings", path}
	d.log = filepath.Join(s.cfg.Dir, d.name+".log")
	s.dispatchers = append(s.dispatchers, d)
	return nil
}

// addAgent makes an agent with its upstream, its store and its links.
func (s *Soak) addAgent(i int) error {
	ip := fmt.Sprintf("127.%d.2.%d", s.net, i+1)
	a := &agent{transport: ip + ":7200", announcements: ip + ":8166", listen: ip + ":8090", links: map[string]*link{}}
	a.name = fmt.Sprintf("agent-%d", i+1)
	rate := 1.0
	if i%2 == 1 {
		rate = slowClock
	}
	a.upstream = s.fleet.Add("u-"+a.name, domainName(i), message.Resources{MilliCPU: capacityCPU, MemoryMB: capacityMemory}, rate)
	s.checks.agents[a.upstream] = &a.process
	storeAddr, err := s.serveStore(a.name)
	if err != nil {
		return err
	}
	path, err := settingsFile(s.cfg.Dir, a.name,
		fmt.Sprintf("[node]\nrole = lessee\nid = %s\ndomain = %s", a.name, domainName(i)),
		fmt.Sprintf("[listen]\nannouncements = %[1]s:8166\ntransport = %[1]s:7200\nmetrics = %[1]s:9465", ip),
		"[upstream]\naddress = "+a.listen,
		"[store]\naddress = "+storeAddr,
		fmt.Sprintf("[limits]\nmemory = %dMiB", memoryLimit>>20),
	)
	if err != nil {
		return err
	}
	a.argv = []string{s.cfg.Agent, "lease", "--settings", path}
	a.log = filepath.Join(s.cfg.Dir, a.name+".log")
	for j, d := range s.dispatchers {
		l, err := newLink(fmt.Sprintf("127.%d.%d.%d:7200", s.net, 10+j, i+1), a.transport)
		if err != nil {
			return err
		}
		a.links[d.name] = l
	}
	s.agents = append(s.agents, a)
	return a.serveUpstream()
}

// serveStore serves the store to one process and returns its address.
func (s *Soak) serveStore(reader string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s.store.For(reader)}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}
