package unruly

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

// The published route.
const (
	routeHost   = "orders.example"
	routePrefix = "/jobs/"
	service     = "orders"
)

// jobs counts the jobs of this process, whose IDs differ.
var jobs atomic.Uint64

func newJobID() string { return fmt.Sprintf("%016x", jobs.Add(1)) }

// submissions takes jobs at a dispatcher.
var submissions = target{http.MethodPost, routeHost, func(int) string { return routePrefix + newJobID() }}

// announcements takes announcements at an agent of a leased upstream.
var announcements = target{http.MethodPut, "x", func(i int) string { return fmt.Sprintf("/v1/instances/i-%d", i) }}

// leased is a dispatcher and an agent of a leased upstream, with stand-ins of the store and the
// upstream.
type leased struct {
	t                 *testing.T
	dispatcher, agent *process
}

// Limits of the processes under test.
const (
	dispatcherMemory      = 96 << 20
	dispatcherConnections = 256
	agentMemory           = 64 << 20
	// otherDescriptors is how many descriptors a process may have besides its callers'.
	otherDescriptors = 100
	// agentDescriptors bounds the descriptors of an agent. Only its upstream calls it.
	agentDescriptors = 1024 + otherDescriptors
)

// clients is the number of clients of a dispatcher: more than it serves connections.
const clients = 400

func (d *leased) callers() string       { return d.dispatcher.ip + ":8080" }
func (d *leased) ready() string         { return d.dispatcher.ip + ":8081" }
func (d *leased) transport() string     { return d.dispatcher.ip + ":7200" }
func (d *leased) metrics() string       { return d.dispatcher.ip + ":9464" }
func (d *leased) announcements() string { return d.agent.ip + ":8166" }

// startLeased starts a deployment. With await set, it waits until a job completes.
func startLeased(t *testing.T, await bool) *leased {
	t.Helper()
	store, fleet := platform.NewStandinStore(), &platform.StandinFleet{}
	store.PutConfig(1, []site.Route{{
		Name: "orders", Host: routeHost, PathPrefix: routePrefix, Service: service, MaxAttempts: 3, Stretch: 1.6, Timeout: time.Minute,
	}})
	upstream := fleet.Add("u-1", "zone-a", message.Resources{MilliCPU: 16000, MemoryMB: 16000}, 1)
	d := &leased{t: t}
	dispatcherIP, agentIP := newIP(), newIP()
	serve(t, agentIP+":8090", upstream)
	const storePort = ":8169"
	serve(t, dispatcherIP+storePort, store.HandlerFor("entry-1"))
	serve(t, agentIP+storePort, store.HandlerFor("agent-1"))
	d.agent = startProcess(t, agentIP, "agent", fmt.Sprintf("[node]\nrole = lessee\nid = agent-1\ndomain = zone-a\n"+
		"[listen]\nannouncements = %[1]s:8166\ntransport = %[1]s:7200\nmetrics = %[1]s:9465\n"+
		"[upstream]\naddress = %[1]s:8090\n[store]\naddress = %[1]s:8169\n[limits]\nmemory = %[2]d\n", agentIP, agentMemory),
		"dogwoodgauge-agent", "lease")
	d.dispatcher = startProcess(t, dispatcherIP, "dispatcher", fmt.Sprintf("[node]\nrole = dispatcher\nid = entry-1\ndomain = zone-a\n"+
		"[listen]\ncallers = %[1]s:8080\nready = %[1]s:8081\ntransport = %[1]s:7200\nmetrics = %[1]s:9464\n"+
		"[store]\naddress = %[1]s:8169\n[limits]\nmemory = %[2]d\nconnections = %[3]d\n"+
		"[timing]\ndrain_connections = true\n[overload]\npredict = true\n", dispatcherIP, dispatcherMemory, dispatcherConnections),
		"dogwoodgauge", "dispatcher")
	announce(t, upstream, d.announcements())
	if await {
		d.awaitOrdinaryJob()
	}
	return d
}

// serve serves a stand-in until the test ends.
func serve(t *testing.T, addr string, handler http.Handler) {
	t.Helper()
	server := &http.Server{Handler: handler}
	l := listen(t, addr)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// announceInterval is the time between two announcements of an upstream.
const announceInterval = 500 * time.Millisecond

// announce sends the announcements of an upstream to its agent until the test ends.
func announce(t *testing.T, upstream *platform.StandinUpstream, addr string) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	client := newClient()
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(announceInterval)
		defer ticker.Stop()
		for {
			method, path, body := upstream.Announcement(service)
			if r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body)); err == nil {
				if resp, err := client.Do(r); err == nil {
					_ = resp.Body.Close()
				}
			}
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-stopped
	})
}

// requestTimeout bounds one try of an ordinary request, which is repeated.
const requestTimeout = 10 * time.Second

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// awaitOrdinaryJob submits a job of two tasks, and again while it is refused, until it is
// answered as completed.
func (d *leased) awaitOrdinaryJob() {
	d.t.Helper()
	eventually(d.t, "an ordinary job", func() error {
		task := platform.StandinTask{Duration: 10 * time.Millisecond}
		r, err := platform.StandinSubmission(d.callers(), routeHost, routePrefix, newJobID(), 2, message.Resources{MilliCPU: 100, MemoryMB: 10}, task, requestTimeout)
		if err != nil {
			return err
		}
		return expect(r, `{"state":"completed"}`+"\n")
	})
}

// expect sends a request and returns an error unless the body of the answer is want.
func expect(r *http.Request, want string) error {
	resp, err := newClient().Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if string(body) != want {
		return fmt.Errorf("got %d %.80q, want %q", resp.StatusCode, body, want)
	}
	return nil
}

// endure lets a crowd do its worst, checks that an ordinary job is answered during that if
// served is set, and afterwards, and checks the bounds of both processes.
func (d *leased) endure(addr string, clients int, served, reads bool, behave behaviour) {
	d.t.Helper()
	w := gather(d.t, clients, addr, reads, behave)
	w.settle(d.t)
	if served {
		d.awaitOrdinaryJob()
	}
	w.disperse()
	d.awaitOrdinaryJob()
	d.check()
}

// check checks the bounds of both processes.
func (d *leased) check() {
	d.t.Helper()
	d.dispatcher.check(dispatcherMemory, dispatcherConnections+otherDescriptors)
	d.agent.check(agentMemory, agentDescriptors)
}
