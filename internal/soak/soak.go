package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/site"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/sitestore"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

// The published configuration and the number of failure domains.
const (
	service     = "orders"
	routeHost   = "orders.example"
	routePrefix = "/jobs/"
	domains     = 3
	maxAttempts = 3
)

const (
	// startTimeout is the time after the start within which every dispatcher must complete
	// a job.
	startTimeout = 20 * time.Second
	// recoveryTime is how long after the last fault the deployment may take to serve every
	// job again. recoveryCheckTime is how long the soak then checks this.
	recoveryTime      = 12 * time.Second
	recoveryCheckTime = 4 * time.Second
	// maxDescriptors bounds the open descriptors of a process that is almost idle.
	maxDescriptors = 400
)

// Config holds the settings of a soak.
type Config struct {
	// Seed determines the faults and the jobs.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Dispatchers and Agents are numbers of processes. Callers is a number of goroutines.
	Dispatchers, Agents, Callers int
	// Dispatcher and Agent are the paths of the programs that the processes run.
	Dispatcher, Agent string
	// Slack multiplies the time bounds, for machines that are busy with other work.
	Slack float64
	// Dir is the directory for settings and logs.
	Dir string
}

// Report is the result of a soak.
type Report struct {
	Seed       uint64         `json:"seed"`
	Jobs       int            `json:"jobs"`
	Starts     int            `json:"starts"`
	Answers    map[string]int `json:"answers"`
	Faults     map[string]int `json:"faults"`
	Violations map[string]int `json:"violations"`
	Details    []Violation    `json:"details,omitempty"`
	// MaxResident is the largest resident memory of a process at the end of the soak, in
	// bytes. MaxDescriptors is the largest number of open descriptors of a process then.
	MaxResident    int64 `json:"max_resident"`
	MaxDescriptors int   `json:"max_descriptors"`
}

// Soak holds the deployment, the stand-ins and the results of one soak in progress.
type Soak struct {
	cfg Config
	// loopbackNet is the second byte of the soak's loopback addresses, the x in
	// 127.x.0.0/16. It depends on the process ID, so that two soaks at the same time rarely
	// share addresses.
	loopbackNet int
	rnd         *rand.Rand
	store       *platform.StandinStore
	fleet       *platform.StandinFleet
	checks      *checks
	dispatchers []*dispatcher
	agents      []*agent
	servers     []*http.Server
	faults      map[string]int

	mu sync.Mutex
	// crashingShare is the share of jobs whose first task crashes its upstreams.
	crashingShare float64
	// configVersion is the newest published version of the configuration.
	configVersion     int
	configPublishedAt time.Time
	// mustServeFrom is the time from which every job must be served again. It is zero
	// until the deployment has had the time to recover.
	mustServeFrom time.Time
	// completedJobs counts jobs that were answered as completed.
	completedJobs int
}

// Run runs one soak and returns its report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &Soak{
		cfg: cfg, loopbackNet: 10 + os.Getpid()%200, rnd: rand.New(rand.NewPCG(cfg.Seed, 0)),
		store: platform.NewStandinStore(), fleet: &platform.StandinFleet{}, checks: newChecks(cfg.Slack), faults: map[string]int{},
	}
	s.fleet.RunStarted, s.fleet.RunCompleted = s.checks.checkStart, s.checks.recordCompletion
	s.fleet.CrashingStarted = s.requestCrash
	s.store.RewriteAgentRecord = s.rewriteAgentAddr
	defer s.stop()
	if err := s.deploy(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, a := range s.agents {
		wg.Go(func() { a.announce(ctx, s.checks) })
		wg.Go(func() { s.crashOnRequest(a, ctx.Done()) })
	}
	if err := s.waitUntilServing(ctx); err != nil {
		return Report{}, err
	}
	for i := range cfg.Callers {
		wg.Go(func() { newCaller(s, i).run(ctx) })
	}
	wg.Go(func() { s.probeConfig(ctx) })
	s.injectFaults(ctx)
	s.checkRecovery(ctx)
	cancel()
	wg.Wait()
	return s.report()
}

// domainName returns the failure domain of the i-th dispatcher or agent.
func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domains+1) }

// deploy publishes the first version of the configuration and starts every process.
func (s *Soak) deploy() error {
	s.publish()
	for i := range s.cfg.Dispatchers {
		if err := s.addDispatcher(i); err != nil {
			return err
		}
	}
	for i := range s.cfg.Agents {
		if err := s.addAgent(i); err != nil {
			return err
		}
	}
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) processes() []*process {
	var all []*process
	for _, d := range s.dispatchers {
		all = append(all, &d.process)
	}
	for _, a := range s.agents {
		all = append(all, &a.process)
	}
	return all
}

// rewriteAgentAddr replaces the address in an agent's stored record by the address of the
// reading dispatcher's own proxy to this agent.
func (s *Soak) rewriteAgentAddr(reader, key string, value []byte) []byte {
	for _, a := range s.agents {
		l, ok := a.links[reader]
		if a.name != key || !ok {
			continue
		}
		var record sitestore.Agent
		if json.Unmarshal(value, &record) != nil {
			return value
		}
		record.Addr = netip.MustParseAddrPort(l.addr)
		return record.Encode()
	}
	return value
}

// versionPrefix returns the path prefix of the route that a version adds.
func versionPrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// publish publishes the next version of the configuration. Each version adds a route.
func (s *Soak) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	route := site.Route{
		Name: "orders", Host: routeHost, PathPrefix: routePrefix, Service: service, MaxAttempts: maxAttempts,
		Stretch: 1.6, Margin: 60 * time.Millisecond, Timeout: callerWait,
	}
	routes := []site.Route{route}
	for v := 1; v <= s.configVersion; v++ {
		added := route
		added.Name, added.PathPrefix = fmt.Sprintf("version-%d", v), versionPrefix(v)
		routes = append(routes, added)
	}
	s.store.PutConfig(int64(s.configVersion), routes)
	s.configPublishedAt = time.Now()
}

// publishedVersion returns the newest version and the time of its publication.
func (s *Soak) publishedVersion() (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configVersion, s.configPublishedAt
}

// waitUntilServing waits until every dispatcher has completed a job in one pass over all.
func (s *Soak) waitUntilServing(ctx context.Context) error {
	c := newCaller(s, 0)
	defer c.http.CloseIdleConnections()
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		ready := 0
		for i := range s.dispatchers {
			c.nextDispatcher = i
			id := fmt.Sprintf("%016x", s.rnd.Uint64())
			s.checks.recordSubmission(id, 1, platform.StandinTask{})
			answer := c.send(id, 1, platform.StandinTask{Duration: 10 * time.Millisecond})
			s.checks.checkAnswer(id, answer)
			if answer == answerCompleted {
				ready++
			}
		}
		if ready == len(s.dispatchers) {
			return nil
		}
		lifecycle.Wait(maxThinkTime, ctx.Done())
	}
	return errors.Errorf("not every dispatcher completes jobs within %v after the start", startTimeout)
}

// recordAnswer counts a completed job. It adds a violation for a job that was sent after
// the recovery time and neither completed nor failed.
func (s *Soak) recordAnswer(sent time.Time, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer == answerCompleted {
		s.completedJobs++
	}
	if s.mustServeFrom.IsZero() || sent.Before(s.mustServeFrom) || answer == answerCompleted || answer == answerFailed {
		return
	}
	s.checks.addViolation("not_recovered", "a job sent %v after the last fault was answered as %s",
		s.checks.withSlack(recoveryTime)+sent.Sub(s.mustServeFrom), answer)
}

// checkRecovery lets the deployment recover, and then checks that it serves jobs.
func (s *Soak) checkRecovery(ctx context.Context) {
	lifecycle.Wait(s.checks.withSlack(recoveryTime), ctx.Done())
	s.mu.Lock()
	s.mustServeFrom = time.Now()
	before := s.completedJobs
	s.mu.Unlock()
	lifecycle.Wait(recoveryCheckTime, ctx.Done())
	s.mu.Lock()
	served := s.completedJobs - before
	s.mu.Unlock()
	if served == 0 {
		s.checks.addViolation("not_recovered", "no job was completed in the last %v", recoveryCheckTime)
	}
}

func (s *Soak) report() (Report, error) {
	s.checks.checkRefusedJobs()
	r := Report{Seed: s.cfg.Seed, Faults: s.faults}
	for _, p := range s.processes() {
		rss, fds, err := p.usage()
		if err != nil {
			s.checks.addViolation("exited", "process %s is not running: %v", p.name, err)
			continue
		}
		r.MaxResident, r.MaxDescriptors = max(r.MaxResident, rss), max(r.MaxDescriptors, fds)
		if rss > memoryLimit || fds > maxDescriptors {
			s.checks.addViolation("usage", "process %s has %d bytes of resident memory and %d open descriptors", p.name, rss, fds)
		}
	}
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	r.Jobs, r.Answers, r.Violations = len(s.checks.jobs), maps.Clone(s.checks.answerCounts), maps.Clone(s.checks.violationCounts)
	r.Details = s.checks.violations
	for _, j := range s.checks.jobs {
		r.Starts += j.starts
	}
	return r, nil
}

// stop kills all processes and closes all listeners of the soak.
func (s *Soak) stop() {
	for _, p := range s.processes() {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	for _, a := range s.agents {
		a.closeUpstream()
		for _, l := range a.links {
			l.close()
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
