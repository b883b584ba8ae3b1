package unruly

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/logservice"
)

// TestAnnouncements sends announcements to the agent of a leased upstream.
func TestAnnouncements(t *testing.T) {
	const announcers, size = 100, 2 << 20
	for name, behave := range map[string]behaviour{
		"stop short":          announcements.stopShort(size),
		"malformed":           announcements.submit([]byte(strings.Repeat("x", size))),
		"announced too large": announcements.flood(64<<10, 1024, true),
		"half header":         halfHeader,
		"labels":              announcements.submit([]byte(`{"service":"s","zone":"z","state":"ready","labels":[""` + strings.Repeat(`,""`, size/3-100) + `]}`)),
	} {
		t.Run(name, func(t *testing.T) {
			d := startLeased(t, true)
			d.endure(d.announcements(), announcers, true, true, behave)
		})
	}
}

// Bounds of the processes of a deployment without leases. They have no setting for memory.
const (
	entryMemory      = 256 << 20
	entryConnections = 256
)

// direct is an entry and an agent, with stand-ins of the log service and the upstream.
type direct struct {
	t                      *testing.T
	entry, agent, upstream *process
}

func (d *direct) http() string      { return d.entry.ip + ":8080" }
func (d *direct) upstreams() string { return d.agent.ip + ":9201" }

// startDirect starts a deployment and waits until a job completes.
func startDirect(t *testing.T) *direct {
	t.Helper()
	log := logservice.New(logservice.Config{})
	entryIP, agentIP := newIP(), newIP()
	serve(t, entryIP+":7000", log)
	d := &direct{t: t}
	d.agent = startProcess(t, agentIP, "agent", fmt.Sprintf("[node]\nrole = agent\nid = agent-1\ndomain = zone-a\n[worker]\nname = w-1\n"+
		"[listen]\ntransport = %[1]s:7201\nupstream = %[1]s:9201\n[log]\naddress = %[2]s:7000\n", agentIP, entryIP), "dogwoodgauge-agent")
	d.entry = startProcess(t, entryIP, "entry", fmt.Sprintf("[node]\nrole = entry\nid = entry-1\ndomain = zone-a\n"+
		"[listen]\nhttp = %[1]s:8080\ntransport = %[1]s:7100\nmetrics = %[1]s:9100\n[log]\naddress = %[1]s:7000\n"+
		"[limits]\nconnections = %[2]d\n", entryIP, entryConnections), "dogwoodgauge", "entry")
	d.startUpstream()
	d.awaitOrdinaryJob()
	return d
}

func (d *direct) startUpstream() {
	d.t.Helper()
	d.upstream = startProcess(d.t, d.agent.ip, "upstream", "", "dogwoodgauge", "standin", "upstream", "--listen", d.agent.ip+":8090",
		"--agent", d.upstreams(), "--name", "u-1", "--task", "10ms")
}

// stopUpstream kills the upstream and waits until it has ended.
func (d *direct) stopUpstream() {
	_ = d.upstream.cmd.Process.Kill()
	<-d.upstream.stopped
}

// awaitOrdinaryJob submits a job, and again while it is refused, until it is complete.
func (d *direct) awaitOrdinaryJob() {
	d.t.Helper()
	eventually(d.t, "an ordinary job", func() error {
		resp, err := newClient().Post("http://"+d.http()+"/v1/jobs", "application/json", strings.NewReader(`{"team":"a","tasks":[{}]}`))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("got %s", resp.Status)
		}
		return nil
	})
}

// endure lets a crowd do its worst, and checks that ordinary jobs are answered and the bounds of
// both processes.
func (d *direct) endure(addr string, clients int, behave behaviour) {
	d.t.Helper()
	w := gather(d.t, clients, addr, true, behave)
	w.settle(d.t)
	d.awaitOrdinaryJob()
	w.disperse()
	d.awaitOrdinaryJob()
	d.check()
}

// check checks the bounds of both processes.
func (d *direct) check() {
	d.t.Helper()
	d.entry.check(entryMemory, entryConnections+otherDescriptors)
	d.agent.check(entryMemory, agentDescriptors)
}

// TestEntry sends jobs to an entry.
func TestEntry(t *testing.T) {
	const size = 4 << 20
	submissions := target{http.MethodPost, "x", func(int) string { return "/v1/jobs" }}
	for name, behave := range map[string]behaviour{
		"stop short":           submissions.stopShort(size),
		"stop short in chunks": submissions.stopShortInChunks(size, 50<<10),
		"malformed":            submissions.submit([]byte(strings.Repeat("x", size))),
		"announced too large":  submissions.flood(64<<10, 1024, true),
		"empty tasks":          submissions.submit([]byte(`{"team":"a","tasks":[{}` + strings.Repeat(",{}", size/3-100) + `]}`)),
		"half header":          halfHeader,
	} {
		t.Run(name, func(t *testing.T) {
			d := startDirect(t)
			d.endure(d.http(), 300, behave)
		})
	}
}

// TestJobsWithoutUpstream submits jobs with large payloads, whose callers do not wait for the answer,
// while the upstream is away.
func TestJobsWithoutUpstream(t *testing.T) {
	const submitters, jobsOfEach, tasks, payload = 10, 50, 20, 64 << 10
	task := `{"payload":"` + strings.Repeat("A", payload) + `"}`
	body := []byte(`{"team":"b","timeout_ms":60000,"tasks":[` + task + strings.Repeat(","+task, tasks-1) + `]}`)
	jobs := target{http.MethodPost, "x", func(int) string { return "/v1/jobs?wait=false" }}
	d := startDirect(t)
	d.stopUpstream()
	w := gather(t, submitters, d.http(), true, jobs.submitTimes(jobsOfEach, body))
	w.settle(t)
	w.disperse()
	d.startUpstream()
	d.awaitOrdinaryJob()
	d.check()
}

// TestRefusedJobs submits many jobs of as many tasks as a job may have, most of which are refused.
func TestRefusedJobs(t *testing.T) {
	const submitters, jobsOfEach, tasks = 10, 1000, 1500
	body := []byte(`{"team":"b","timeout_ms":60000,"tasks":[{}` + strings.Repeat(",{}", tasks-1) + `]}`)
	jobs := target{http.MethodPost, "x", func(int) string { return "/v1/jobs?wait=false" }}
	d := startDirect(t)
	d.stopUpstream()
	w := gather(t, submitters, d.http(), true, jobs.submitTimes(jobsOfEach, body))
	w.settle(t)
	w.disperse()
	d.startUpstream()
	d.awaitOrdinaryJob()
	d.check()
}

// TestUpstreamPort sends announcements to an agent of upstreams without leases.
func TestUpstreamPort(t *testing.T) {
	d := startDirect(t)
	upstreams := target{http.MethodPost, "x", func(int) string { return "/v1/upstream" }}
	d.endure(d.upstreams(), 300, upstreams.stopShort(60<<10))
}
