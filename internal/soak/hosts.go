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
	// announceInterval is the time between two announcements of an upstream.
	announceInterval = 500 * time.Millisecond
	// memoryLimit is the memory limit in the settings of each process, in bytes.
	memoryLimit = 128 << 20
	// capacityCPU and capacityMemory are the capacity of an upstream in thousandths of a CPU
	// and megabytes, taskCPU and taskMemory the part of it that a task needs.
	capacityCPU, capacityMemory = 16000, 16000
	taskCPU, taskMemory         = 1000, 100
	// slowClock is the clock rate of every second upstream. It is the slowest rate that the
	// platform permits.
	slowClock = 0.98
)

// dialer opens the connections of callers, configuration probes and announcing upstreams.
var dialer = &net.Dialer{Timeout: time.Second}

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dispatcher is a dispatcher process, which serves the callers at callersAddr.
type dispatcher struct {
	process
	callersAddr string
}

// status returns the HTTP status of a GET, or zero without an answer.
func (d *dispatcher) status(client *http.Client, path string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+d.callersAddr+path, nil)
	if err != nil {
		panic("cannot build a request: " + err.Error())
	}
	r.Host = routeHost
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// agent is an agent process and its local upstream.
type agent struct {
	process
	transportAddr     string
	announcementsAddr string
	upstream          *platform.StandinUpstream
	upstreamAddr      string
	// crashes has the incarnation of the upstream that a task is about to crash.
	crashes chan int64

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	// links holds the proxy through which each dispatcher reaches the agent.
	links map[string]*link
}

// serveUpstream opens the port of the upstream and serves on it.
func (a *agent) serveUpstream() error {
	l, err := listenWithRetry(a.upstreamAddr)
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
	// listenTries and listenRetryDelay bound the time that listenWithRetry waits for a port
	// to become free.
	listenTries      = 20
	listenRetryDelay = 50 * time.Millisecond
)

// listenWithRetry opens a port. It retries while the port is in use, because a port may
// stay in use for a moment after its previous listener was closed.
func listenWithRetry(addr string) (l net.Listener, err error) {
	for range listenTries {
		if l, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(listenRetryDelay)
	}
	return nil, err
}

// closeUpstream closes the port of the upstream and all its connections.
func (a *agent) closeUpstream() {
	a.mu.Lock()
	server, l := a.server, a.listener
	a.server = nil
	a.mu.Unlock()
	if server != nil {
		_ = server.Close()
		_ = l.Close() // The server does not close a listener that it has not begun to serve.
	}
}

// announce sends the announcements of the upstream to its agent until ctx ends.
func (a *agent) announce(ctx context.Context, c *checks) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	for ctx.Err() == nil {
		a.mu.Lock()
		serving := a.server != nil
		a.mu.Unlock()
		if serving {
			a.announceOnce(ctx, client, c)
		}
		lifecycle.Wait(announceInterval, ctx.Done())
	}
}

// announceOnce sends one announcement.
func (a *agent) announceOnce(ctx context.Context, client *http.Client, c *checks) {
	incarnation, draining := a.upstream.Incarnation()
	method, path, body := a.upstream.Announcement(service)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.announcementsAddr+path, bytes.NewReader(body))
	if err != nil {
		panic("cannot build an announcement: " + err.Error())
	}
	resp, err := client.Do(r)
	if err != nil {
		return // The agent is not reachable; the next announcement tries again.
	}
	_ = resp.Body.Close()
	if draining && resp.StatusCode == http.StatusOK {
		c.recordDraining(upstreamIncarnation{a.upstream, incarnation})
	}
}

// addDispatcher adds a dispatcher and writes its settings. It does not start the process.
func (s *Soak) addDispatcher(i int) error {
	ip := fmt.Sprintf("127.%d.1.%d", s.loopbackNet, i+1)
	d := &dispatcher{callersAddr: ip + ":8080"}
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
		"[timing]\ngrace = 5s\nreadiness_delay = 2s\ndrain_connections = true",
	)
	if err != nil {
		return err
	}
	d.argv = []string{s.cfg.Dispatcher, "dispatcher", "--settings", path}
	d.logPath = filepath.Join(s.cfg.Dir, d.name+".log")
	s.dispatchers = append(s.dispatchers, d)
	return nil
}

// addAgent adds an agent with its upstream, and a link from each dispatcher to it. It serves
// the upstream, but does not start the process.
func (s *Soak) addAgent(i int) error {
	ip := fmt.Sprintf("127.%d.2.%d", s.loopbackNet, i+1)
	a := &agent{transportAddr: ip + ":7200", announcementsAddr: ip + ":8166", upstreamAddr: ip + ":8090", crashes: make(chan int64, 1), links: map[string]*link{}}
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
		"[upstream]\naddress = "+a.upstreamAddr+"\nlearn_capacity = true\nrefuse_failing = true",
		"[store]\naddress = "+storeAddr,
		fmt.Sprintf("[limits]\nmemory = %dMiB", memoryLimit>>20),
	)
	if err != nil {
		return err
	}
	a.argv = []string{s.cfg.Agent, "lease", "--settings", path}
	a.logPath = filepath.Join(s.cfg.Dir, a.name+".log")
	for j, d := range s.dispatchers {
		l, err := newLink(fmt.Sprintf("127.%d.%d.%d:7200", s.loopbackNet, 10+j, i+1), a.transportAddr)
		if err != nil {
			return err
		}
		a.links[d.name] = l
	}
	s.agents = append(s.agents, a)
	return a.serveUpstream()
}

// serveStore serves the store to one process and returns the address. Each process has its
// own address, so that the store can tell them apart.
func (s *Soak) serveStore(reader string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s.store.HandlerFor(reader)}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}
