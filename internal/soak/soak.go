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

// The deployment that is published.
const (
	service     = "orders"
	routeHost   = "orders.example"
	routePrefix = "/jobs/"
	domains     = 3
	maxAttempts = 3
)

const (
	// startTime bounds the time until the first job must be served.
	startTime = 20 * time.Second
	// recoverTime is how long after the last fault every job must be served again, and
	// calmEnd how long that is then looked at.
	recoverTime = 12 * time.Second
	calmEnd     = 4 * time.Second
	// maxDescriptors bounds the descriptors of a process without load worth mentioning.
	maxDescriptors = 400
)

// Config holds the settings of a soak.
type Config struct {
	// Seed draws the faults and the jobs.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Dispatchers, Agents and Callers are numbers of processes and of callers.
	Dispatchers, Agents, Callers int
	// Dispatcher and Agent are the paths of the two programs.
	Dispatcher, Agent string
	// Slack multiplies the bounds on times, for machines that are busy with other work.
	Slack float64
	// Dir is where settings and logs are written.
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
	Told       []Violation    `json:"details,omitempty"`
	// MaxResident is the largest resident memory of a process at the end, in bytes, and
	// MaxDescriptors the same for open descriptors.
	MaxResident    int64 `json:"max_resident"`
	MaxDescriptors int   `json:"max_descriptors"`
}

// Soak is one run.
type Soak struct {
	cfg         Config
	net         int
	rnd         *rand.Rand
	store       *platform.StandinStore
	fleet       *platform.StandinFleet
	checks      *checks
	dispatchers []*dispatcher
	agents      []*agent
	servers     []*http.Server
	faults      map[string]int

	mu          sync.Mutex
	configured  int
	configuredA time.Time
	// calmFrom is from when on every job must be served, once that is known.
	calmFrom time.Time
	// served counts completed jobs.
	served int
}

// Run runs one soak and returns what was seen.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &Soak{
		cfg: cfg, net: 10 + os.Getpid()%200, rnd: rand.New(rand.NewPCG(cfg.Seed, 0)),
		store: platform.NewStandinStore(), fleet: &platform.StandinFleet{}, checks: newChecks(cfg.Slack), faults: map[string]int{},
	}
	s.fleet.RunStarted, s.fleet.RunCompleted = s.checks.started, s.checks.runEnded
	s.store.Rewrite = s.rewrite
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
	}
	if err := s.untilServing(ctx); err != nil {
		return Report{}, err
	}
	for i := range cfg.Callers {
		wg.Go(func() { newCaller(s, i).run(ctx) })
	}
	wg.Go(func() { s.probeConfig(ctx) })
	s.inject(ctx)
	s.calm(ctx)
	cancel()
	wg.Wait()
	return s.report()
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domains+1) }

// deploy publishes the first configuration and starts every process.
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

// rewrite gives each dispatcher its own way to an agent.
func (s *Soak) rewrite(reader, key string, value []byte) []byte {
	for _, a := range s.agents {
		l, ok := a.links[reader]
		if a.name != key || !ok {
			continue
		}
		var record sitestore.Agent
		if json.Unmarshal(value, &record) != nil {
			return value
		}
		record.Addr = netip.MustParseAddrPort(l.addr())
		return record.Encode()
	}
	return value
}

// versionPrefix is the path of the route that a version adds.
func versionPrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// publish publishes the next version of the configuration. Each adds a route.
func (s *Soak) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configured++
	route := site.Route{
		Name: "orders", Host: routeHost, PathPrefix: routePrefix, Service: service, MaxAttempts: maxAttempts,
		Stretch: 1.6, Margin: 60 * time.Millisecond, Timeout: callerWait,
	}
	routes := []site.Route{route}
	for v := 1; v <= s.configured; v++ {
		added := route
		added.Name, added.PathPrefix = fmt.Sprintf("version-%d", v), versionPrefix(v)
		routes = append(routes, added)
	}
	s.store.PutConfig(int64(s.configured), routes)
	s.configuredA = time.Now()
}

// version returns the newest version and when it was published.
func (s *Soak) version() (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configured, s.configuredA
}

// untilServing waits until a job is served by every dispatcher.
func (s *Soak) untilServing(ctx context.Context) error {
	c := newCaller(s, 0)
	defer c.http.CloseIdleConnections()
	for end := time.Now().Add(startTime); time.Now().Before(end) && ctx.Err() == nil; {
		ready := 0
		for i := range s.dispatchers {
			c.at = i
			id := fmt.Sprintf("%016x", s.rnd.Uint64())
			s.checks.submitted(id, 1, false)
			answer := c.send(id, 1, platform.StandinTask{Work: 10 * time.Millisecond})
			s.checks.answered(id, answer)
			if answer == answerCompleted {
				ready++
			}
		}
		if ready == len(s.dispatchers) {
			return nil
		}
		lifecycle.Wait(thinkTime, ctx.Done())
	}
	return errors.Errorf("not every dispatcher serves jobs %v after the start", startTime)
}

// noteAnswer checks answers of the time in which everything must be served.
func (s *Soak) noteAnswer(sent time.Time, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer == answerCompleted {
		s.served++
	}
	if s.calmFrom.IsZero() || sent.Before(s.calmFrom) || answer == answerCompleted || answer == answerFailed {
		return
	}
	s.checks.violate("not_recovered", "a job sent %v after the last fault was answered as %s",
		s.checks.bound(recoverTime)+sent.Sub(s.calmFrom), answer)
}

// calm lets the deployment recover, and then checks that it serves.
func (s *Soak) calm(ctx context.Context) {
	lifecycle.Wait(s.checks.bound(recoverTime), ctx.Done())
	s.mu.Lock()
	s.calmFrom = time.Now()
	before := s.served
	s.mu.Unlock()
	lifecycle.Wait(calmEnd, ctx.Done())
	s.mu.Lock()
	served := s.served - before
	s.mu.Unlock()
	if served == 0 {
		s.checks.violate("not_recovered", "no job was served in the last %v", calmEnd)
	}
}

func (s *Soak) report() (Report, error) {
	s.checks.refusedButRun()
	r := Report{Seed: s.cfg.Seed, Faults: s.faults}
	for _, p := range s.processes() {
		rss, fds, err := p.usage()
		if err != nil {
			s.checks.violate("exited", "%s does not run: %v", p.name, err)
			continue
		}
		r.MaxResident, r.MaxDescriptors = max(r.MaxResident, rss), max(r.MaxDescriptors, fds)
		if rss > memoryLimit || fds > maxDescriptors {
			s.checks.violate("usage", "%s has %d bytes and %d descriptors", p.name, rss, fds)
		}
	}
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	r.Jobs, r.Answers, r.Violations = len(s.checks.jobs), maps.Clone(s.checks.answers), maps.Clone(s.checks.counts)
	r.Told = s.checks.told
	for _, j := range s.checks.jobs {
		r.Starts += j.starts
	}
	return r, nil
}

// stop ends everything that was started.
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
