package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

const (
	// maxFaultInterval is the longest time between the starts of two faults. Most faults
	// last up to maxFaultDuration, so that some overlap.
	maxFaultInterval = 1500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// domainOutTime is how long a failure domain stays out. It is longer than
	// evacuateBound, so that late starts in the domain are seen.
	domainOutTime = evacuateBound + 7*time.Second
	// drainServeTime is how long a draining upstream continues to serve before it stops. It
	// is longer than drainBound, so that late starts are seen.
	drainServeTime = drainBound + 2*time.Second
	// crashingJobShare is the share of jobs whose first task crashes its upstreams, while such
	// jobs come, and crashDelay the time from the start of the task to the crash.
	crashingJobShare = 0.1
	crashDelay       = 10 * time.Millisecond
	// maxRefusal is the longest time for which the port of an upstream refuses connections while
	// its runs go on: about as long as their lease.
	maxRefusal = 600 * time.Millisecond
	// hostLateFraction is the fraction of calls that an upstream executes late within the last
	// maxLateTime before its host restarts. After that the upstream is back within
	// maxUpstreamBoot, and its agent within maxAgentBoot more.
	hostLateFraction = 0.3
	maxLateTime      = 500 * time.Millisecond
	maxUpstreamBoot  = 300 * time.Millisecond
	maxAgentBoot     = 4 * time.Second
	// maxRestartDelay is the longest delay before a process that has exited is started
	// again.
	maxRestartDelay = time.Second
)

// fault is one kind of fault. run injects it and returns when the fault has ended.
type fault struct {
	name string
	run  func(s *Soak, rnd *rand.Rand, stop <-chan struct{})
}

// faultKinds lists the faults in a fixed order, so that a seed always draws the same faults.
var faultKinds = []fault{
	{"process_paused", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		p := s.randomProcess(rnd)
		defer p.beginProcessFault()()
		p.signal(syscall.SIGSTOP)
		lifecycle.Wait(randomDuration(rnd, maxFaultDuration), stop)
		p.signal(syscall.SIGCONT)
	}},
	{"process_killed", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		p := s.randomProcess(rnd)
		defer p.beginProcessFault()()
		s.restart(p, syscall.SIGKILL, randomDuration(rnd, maxRestartDelay), stop)
	}},
	{"all_killed", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		var wg sync.WaitGroup
		for _, p := range s.processes() {
			delay := randomDuration(rnd, maxRestartDelay)
			wg.Go(func() {
				defer p.beginProcessFault()()
				s.restart(p, syscall.SIGKILL, delay, stop)
			})
		}
		wg.Wait()
	}},
	{"process_restarted", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		s.restart(s.randomProcess(rnd), syscall.SIGTERM, randomDuration(rnd, maxRestartDelay), stop)
	}},
	{"dispatcher_restarted", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		d := s.dispatchers[rnd.IntN(len(s.dispatchers))]
		s.restart(&d.process, syscall.SIGTERM, randomDuration(rnd, maxRestartDelay), stop)
	}},
	{"reload", func(s *Soak, rnd *rand.Rand, _ <-chan struct{}) { s.randomProcess(rnd).signal(syscall.SIGHUP) }},
	{"link_delayed", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		s.disturbRandomLinks(rnd, LinkFaults{Delay: randomDuration(rnd, 300*time.Millisecond)}, stop)
	}},
	{"link_cut", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		s.disturbRandomLinks(rnd, LinkFaults{HoldToTarget: true, HoldFromTarget: true}, stop)
	}},
	{"link_cut_one_way", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		toTarget := rnd.IntN(2) == 0
		s.disturbRandomLinks(rnd, LinkFaults{HoldToTarget: toTarget, HoldFromTarget: !toTarget}, stop)
	}},
	{"connections_reset", func(s *Soak, rnd *rand.Rand, _ <-chan struct{}) {
		links, end := s.randomLinks(rnd)
		defer end()
		for _, l := range links {
			l.resetAll()
		}
	}},
	{"connections_refused", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		links, end := s.randomLinks(rnd)
		defer end()
		for _, l := range links {
			l.refuse()
		}
		lifecycle.Wait(randomDuration(rnd, maxFaultDuration), stop)
		for _, l := range links {
			if err := l.open(); err != nil {
				s.checks.addViolation("start", "open a link again: %v", err)
			}
		}
	}},
	{"connections_silent", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		links, end := s.randomLinks(rnd)
		defer end()
		for _, l := range links {
			l.blackholeAll()
		}
		lifecycle.Wait(maxFaultDuration/2, stop)
	}},
	{"store_down", storeFault(platform.StandinStoreFault{Down: true})},
	{"store_silent", storeFault(platform.StandinStoreFault{NoAnswer: true})},
	{"store_slow", storeFault(platform.StandinStoreFault{Delay: 300 * time.Millisecond})},
	{"store_loses_answers", storeFault(platform.StandinStoreFault{LoseAnswers: true})},
	{"store_forgets", func(s *Soak, _ *rand.Rand, _ <-chan struct{}) { s.store.TrimAll() }},
	{"upstream_hangs", upstreamFault(platform.StandinFaults{Hang: true})},
	{"upstream_slow", upstreamFault(platform.StandinFaults{Slow: 5})},
	{"upstream_fails", upstreamFault(platform.StandinFaults{FailAll: true})},
	{"upstream_unhealthy", upstreamFault(platform.StandinFaults{Unhealthy: true})},
	{"upstream_late", upstreamFault(platform.StandinFaults{LateFraction: 0.1})},
	{"host_restarts", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		a := s.randomAgent(rnd)
		defer a.beginLinkFault()()
		a.upstream.SetFaults(platform.StandinFaults{LateFraction: hostLateFraction})
		lifecycle.Wait(randomDuration(rnd, maxLateTime), stop)
		s.restartHost(a, randomDuration(rnd, maxUpstreamBoot), randomDuration(rnd, maxAgentBoot), stop)
	}},
	{"upstream_crashes", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		a := s.randomAgent(rnd)
		defer a.beginLinkFault()()
		s.replaceUpstream(a, randomDuration(rnd, maxFaultDuration), stop)
	}},
	{"upstream_refuses", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		a := s.randomAgent(rnd)
		defer a.beginLinkFault()()
		a.restartMu.Lock()
		defer a.restartMu.Unlock()
		a.closeUpstream()
		lifecycle.Wait(randomDuration(rnd, maxRefusal), stop)
		if err := a.serveUpstream(); err != nil {
			s.checks.addViolation("start", "open the port of the upstream of %s: %v", a.name, err)
		}
	}},
	{"crashing_tasks", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		s.setCrashingShare(crashingJobShare)
		lifecycle.Wait(randomDuration(rnd, maxFaultDuration), stop)
		s.setCrashingShare(0)
	}},
	{"upstream_leaves", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		a := s.randomAgent(rnd)
		a.upstream.Drain()
		lifecycle.Wait(drainServeTime, stop)
		s.replaceUpstream(a, randomDuration(rnd, maxRestartDelay), stop)
	}},
	{"configuration", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		for range 1 + rnd.IntN(4) {
			s.publish()
			lifecycle.Wait(randomDuration(rnd, time.Second), stop)
		}
	}},
	{"domain_out", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		domain := domainName(rnd.IntN(domains))
		s.mu.Lock() // The checks regard the domain as out only while the store does.
		s.store.PutDomainOut(domain, true)
		s.checks.setDomainOut(domain, true)
		s.mu.Unlock()
		lifecycle.Wait(domainOutTime, stop)
		s.mu.Lock()
		s.checks.setDomainOut(domain, false)
		s.store.PutDomainOut(domain, false)
		s.mu.Unlock()
	}},
}

// randomDuration draws a duration shorter than longest.
func randomDuration(rnd *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(longest)))
}

// injectFaults starts one fault after another for Config.Duration, then waits until all
// faults have ended.
func (s *Soak) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Duration)
	defer cancel()
	for ctx.Err() == nil {
		f := faultKinds[s.rnd.IntN(len(faultKinds))]
		rnd := rand.New(rand.NewPCG(s.rnd.Uint64(), s.rnd.Uint64()))
		s.faults[f.name]++
		wg.Go(func() { f.run(s, rnd, ctx.Done()) })
		lifecycle.Wait(randomDuration(s.rnd, maxFaultInterval), ctx.Done())
	}
}

func (s *Soak) randomProcess(rnd *rand.Rand) *process {
	all := s.processes()
	return all[rnd.IntN(len(all))]
}

func (s *Soak) randomAgent(rnd *rand.Rand) *agent { return s.agents[rnd.IntN(len(s.agents))] }

// restart ends the current incarnation of a process by a signal and starts the next. A
// process that does not exit within killAfter of SIGTERM is killed, as the platform does.
func (s *Soak) restart(p *process, sig syscall.Signal, delay time.Duration, stop <-chan struct{}) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	_, _, exited := p.state()
	p.signal(sig)
	if sig == syscall.SIGTERM && !lifecycle.Wait(killAfter, exited) {
		<-exited
	}
	p.signal(syscall.SIGCONT)
	p.kill()
	lifecycle.Wait(delay, stop)
	if err := p.startAgain(); err != nil {
		s.checks.addViolation("start", "%v", err)
	}
}

// killAfter is the time from SIGTERM to SIGKILL. It is the same as on the platform.
const killAfter = 6 * time.Second

// randomLinks returns all links of a random dispatcher, all links of a random agent, or the
// link between the two. It records a link fault at the processes on these links until the
// returned function is called.
func (s *Soak) randomLinks(rnd *rand.Rand) ([]*link, func()) {
	d := s.dispatchers[rnd.IntN(len(s.dispatchers))]
	a := s.randomAgent(rnd)
	var links []*link
	affected := []*process{&d.process, &a.process}
	switch rnd.IntN(3) {
	case 0:
		for _, o := range s.agents {
			links = append(links, o.links[d.name])
			affected = append(affected, &o.process)
		}
	case 1:
		for _, o := range s.dispatchers {
			links = append(links, a.links[o.name])
			affected = append(affected, &o.process)
		}
	default:
		links = []*link{a.links[d.name]}
	}
	var ends []func()
	for _, p := range affected {
		ends = append(ends, p.beginLinkFault())
	}
	return links, func() {
		for _, end := range ends {
			end()
		}
	}
}

// disturbRandomLinks applies link faults to random links for a random time.
func (s *Soak) disturbRandomLinks(rnd *rand.Rand, f LinkFaults, stop <-chan struct{}) {
	links, end := s.randomLinks(rnd)
	defer end()
	for _, l := range links {
		l.setFaults(f)
	}
	lifecycle.Wait(randomDuration(rnd, maxFaultDuration), stop)
	for _, l := range links {
		l.setFaults(LinkFaults{})
	}
}

// storeFault returns a fault of the store towards random processes: one, about a third, or
// all of them.
func storeFault(f platform.StandinStoreFault) func(*Soak, *rand.Rand, <-chan struct{}) {
	return func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		affected := s.processes()
		rnd.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
		affected = affected[:[]int{1, 1 + len(affected)/3, len(affected)}[rnd.IntN(3)]]
		for _, p := range affected {
			defer p.beginStoreFault()()
			s.store.SetFault(p.name, f)
		}
		lifecycle.Wait(randomDuration(rnd, 2*maxFaultDuration), stop)
		for _, p := range affected {
			s.store.SetFault(p.name, platform.StandinStoreFault{})
		}
	}
}

// upstreamFault returns a fault of the upstream of a random agent.
func upstreamFault(f platform.StandinFaults) func(*Soak, *rand.Rand, <-chan struct{}) {
	return func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		a := s.randomAgent(rnd)
		defer a.beginLinkFault()()
		a.upstream.SetFaults(f)
		lifecycle.Wait(randomDuration(rnd, maxFaultDuration), stop)
		a.upstream.SetFaults(platform.StandinFaults{})
	}
}

// replaceUpstream ends the current incarnation of an upstream and starts the next one
// under the same name.
func (s *Soak) replaceUpstream(a *agent, delay time.Duration, stop <-chan struct{}) {
	a.restartMu.Lock()
	defer a.restartMu.Unlock()
	a.upstream.Crash()
	a.closeUpstream()
	lifecycle.Wait(delay, stop)
	a.upstream.BeginIncarnation()
	if err := a.serveUpstream(); err != nil {
		s.checks.addViolation("start", "restart the upstream of %s: %v", a.name, err)
	}
}

// restartHost ends an agent and the incarnation of its upstream. The next ones start after these
// delays, the upstream first.
func (s *Soak) restartHost(a *agent, upstreamDelay, agentDelay time.Duration, stop <-chan struct{}) {
	a.restartMu.Lock()
	defer a.restartMu.Unlock()
	a.signal(syscall.SIGKILL)
	a.kill()
	a.upstream.Crash()
	a.closeUpstream()
	a.upstream.SetFaults(platform.StandinFaults{})
	lifecycle.Wait(upstreamDelay, stop)
	a.upstream.BeginIncarnation()
	if err := a.serveUpstream(); err != nil {
		s.checks.addViolation("start", "restart the upstream of %s: %v", a.name, err)
	}
	lifecycle.Wait(agentDelay, stop)
	if err := a.startAgain(); err != nil {
		s.checks.addViolation("start", "%v", err)
	}
}

func (s *Soak) setCrashingShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashingShare = share
}

// crashingShareNow returns the share of jobs whose first task crashes its upstreams.
func (s *Soak) crashingShareNow() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashingShare
}

// requestCrash asks for the crash of an upstream on which a crashing task has just started.
func (s *Soak) requestCrash(u *platform.StandinUpstream, incarnation int64) {
	for _, a := range s.agents {
		if a.upstream == u {
			select {
			case a.crashes <- incarnation:
			default: // The upstream is about to crash already.
			}
		}
	}
}

// crashOnRequest lets the upstream of an agent crash soon after each start of a crashing task.
func (s *Soak) crashOnRequest(a *agent, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case incarnation := <-a.crashes:
			lifecycle.Wait(crashDelay, stop)
			if current, _ := a.upstream.Incarnation(); current == incarnation {
				end := a.beginLinkFault()
				s.replaceUpstream(a, maxRestartDelay, stop)
				end()
			}
		}
	}
}
