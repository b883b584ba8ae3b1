package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

const (
	zone        = "zone-a"
	service     = "records"
	routeHost   = "desk.example"
	routePrefix = "/checks/"
	frontPort   = 8161
	controlPort = 8166
	readyPort   = 8167
	peerPort    = 7720
	appPort     = 8090
	startLimit  = 15 * time.Second
)

// program is one process of the system.
type program struct {
	name string
	argv []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// deployment is a small site: the system's own processes and the stand-ins round them.
type deployment struct {
	world *world
	dir   string
	net   string
	store *platform.StandinStore
	// storeOfFronts and storeOfSides are the addresses of the store.
	storeOfFronts, storeOfSides string
	fronts                      []*program
	frontAddrs                  []string
	sides                       []*program
	runners                     []*runner
	// links are the proxies through which the dispatchers reach each agent.
	links []*link
}

// newDeployment makes the settings of a site with this number of entry hosts and runners. It
// starts nothing but the store.
func newDeployment(w *world, fronts, sides int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{world: w, dir: dir, store: platform.NewStandinStore()}
	if d.net, err = freeNet(); err != nil {
		return nil, err
	}
	d.store.RewriteAgentRecord = d.throughLink
	if d.storeOfFronts, err = d.serveStore("fronts"); err != nil {
		return nil, err
	}
	if d.storeOfSides, err = d.serveStore("sides"); err != nil {
		return nil, err
	}
	d.store.PutConfig(1, []site.Route{{
		Name: "checks", Host: routeHost, PathPrefix: routePrefix, Service: service, Priority: 1, MaxAttempts: 4,
		Stretch: 1.6, Margin: 300 * time.Millisecond, Timeout: 10 * time.Second,
	}})
	for i := range sides {
		if err := d.addSide(i); err != nil {
			return nil, err
		}
	}
	for i := range fronts {
		if err := d.addFront(i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// freeNet returns the first two bytes of a part of 127.0.0.0/8 whose ports are free.
func freeNet() (string, error) {
	for range 20 {
		n := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", n, frontPort))
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (d *deployment) serveStore(reader string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, d.store.HandlerFor(reader)) }()
	return l.Addr().String(), nil
}

// throughLink changes the address of an agent that a dispatcher reads to that of the proxy.
func (d *deployment) throughLink(reader, _ string, value []byte) []byte {
	if reader != "fronts" {
		return value
	}
	var record map[string]json.RawMessage
	if json.Unmarshal(value, &record) != nil {
		return value
	}
	for _, l := range d.links {
		if string(record["addr"]) == `"`+l.target+`"` {
			record["addr"], _ = json.Marshal(l.addr)
		}
	}
	changed, _ := json.Marshal(record)
	return changed
}

// address returns an address of the deployment: the host with this index in a part of its net.
func (d *deployment) address(part, i, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", d.net, part, i+1, port)
}

func (d *deployment) addSide(i int) error {
	ip := fmt.Sprintf("%s.2.%d", d.net, i+1)
	r := &runner{
		world: d.world, id: fmt.Sprintf("i-%d", i+1), service: service, zone: zone, addr: fmt.Sprintf("%s:%d", ip, appPort),
		control: fmt.Sprintf("%s:%d", ip, controlPort), size: capacity{CPU: 32000, MemMB: 32000}, stopTakes: 45 * time.Millisecond,
	}
	d.runners = append(d.runners, r)
	l := &link{addr: d.address(3, i, peerPort), target: d.address(2, i, peerPort)}
	if err := l.open(); err != nil {
		return err
	}
	d.links = append(d.links, l)
	p, err := d.program(fmt.Sprintf("side-%d", i+1), "lessee", map[string]string{
		"ip": ip, "listenAddrs.control": r.control, "app": r.addr, "platform.address": d.storeOfSides, "limits.memoryMb": "152",
	})
	d.sides = append(d.sides, p)
	return err
}

func (d *deployment) addFront(i int) error {
	ip := fmt.Sprintf("%s.1.%d", d.net, i+1)
	front := fmt.Sprintf("%s:%d", ip, frontPort)
	p, err := d.program(fmt.Sprintf("edge-%d", i+1), "dispatcher", map[string]string{
		"ip": ip, "listenAddrs.front": front, "listenAddrs.ready": fmt.Sprintf("%s:%d", ip, readyPort),
		"platform.address": d.storeOfFronts, "limits.memoryMb": "284",
	})
	d.fronts, d.frontAddrs = append(d.fronts, p), append(d.frontAddrs, front)
	return err
}

var (
	seedsSection = regexp.MustCompile(`(?s)\{\{#seedNodes\.0\}\}.*?\{\{/seedNodes\.0\}\}\n?`)
	placeholder  = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// program fills the template of a role of the deploy file, without seeds, as the platform does.
func (d *deployment) program(name, role string, fields map[string]string) (*program, error) {
	raw, err := os.ReadFile("deploy/" + role + ".ini")
	if err != nil {
		return nil, err
	}
	fields["nodeName"], fields["zone"], fields["internalPorts.0"] = name, zone, fmt.Sprint(peerPort)
	var missing []string
	text := placeholder.ReplaceAllStringFunc(seedsSection.ReplaceAllString(string(raw), ""), func(s string) string {
		value, ok := fields[strings.Trim(s, "{}")]
		if !ok {
			missing = append(missing, s)
		}
		return value
	})
	if len(missing) > 0 {
		return nil, fmt.Errorf("the template of %s has unknown fields %v", role, missing)
	}
	path := filepath.Join(d.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	argv := []string{"target/dogwoodgauge", "dispatcher", "--settings", path}
	if role == "lessee" {
		argv = []string{"target/dogwoodgauge-agent", "lease", "--settings", path}
	}
	return &program{name: name, argv: argv, log: filepath.Join(d.dir, name+".log")}, nil
}

// start starts the process.
func (p *program) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(p.argv[0], p.argv[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *program) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *program) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// start starts all processes and runners, and waits until every dispatcher is ready.
func (d *deployment) start(labels ...string) error {
	for _, p := range append(append([]*program{}, d.sides...), d.fronts...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, r := range d.runners {
		if err := r.start(labels...); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startLimit)
	for i := range d.fronts {
		for !d.ready(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", d.fronts[i].name, startLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // All agents are connected by then.
	d.world.record("the site is up: %d dispatchers, %d agents", len(d.fronts), len(d.sides))
	return nil
}

// ready reports whether a dispatcher says that it is ready.
func (d *deployment) ready(i int) bool {
	client := &http.Client{Timeout: time.Second}
	host := netip.MustParseAddrPort(d.frontAddrs[i]).Addr()
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", host, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close(keep bool) {
	for _, p := range append(append([]*program{}, d.fronts...), d.sides...) {
		p.kill()
	}
	if !keep {
		_ = os.RemoveAll(d.dir)
	}
}
