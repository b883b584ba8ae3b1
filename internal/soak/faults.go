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
	// maxGap is the longest pause between the begins of two faults. Faults last up to
	// maxFault, so that some overlap.
	maxGap   = 1500 * time.Millisecond
	maxFault = 4 * time.Second
	// outTime is how long a failure domain stays out: past the bound within which starts
	// in it have to be over.
	outTime = evacuateBound + 7*time.Second
	// drainTime is how long an upstream that leaves goes on serving.
	drainTime = drainBound + 2*time.Second
	// restartTime is the longest pause before a process that has ended is started again.
	restartTime = time.Second
)

// fault is one kind of fault. It returns when the fault has ended.
type fault struct {
	name string
	run  func(s *Soak, rnd *rand.Rand, stop <-chan struct{})
}

// kinds lists the faults in a fixed order, so that a seed means the same run.
var kinds = []fault{
	{"process_paused", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		p := s.anyProcess(rnd)
		defer p.strike()()
		p.signal(syscall.SIGSTOP)
		lifecycle.Wait(duration(rnd, maxFault), stop)
		p.signal(syscall.SIGCONT)
	}},
	{"process_killed", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		p := s.anyProcess(rnd)
		defer p.strike()()
		s.restart(p, syscall.SIGKILL, duration(rnd, restartTime), stop)
	}},
	{"all_killed", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		var wg sync.WaitGroup
		for _, p := range s.processes() {
			pause := duration(rnd, restartTime)
			wg.Go(func() {
				defer p.strike()()
				s.restart(p, syscall.SIGKILL, pause, stop)
			})
		}
		wg.Wait()
	}},
	{"process_restarted", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		s.restart(s.anyProcess(rnd), syscall.SIGTERM, duration(rnd, restartTime), stop)
	}},
	{"dispatcher_restarted", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		d := s.dispatchers[rnd.IntN(len(s.dispatchers))]
		s.restart(&d.process, syscall.SIGTERM, duration(rnd, restartTime), stop)
	}},
	{"reload", func(s *Soak, rnd *rand.Rand, _ <-chan struct{}) { s.anyProcess(rnd).signal(syscall.SIGHUP) }},
	{"link_delayed", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		s.disturbLinks(rnd, LinkFaults{Delay: duration(rnd, 300*time.Millisecond)}, stop)
	}},
	{"link_cut", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		s.disturbLinks(rnd, LinkFaults{HoldThere: true, HoldBack: true}, stop)
	}},
	{"link_cut_one_way", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		there := rnd.IntN(2) == 0
		s.disturbLinks(rnd, LinkFaults{HoldThere: there, HoldBack: !there}, stop)
	}},
	{"connections_reset", func(s *Soak, rnd *rand.Rand, _ <-chan struct{}) {
		links, end := s.someLinks(rnd)
		defer end()
		for _, l := range links {
			l.resetAll()
		}
	}},
	{"connections_silent", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		links, end := s.someLinks(rnd)
		defer end()
		for _, l := range links {
			l.silence()
		}
		lifecycle.Wait(maxFault/2, stop)
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
	{"upstream_late", upstreamFault(platform.StandinFaults{Late: 0.1})},
	{"upstream_crashes", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		a := s.anyAgent(rnd)
		defer a.disturb()()
		s.replaceUpstream(a, duration(rnd, maxFault), stop)
	}},
	{"upstream_leaves", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		a := s.anyAgent(rnd)
		a.upstream.Drain()
		lifecycle.Wait(drainTime, stop)
		s.replaceUpstream(a, duration(rnd, restartTime), stop)
	}},
	{"configuration", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		for range 1 + rnd.IntN(4) {
			s.publish()
			lifecycle.Wait(duration(rnd, time.Second), stop)
		}
	}},
	{"domain_out", func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		domain := domainName(rnd.IntN(domains))
		s.mu.Lock()
		s.store.PutDomainOut(domain, true)
		s.checks.domain(domain, true)
		s.mu.Unlock()
		lifecycle.Wait(outTime, stop)
		s.mu.Lock()
		s.checks.domain(domain, false)
		s.store.PutDomainOut(domain, false)
		s.mu.Unlock()
	}},
}

func duration(rnd *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(longest)))
}

// inject begins one fault after another for the duration of the soak, then waits for
// the end of all.
func (s *Soak) inject(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Duration)
	defer cancel()
	for ctx.Err() == nil {
		f := kinds[s.rnd.IntN(len(kinds))]
		rnd := rand.New(rand.NewPCG(s.rnd.Uint64(), s.rnd.Uint64()))
		s.faults[f.name]++
		wg.Go(func() { f.run(s, rnd, ctx.Done()) })
		lifecycle.Wait(duration(s.rnd, maxGap), ctx.Done())
	}
}

func (s *Soak) anyProcess(rnd *rand.Rand) *process {
	all := s.processes()
	return all[rnd.IntN(len(all))]
}

func (s *Soak) anyAgent(rnd *rand.Rand) *agent { return s.agents[rnd.IntN(len(s.agents))] }

// restart ends the present life of a process by a signal and starts the next. One
// that does not end by SIGTERM within its grace time is killed, as by the platform.
func (s *Soak) restart(p *process, sig syscall.Signal, pause time.Duration, stop <-chan struct{}) {
	p.turn.Lock()
	defer p.turn.Unlock()
	_, _, dead := p.state()
	p.signal(sig)
	if sig == syscall.SIGTERM && !lifecycle.Wait(killAfter, dead) {
		<-dead
	}
	p.signal(syscall.SIGCONT)
	p.kill()
	lifecycle.Wait(pause, stop)
	if err := p.startAgain(); err != nil {
		s.checks.violate("start", "%v", err)
	}
}

// killAfter is the time from SIGTERM to SIGKILL, as on the platform.
const killAfter = 6 * time.Second

// someLinks returns the links of one dispatcher, of one agent, or between the two, and
// notes the fault until the returned function is called.
func (s *Soak) someLinks(rnd *rand.Rand) ([]*link, func()) {
	d := s.dispatchers[rnd.IntN(len(s.dispatchers))]
	a := s.anyAgent(rnd)
	var links []*link
	hit := []*process{&d.process, &a.process}
	switch rnd.IntN(3) {
	case 0:
		for _, o := range s.agents {
			links = append(links, o.links[d.name])
			hit = append(hit, &o.process)
		}
	case 1:
		for _, o := range s.dispatchers {
			links = append(links, a.links[o.name])
			hit = append(hit, &o.process)
		}
	default:
		links = []*link{a.links[d.name]}
	}
	var ends []func()
	for _, p := range hit {
		ends = append(ends, p.disturb())
	}
	return links, func() {
		for _, end := range ends {
			end()
		}
	}
}

func (s *Soak) disturbLinks(rnd *rand.Rand, f LinkFaults, stop <-chan struct{}) {
	links, end := s.someLinks(rnd)
	defer end()
	for _, l := range links {
		l.disturb(f)
	}
	lifecycle.Wait(duration(rnd, maxFault), stop)
	for _, l := range links {
		l.disturb(LinkFaults{})
	}
}

// storeFault disturbs the store for one process, for a third of them, or for all.
func storeFault(f platform.StandinStoreFault) func(*Soak, *rand.Rand, <-chan struct{}) {
	return func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		hit := s.processes()
		rnd.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
		hit = hit[:[]int{1, 1 + len(hit)/3, len(hit)}[rnd.IntN(3)]]
		for _, p := range hit {
			defer p.cutStore()()
			s.store.SetFault(p.name, f)
		}
		lifecycle.Wait(duration(rnd, 2*maxFault), stop)
		for _, p := range hit {
			s.store.SetFault(p.name, platform.StandinStoreFault{})
		}
	}
}

func upstreamFault(f platform.StandinFaults) func(*Soak, *rand.Rand, <-chan struct{}) {
	return func(s *Soak, rnd *rand.Rand, stop <-chan struct{}) {
		a := s.anyAgent(rnd)
		defer a.disturb()()
		a.upstream.SetFaults(f)
		lifecycle.Wait(duration(rnd, maxFault), stop)
		a.upstream.SetFaults(platform.StandinFaults{})
	}
}

// replaceUpstream ends the life of an upstream and begins the next under its name.
func (s *Soak) replaceUpstream(a *agent, pause time.Duration, stop <-chan struct{}) {
	a.turn.Lock()
	defer a.turn.Unlock()
	a.upstream.Crash()
	a.closeUpstream()
	lifecycle.Wait(pause, stop)
	a.upstream.BeginIncarnation()
	if err := a.serveUpstream(); err != nil {
		s.checks.violate("start", "upstream of %s: %v", a.name, err)
	}
}
