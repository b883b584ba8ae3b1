package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

const (
	routeHost   = "jobs.example"
	routePrefix = "/q/"
	serviceName = "crew"
	// readyTime is how long a site may take to be ready.
	readyTime = 20 * time.Second
)

// process is one program of the deploy file.
type process struct {
	name  string
	argv  []string
	log   string
	cmd   *exec.Cmd
	ended chan struct{}
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(p.argv[0], p.argv[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// dispatcher is a dispatcher process on an entry host.
type dispatcher struct {
	process
	callers, ready, transport, metrics string
}

// agent is an agent process beside a runner.
type agent struct {
	process
	runner *runner
	// transport is where dispatchers reach the agent, and links holds the proxies through which
	// they do, by the name of the dispatcher.
	transport string
	links     map[string]*link
}

// deployment is a small site: its programs, runners and store.
type deployment struct {
	dir, programs string
	log           *record
	store         *platform.StandinStore
	dispatchers   []*dispatcher
	// mu guards agents while the store reads it.
	mu     sync.Mutex
	agents []*agent
	cancel context.CancelFunc
	ctx    context.Context
}

func newDeployment(dir, programs string, log *record) *deployment {
	d := &deployment{dir: dir, programs: programs, log: log, store: platform.NewStandinStore()}
	d.store.RewriteAgentRecord = d.throughLink
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// close ends all processes and runners.
func (d *deployment) close() {
	for _, x := range d.dispatchers {
		x.kill()
	}
	for _, x := range d.agents {
		x.kill()
	}
	d.cancel()
}

// host is a loopback address that other programs hardly use, so that a port which was free stays so.
var host = fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))

// taken holds the addresses that freeAddr has returned. No program may listen there yet.
var taken = map[string]bool{}

// freeAddr returns a free port of a loopback address, each only once.
func freeAddr() string {
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic("no free port: " + err.Error())
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !taken[addr] {
			taken[addr] = true
			return addr
		}
	}
}

// serveStore serves the store to one process and returns the address.
func (d *deployment) serveStore(name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: d.store.HandlerFor(name), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// addDispatcher starts a dispatcher with the settings of the deploy file's template.
func (d *deployment) addDispatcher(zone string) error {
	name := fmt.Sprintf("edge-%s-%d", zone, len(d.dispatchers)+1)
	x := &dispatcher{callers: freeAddr(), ready: freeAddr(), transport: freeAddr(), metrics: freeAddr()}
	storeAddr, err := d.serveStore(name)
	if err != nil {
		return err
	}
	settings := fmt.Sprintf("[node]\nrole = dispatcher\nid = %s\ndomain = %s\n\n[listen]\ncallers = %s\nready = %s\ntransport = %s\nmetrics = %s\n\n[store]\naddress = %s\n\n"+
		"[limits]\nmemory = 284MiB\n\n[timing]\ndrain_connections = true\n\n[placement]\nlearn_speed = true\n\n"+
		"[overload]\norder_across = true\nuseful_factor = 3\npredict = true\nrefuse_late_starts = true\nmin_share = 0.1\n",
		name, zone, x.callers, x.ready, x.transport, x.metrics, storeAddr)
	if err := d.prepare(&x.process, name, settings, "dogwoodgauge", "dispatcher"); err != nil {
		return err
	}
	d.dispatchers = append(d.dispatchers, x)
	return x.start()
}

// addAgent starts an agent with the settings of the deploy file's template, and its runner.
func (d *deployment) addAgent(zone string, cpu int, born time.Time) error {
	n := len(d.agents) + 1
	name := fmt.Sprintf("side-%s-%d", zone, n)
	control := freeAddr()
	x := &agent{transport: freeAddr(), links: map[string]*link{}, runner: &runner{
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), label: zone, service: serviceName, zone: zone, cpu: cpu, addr: freeAddr(), control: control, log: d.log,
	}}
	storeAddr, err := d.serveStore(name)
	if err != nil {
		return err
	}
	settings := fmt.Sprintf("[node]\nrole = lessee\nid = %s\ndomain = %s\n\n[listen]\nannouncements = %s\ntransport = %s\nmetrics = %s\n\n"+
		"[upstream]\naddress = %s\nlearn_capacity = true\nrefuse_failing = true\n\n[store]\naddress = %s\n\n[limits]\nmemory = 152MiB\n",
		name, zone, control, x.transport, freeAddr(), x.runner.addr, storeAddr)
	if err := d.prepare(&x.process, name, settings, "dogwoodgauge-agent", "lease"); err != nil {
		return err
	}
	for _, o := range d.dispatchers {
		l, err := newLink(x.transport)
		if err != nil {
			return err
		}
		x.links[o.name] = l
	}
	d.mu.Lock()
	d.agents = append(d.agents, x)
	d.mu.Unlock()
	if err := x.runner.start(born); err != nil {
		return err
	}
	go x.runner.work(d.ctx)
	go x.runner.beat(d.ctx)
	return x.start()
}

func (d *deployment) prepare(p *process, name, settings, program, command string) error {
	path := filepath.Join(d.dir, name+".ini")
	p.name, p.log = name, filepath.Join(d.dir, name+".log")
	p.argv = []string{filepath.Join(d.programs, program), command, "--settings", path}
	return os.WriteFile(path, []byte(settings), 0o644)
}

// configure publishes a configuration with one queue.
func (d *deployment) configure(version int64) {
	d.store.PutConfig(version, []site.Route{{
		Name: "r-1", Host: routeHost, PathPrefix: routePrefix, Service: serviceName, Priority: 0, MaxAttempts: 3,
		Stretch: 1.6, Margin: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond,
	}})
}

// awaitReady waits until every dispatcher takes work and knows that every agent is ready.
func (d *deployment) awaitReady() error {
	all := fmt.Sprintf("dogwoodgauge_agents_ready %d\n", len(d.agents))
	end := time.Now().Add(readyTime)
	for _, x := range d.dispatchers {
		for !answers("http://"+x.ready+"/v1/ready", "") || !answers("http://"+x.metrics+"/metrics", all) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", x.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	return nil
}

// answers tells whether a GET of url gets 200 and a body with text in it.
func answers(url, text string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(body), text)
}

// askCounts requests the number of waiting jobs from a dispatcher all the time, as other clients do.
func (d *deployment) askCounts(x *dispatcher) {
	client := &http.Client{Timeout: time.Second}
	for d.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		q, err := http.NewRequestWithContext(d.ctx, http.MethodGet, "http://"+x.callers+routePrefix, nil)
		if err != nil {
			return
		}
		q.Host = routeHost
		if resp, err := client.Do(q); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
}

// step is a step of a job.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	MemMb    int    `json:"memMb"`
	After    []int  `json:"after,omitempty"`
	EstMs    int    `json:"estimateMs,omitempty"`
	Requires string `json:"requires,omitempty"`
}

// send sends a request of a client on a new connection and returns the status, or 0 without an
// answer.
func (d *deployment) send(x *dispatcher, method, id string, body any, wait time.Duration) (int, string) {
	var r io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		r = bytes.NewReader(raw)
	}
	q, err := http.NewRequest(method, "http://"+x.callers+routePrefix+id, r)
	if err != nil {
		return 0, err.Error()
	}
	q.Host = routeHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	d.log.event("%s %s is sent to %s", method, id, x.name)
	resp, err := client.Do(q)
	if err != nil {
		d.log.event("%s %s gets no answer of %s", method, id, x.name)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	d.log.event("%s %s gets %d of %s: %s", method, id, resp.StatusCode, x.name, bytes.TrimSpace(raw))
	return resp.StatusCode, string(raw)
}
