// Command standins-2 plays the cases of the second review: it starts dispatchers and agents as
// separate processes with the commands of the deploy file, and simulates store, runners,
// clients and the platform's ingress around them. All addresses are loopback addresses.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

// Bounds of the small deployments, from their pages.
const (
	contactTime     = 3000 * time.Millisecond
	configApplyTime = 2000 * time.Millisecond
	cancelTime      = 3000 * time.Millisecond
	resendPause     = 1300 * time.Millisecond
	heartbeatTime   = 1500 * time.Millisecond
)

const (
	routeHost = "desk.example"
	service   = "crewrec"
)

// proc is one program of the deployment.
type proc struct {
	name, ip string
	argv     []string
	log      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// runner is a stand-in runner beside an agent.
type runner struct {
	agent    *proc
	upstream *platform.StandinUpstream
	server   *http.Server
	addr     string
	// listen is where the runner accepts calls.
	listen string

	mu sync.Mutex
	// drainingAckedAt is when the agent first acknowledged that the runner is draining.
	drainingAckedAt time.Time
	// lastBeat is the body of the last heartbeat.
	lastBeat map[string]any
}

// world is a small deployment.
type world struct {
	dir     string
	net     int
	startAt time.Time
	trouble bool

	mu     sync.Mutex
	record *os.File
	starts []runStart

	store *standinStore
	// cutStore is the store's address for edge-2, and links are the ways from edge-2 to the agents.
	cutStore    string
	links       []*link
	fleet       platform.StandinFleet
	dispatchers []*proc
	runners     []*runner
}

// runStart is a task that a runner has begun.
type runStart struct {
	at     time.Time
	runner *platform.StandinUpstream
	task   string
	run    int
	others []string
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (w *world) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(w.startAt).Seconds()) }

// newWorld starts a deployment with one failure domain for each dispatcher.
func newWorld(recordPath string, dispatchers, agents int) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{record: record, startAt: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	w.fleet.RunStarted = func(u *platform.StandinUpstream, _ int64, task string, run int, others []string) {
		w.mu.Lock()
		w.starts = append(w.starts, runStart{time.Now(), u, task, run, others})
		w.mu.Unlock()
		w.logf("runner %s starts %s run %d", w.nameOf(u), task, run)
		if len(others) > 0 {
			w.logf("the task runs on %v at the same time", others)
		}
	}
	w.fleet.RunCompleted = func(u *platform.StandinUpstream, task string, run int, how lessee.Completion) {
		w.logf("runner %s ends %s run %d: %s", w.nameOf(u), task, run, how)
	}
	for range 50 {
		w.net = 20 + rand.IntN(230)
		if w.store, err = newStandinStore(w.ip(3, 1) + ":8169"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if err := w.addLinks(agents); err != nil {
		return w, err
	}
	for i := range dispatchers {
		if err := w.addDispatcher(i); err != nil {
			return w, err
		}
	}
	for i := range agents {
		if err := w.addRunner(i, dispatchers); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", w.net, group, n) }

func (w *world) nameOf(u *platform.StandinUpstream) string {
	for _, r := range w.runners {
		if r.upstream == u {
			return r.agent.name
		}
	}
	return "?"
}

// fill writes a settings file from a template of the deploy folder.
func (w *world) fill(template, name string, values map[string]string) (string, error) {
	raw, err := os.ReadFile(filepath.Join("deploy", template))
	if err != nil {
		return "", err
	}
	text := string(raw)
	// No role serves the control plane, so there are no seed nodes.
	if from, to := strings.Index(text, "{{#seedNodes.0}}"), strings.Index(text, "{{/seedNodes.0}}"); from >= 0 && to > from {
		text = text[:from] + text[to+len("{{/seedNodes.0}}"):]
	}
	for k, v := range values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	path := filepath.Join(w.dir, name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func (w *world) addDispatcher(i int) error {
	ip, name := w.ip(1, i+1), fmt.Sprintf("edge-%d", i+1)
	store := w.store.addr
	if name == cutDispatcher {
		store = w.cutStore
	}
	path, err := w.fill("dispatcher.ini", name, map[string]string{
		"nodeName": name, "zone": zone(i), "listenAddrs.front": ip + ":8161", "listenAddrs.ready": ip + ":8167",
		"ip": ip, "internalPorts.0": "7720", "platform.address": store, "limits.memoryMb": "284",
	})
	if err != nil {
		return err
	}
	p := &proc{name: name, ip: ip, argv: []string{"target/dogwoodgauge", "dispatcher", "--settings", path}, log: filepath.Join(w.dir, name+".log")}
	w.dispatchers = append(w.dispatchers, p)
	return p.start()
}

func (w *world) addRunner(i, zones int) error {
	ip, name := w.ip(2, i+1), fmt.Sprintf("side-%d", i+1)
	r := &runner{addr: ip + ":8166", listen: ip + ":8090"}
	path, err := w.fill("lessee.ini", name, map[string]string{
		"nodeName": name, "zone": zone(i % zones), "listenAddrs.control": r.addr, "app": r.listen,
		"ip": ip, "internalPorts.0": "7720", "platform.address": w.store.addr, "limits.memoryMb": "152",
	})
	if err != nil {
		return err
	}
	r.agent = &proc{name: name, ip: ip, argv: []string{"target/dogwoodgauge-agent", "lease", "--settings", path}, log: filepath.Join(w.dir, name+".log")}
	w.runners = append(w.runners, r)
	r.upstream = w.fleet.Add("i-"+name, zone(i%zones), message.Resources{MilliCPU: 64000, MemoryMB: 131072}, 1)
	if err := r.serveWith(r.upstream); err != nil {
		return err
	}
	if err := r.agent.start(); err != nil {
		return err
	}
	go r.heartbeats()
	return nil
}

func zone(i int) string { return "zone-" + string(rune('a'+i)) }

// heartbeats sends the runner's heartbeats to its agent, until the process ends.
func (r *runner) heartbeats() {
	for {
		pause := heartbeatTime
		_, path, raw := r.upstream.Announcement(service)
		var body map[string]any
		if err := json.Unmarshal(raw, &body); err != nil {
			panic(err)
		}
		// The stand-in leaves out what the agent does not read.
		body["address"], body["version"], body["slots"], body["coldLeftMs"] = r.listen, "v1", 8, 0
		if status := r.beat(path, body); status != http.StatusOK {
			pause = 100 * time.Millisecond
		} else if _, draining := r.upstream.Incarnation(); draining && body["state"] == "draining" {
			r.mu.Lock()
			if r.drainingAckedAt.IsZero() {
				r.drainingAckedAt = time.Now()
			}
			r.mu.Unlock()
		}
		r.mu.Lock()
		r.lastBeat = body
		r.mu.Unlock()
		time.Sleep(pause)
	}
}

// beat sends one heartbeat and returns the status, or zero without an answer.
func (r *runner) beat(path string, body map[string]any) int {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+r.addr+path, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// start starts the program. It ends with this one.
func (p *proc) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// stop ends the program at once.
func (p *proc) stop() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// close ends all programs and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.dispatchers {
		p.stop()
	}
	for _, r := range w.runners {
		r.agent.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// publish writes a configuration as the operator does.
func (w *world) publish(version int64, routes ...site.Route) {
	w.store.topics.PutConfig(version, routes)
	w.logf("the operator's configuration %d is acknowledged", version)
}

func route(name string) site.Route {
	return site.Route{
		Name: name, Host: routeHost, PathPrefix: "/" + name + "/", Service: service, Priority: 0, MaxAttempts: 3,
		Stretch: 1.6, Margin: 60 * time.Millisecond, Timeout: 20 * time.Second,
	}
}

// awaitReady waits until every dispatcher is ready, and then until all processes have been in
// touch for some time.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range w.dispatchers {
			if resp, err := client.Get("http://" + d.ip + ":8167/v1/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.dispatchers) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d dispatchers are ready", ready, len(w.dispatchers))
		}
	}
	w.logf("all dispatchers are ready")
	time.Sleep(contactTime + time.Second)
	return nil
}
