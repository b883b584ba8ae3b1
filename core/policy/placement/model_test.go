package placement

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/admission"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/estimate"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/quarantine"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/queue"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/slots"
)

// modelConfig describes one run of the queueing model. Every process is an
// executor, and the home of the jobs that arrive at it.
type modelConfig struct {
	policy       string
	seed         uint64
	nodes, slots int
	load         float64
	// report is the interval of load reports, delay the delay of a message.
	report, delay time.Duration
	// jobSize is the size of large jobs. Half of the tasks are urgent jobs of one.
	jobSize int
	// fanOut is the number of others whose load each process follows; zero is all.
	fanOut int
	length time.Duration
	// slow multiplies the service times of node 0; zero leaves them unchanged.
	slow float64
	// inServiceAt is when nodes 0 to 3 come into service; zero is from the start.
	inServiceAt time.Duration
	// ramp sets Candidate.InServiceFor of those nodes.
	ramp bool
	// burst multiplies the arrival rate between a third and half of the run.
	burst float64
	// reserve keeps slots for urgent tasks. refuseWhenFull makes a full executor
	// refuse an urgent task while another has a free slot.
	reserve        slots.Reserve
	refuseWhenFull bool
	// shed makes a home refuse jobs by their expected queue delay.
	shed bool
	// failsAll makes node 0 fail each task after 1 ms. detect turns quarantines on.
	failsAll, detect bool
}

// meanService is the mean of the durations that drawService returns.
const meanService = 674 * time.Millisecond

// drawService draws 50 ms to 1 s for 95% of tasks, 2 to 5 s for the others.
func drawService(rng *rand.Rand) time.Duration {
	if rng.Float64() < 0.05 {
		return 2*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	}
	return 50*time.Millisecond + time.Duration(rng.Int64N(int64(950*time.Millisecond)))
}

type modelTask struct {
	home             int
	class            job.Class
	arrived, service time.Duration
	// key identifies the job.
	key string
}

// modelNode is one process. Its slices are indexed by node; reportedAt holds when
// the last load report of each node was made.
type modelNode struct {
	picker     Picker
	cands      []Candidate
	reportedAt []time.Duration
	// ignored marks the nodes whose load this node does not follow.
	ignored []bool
	// sent holds when the tasks were sent that no report includes yet.
	sent    [][]time.Duration
	pending *queue.Queue[*modelTask]
	busy    int
	waiting *queue.Queue[*modelTask]
	est     estimate.Estimator
	adm     *admission.Controller
	det     *quarantine.Detector
}

// model is one run of the queueing model in virtual time.
type model struct {
	cfg    modelConfig
	now    time.Duration
	seq    int
	events modelEvents
	nodes  []*modelNode
	rng    *rand.Rand
	result modelResult
}

func runModel(cfg modelConfig) *modelResult {
	m := &model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 1))}
	m.result.shed = make(map[job.Class]int)
	for i := range cfg.nodes {
		m.nodes = append(m.nodes, m.newNode(i))
	}
	for i := range cfg.nodes {
		m.schedule(time.Duration(i)*cfg.report/time.Duration(cfg.nodes), func() { m.report(i) })
	}
	m.arrive(1, job.Urgent)
	m.arrive(cfg.jobSize, job.Normal)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
	return &m.result
}

func (m *model) newNode(self int) *modelNode {
	p, err := New(m.cfg.policy, m.cfg.seed+uint64(self))
	if err != nil {
		panic(err)
	}
	n := &modelNode{
		picker:     p,
		cands:      make([]Candidate, m.cfg.nodes),
		reportedAt: make([]time.Duration, m.cfg.nodes),
		ignored:    make([]bool, m.cfg.nodes),
		sent:       make([][]time.Duration, m.cfg.nodes),
		pending:    queue.New[*modelTask](1 << 20),
		waiting:    queue.New[*modelTask](m.cfg.slots * QueuePerSlot),
		adm:        admission.New(),
		det:        quarantine.New(),
	}
	for i := range n.cands {
		n.cands[i] = Candidate{
			Ref:    node.Ref{ID: modelIDs(m.cfg.nodes)[i], Incarnation: 1},
			Domain: string(rune('A' + i/4)),
			Local:  i == self,
			Load:   message.Load{Slots: m.slotsOf(i)},
		}
	}
	if m.cfg.fanOut > 0 {
		ids := modelIDs(m.cfg.nodes)
		watched := Subset(ids[self], ids, m.cfg.fanOut)
		for i := range n.cands {
			if i != self && !slices.Contains(watched, ids[i]) {
				n.cands[i].Load.Slots = 0
				n.ignored[i] = true
			}
		}
	}
	if m.cfg.detect {
		n.det.SetWorkers(0, modelIDs(m.cfg.nodes))
	}
	return n
}

func modelIDs(n int) []node.ID {
	ids := make([]node.ID, n)
	for i := range ids {
		ids[i] = node.ID(rune('a' + i))
	}
	return ids
}

// slotsOf returns the number of slots of node i, 0 before it comes into service.
func (m *model) slotsOf(i int) int {
	if i < 4 && m.now < m.cfg.inServiceAt {
		return 0
	}
	return m.cfg.slots
}

func (m *model) schedule(after time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{at: m.now + after, seq: m.seq, do: do})
}

func (m *model) delay(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return m.cfg.delay
}

// arrive schedules a job of size tasks, whose arrival schedules the next one.
func (m *model) arrive(size int, class job.Class) {
	perSecond := m.cfg.load * float64(m.cfg.nodes*m.cfg.slots) / meanService.Seconds() / 2 / float64(size)
	if m.now > m.cfg.length/3 && m.now < m.cfg.length/2 && m.cfg.burst > 0 {
		perSecond *= m.cfg.burst
	}
	m.schedule(time.Duration(m.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if m.now > m.cfg.length {
			return
		}
		home := m.rng.IntN(m.cfg.nodes)
		ok := !m.cfg.shed || m.admitsJob(home, class)
		for range size {
			t := &modelTask{home: home, class: class, arrived: m.now, service: drawService(m.rng), key: m.now.String()}
			m.result.tasks++
			if ok {
				m.nodes[home].pending.Push(t, class, m.now)
				continue
			}
			m.result.shed[class]++
		}
		m.place(home)
		m.arrive(size, class)
	})
}

// admitsJob reports whether home admits a job, by its wait behind pending tasks.
func (m *model) admitsJob(home int, class job.Class) bool {
	n := m.nodes[home]
	r := admission.Request{Class: class, Timeout: 10 * time.Second}
	m.refresh(n, home, class)
	if !AnyFreeSlot(n.cands) {
		r.Wait = n.est.Wait(n.pending.CountAhead(class), m.cfg.slots, m.cfg.slots)
	}
	return n.adm.Admit(m.now, r).OK
}

// place sends the pending tasks of home while an executor has free capacity.
func (m *model) place(home int) {
	for _, class := range job.Classes {
		m.placeClass(home, class)
	}
}

func (m *model) placeClass(home int, class job.Class) {
	n := m.nodes[home]
	for n.pending.LenClass(class) > 0 {
		m.refresh(n, home, class)
		i := n.picker.Pick(n.cands)
		if i < 0 {
			return
		}
		t, _ := n.pending.Pop(func(c job.Class) bool { return c == class })
		n.adm.Observe(m.now, class, m.now-t.arrived)
		n.det.RecordSent(m.now, n.cands[i].Ref.ID)
		if i != home {
			n.sent[i] = append(n.sent[i], m.now)
			m.result.remote++
		}
		d := m.delay(home, i)
		if d == 0 {
			m.offer(i, t)
			continue
		}
		m.schedule(d, func() { m.offer(i, t) })
	}
}

// refresh updates the candidates of home for a task of class at the present time.
func (m *model) refresh(n *modelNode, home int, class job.Class) {
	for i := range n.cands {
		n.cands[i].Class = class
		n.cands[i].UnreportedTasks = len(n.sent[i])
		n.cands[i].LoadAge = m.now - n.reportedAt[i]
		if i < 4 && m.cfg.ramp {
			n.cands[i].InServiceFor = m.now - m.cfg.inServiceAt
		}
	}
	n.cands[home].Load = m.loadOf(home)
	for i := range n.cands {
		n.cands[i].QueuedUrgent = n.cands[i].Load.QueuedUrgent
		if n.det.Quarantined(m.now, n.cands[i].Ref.ID) {
			n.cands[i].Load.Slots = 0
		}
	}
	n.cands[home].LoadAge = 0
}

func (m *model) loadOf(i int) message.Load {
	n := m.nodes[i]
	return message.Load{
		Slots: m.slotsOf(i), Busy: n.busy, Queued: n.waiting.Len(),
		QueuedUrgent: n.waiting.LenClass(job.Urgent), MeanServiceTime: n.est.Mean(),
		Failing: n.det.Quarantined(m.now, modelIDs(i + 1)[i]),
	}
}

// admit reports whether node i may start a task of class now.
func (m *model) admit(i int, class job.Class) bool {
	all := m.slotsOf(i)
	return m.cfg.reserve.Admit(all-m.nodes[i].busy, all, class)
}

// offer delivers a task to executor i, which starts, queues or refuses it.
func (m *model) offer(i int, t *modelTask) {
	n := m.nodes[i]
	if i != t.home && n.det.Quarantined(m.now, n.cands[i].Ref.ID) {
		m.refuse(i, t)
		return
	}
	if m.admit(i, t.class) {
		m.start(i, t)
		return
	}
	m.refresh(n, i, t.class)
	if t.class == job.Urgent && m.cfg.refuseWhenFull && i != t.home && AnyFreeSlot(n.cands) {
		m.refuse(i, t)
		return
	}
	p := n.waiting.Push(t, t.class, t.arrived)
	for _, e := range p.Evicted {
		m.refuse(i, e)
	}
	if !p.OK {
		m.refuse(i, t)
	}
}

// refuse returns a task from node i to its home, together with the load of node i.
func (m *model) refuse(i int, t *modelTask) {
	m.result.refused++
	if m.now > m.cfg.inServiceAt && m.now < m.cfg.inServiceAt+2*time.Second {
		m.result.refusedOnReturn++
	}
	m.reply(i, t.home, func() {
		m.nodes[t.home].pending.Push(t, t.class, t.arrived)
		m.place(t.home)
	})
}

// reply delivers the load of node i to home after a delay, then calls do.
func (m *model) reply(i, home int, do func()) {
	l, made := m.loadOf(i), m.now
	m.schedule(max(m.delay(i, home), time.Microsecond), func() {
		if i != home {
			m.applyLoad(home, i, l, made)
		}
		do()
	})
}

func (m *model) start(i int, t *modelTask) {
	n := m.nodes[i]
	n.busy++
	took := t.service
	if i == 0 && m.cfg.slow > 0 {
		took = time.Duration(float64(took) * m.cfg.slow)
	}
	fails := i == 0 && m.cfg.failsAll
	if fails {
		took = time.Millisecond
		m.result.lost++
	}
	n.det.RecordSent(m.now, n.cands[i].Ref.ID)
	m.schedule(took, func() {
		n.busy--
		n.det.Observe(m.now, n.cands[i].Ref.ID, t.key, fails)
		n.est.Observe(took)
		m.reply(i, t.home, func() {
			if i != t.home {
				m.nodes[t.home].det.Observe(m.now, n.cands[i].Ref.ID, t.key, fails)
			}
			m.completed(t)
		})
		if next, ok := n.waiting.Pop(func(c job.Class) bool { return m.admit(i, c) }); ok {
			m.start(i, next)
		}
	})
}

func (m *model) completed(t *modelTask) {
	m.result.completed++
	ratio := float64(m.now-t.arrived) / float64(t.service)
	if t.class == job.Urgent {
		m.result.ratios = append(m.result.ratios, ratio)
		if t.arrived > m.cfg.length/2+2*time.Second {
			m.result.afterBurst = append(m.result.afterBurst, ratio)
		}
	} else {
		m.result.normalSum += ratio
	}
	m.place(t.home)
}

// report sends the load of node i to its followers, at every report interval.
func (m *model) report(i int) {
	l, made := m.loadOf(i), m.now
	for j := range m.nodes {
		if j != i && !m.nodes[j].ignored[i] {
			m.schedule(m.delay(i, j), func() { m.applyLoad(j, i, l, made) })
		}
	}
	if m.now < 2*m.cfg.length {
		m.schedule(m.cfg.report, func() { m.report(i) })
	}
}

func (m *model) applyLoad(home, i int, l message.Load, made time.Duration) {
	n := m.nodes[home]
	n.cands[i].Load = l
	n.det.SetReportsFailing(n.cands[i].Ref.ID, l.Failing)
	n.reportedAt[i] = made
	n.sent[i] = slices.DeleteFunc(n.sent[i], func(at time.Duration) bool { return at+m.cfg.delay <= made })
	m.place(home)
}
