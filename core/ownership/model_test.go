package ownership_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/freshness"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/ownership"
)

// Parameters of the model.
const (
	modelLease  = time.Second
	modelDrift  = 10
	modelBound  = 100 * time.Millisecond
	modelWindow = time.Minute
	modelNodes  = 3
	// modelSlots is the number of node IDs.
	modelSlots = 9
	// rounding is the error of converting between clocks.
	rounding = time.Microsecond
	// maxRate is the deviation of a monotonic clock in tenths of a per mille.
	maxRate = 49
	// maxSkew is the deviation of a wall clock in milliseconds. The rest of
	// modelBound is for the drift over one lease.
	maxSkew  = 40
	wallZero = 1_700_000_000_000
)

// world is a set of processes, a log and the messages between them. The order
// of events is drawn at random, so that pauses, partitions and delays are runs
// in which the events of some processes or messages are not drawn.
type world struct {
	t       *rapid.T
	now     time.Duration
	records [][]byte
	oldest  int64
	// logUp is false while no process can reach the log.
	logUp     bool
	processes []*process
	inflight  []message
	// agreed is a state that has applied the whole log. passed is, for each
	// offset, when no process may act on a state without that record any more.
	agreed   *control.State
	passed   []time.Duration
	jobs     []submission
	starters map[job.ID]node.Ref
	outage   time.Duration
	moved    int
}

type submission struct {
	id      job.ID
	created int64
}

// process is one run with its clocks.
type process struct {
	ref   node.Ref
	slot  int
	rate  int64
	skew  int64
	group int
	dead  bool
	// left is true once the process has announced that it leaves. It goes on
	// working and answers no query.
	left    bool
	state   *control.State
	lease   *freshness.Lease
	tracker *ownership.Tracker
}

// message is a query to the log or to a peer. It is served, then delivered.
type message struct {
	by, to  *process
	asked   time.Duration
	served  bool
	from    int64
	records [][]byte
	end     int64
	age     time.Duration
	digest  freshness.Digest
}

func newWorld(t *rapid.T, outage time.Duration) *world {
	w := &world{t: t, logUp: true, agreed: control.NewState(), starters: make(map[job.ID]node.Ref), outage: outage}
	for i := range modelNodes {
		w.start(i, "")
	}
	for range modelNodes {
		w.everybodySyncs()
	}
	return w
}

func (w *world) draw(name string, low, high int) int {
	return rapid.IntRange(low, high).Draw(w.t, name)
}

// start runs a new incarnation of a node at an address.
func (w *world) start(slot int, addr string) {
	ref := node.Ref{ID: node.ID(fmt.Sprintf("n%d", slot)), Incarnation: node.Incarnation(len(w.processes) + 1)}
	p := &process{
		ref:     ref,
		slot:    slot,
		rate:    int64(w.draw("rate", 0, 1)*2*maxRate - maxRate),
		skew:    int64(w.draw("skew", -maxSkew, maxSkew)),
		state:   control.NewState(),
		lease:   freshness.NewLease(freshness.Config{Self: ref, Duration: modelLease, DriftPerMille: modelDrift, OutageLimit: w.outage}),
		tracker: ownership.NewTracker(ownership.Config{Self: ref, Lease: modelLease, ClockBound: modelBound, Window: modelWindow}),
	}
	w.processes = append(w.processes, p)
	w.append(control.EncodeJoin(control.Member{Ref: ref, Role: control.RoleAgent, Addr: addr, OwnsFrom: w.effective(p)}))
}

func (w *world) clock(p *process) clock.Now {
	drift := w.now * time.Duration(p.rate) / 10000
	return clock.Now{Mono: time.Hour + w.now + drift, Wall: wallZero + w.now.Milliseconds() + p.skew}
}

// realTime returns the time of the world at which the clock of p shows mono.
func (w *world) realTime(p *process, mono time.Duration) time.Duration {
	if mono >= freshness.Forever {
		return freshness.Forever
	}
	return (mono - time.Hour) * 10000 / time.Duration(10000+p.rate)
}

func (w *world) append(record []byte) {
	w.records = append(w.records, record)
	w.agreed.Apply(int64(len(w.records)-1), record)
	w.passed = append(w.passed, 0)
}

func (w *world) living() []*process {
	var living []*process
	for _, p := range w.processes {
		if !p.dead {
			living = append(living, p)
		}
	}
	return living
}

func (w *world) pick() *process {
	living := w.living()
	return living[w.draw("process", 0, len(living)-1)]
}

// read delivers the answer of a log read that was sent at asked.
func (w *world) read(p *process, m message) {
	for i, r := range m.records {
		p.state.Apply(m.from+int64(i), r)
	}
	w.changed(p)
	p.lease.LogEvidence(m.end, m.asked)
}

func (w *world) changed(p *process) {
	p.lease.Advance(p.state.Next())
	p.lease.SetMembers(p.state.Members())
	p.tracker.Observe(w.clock(p), p.state)
}

func (w *world) serveRead(m *message) {
	m.from = max(m.by.state.Next(), w.oldest)
	m.end = int64(len(w.records))
	if m.from < m.end {
		m.records = w.records[m.from:]
	}
}

func (w *world) serveQuery(m *message) {
	m.end = m.to.state.Next()
	m.digest = m.to.lease.Digest(w.clock(m.to).Mono)
	m.age = -1
	if _, since, ok := m.to.lease.Evidence(); ok {
		m.age = w.clock(m.to).Mono - since
	}
}

func (w *world) hear(m message) {
	p := m.by
	p.lease.PeerEvidence(m.to.ref, m.end, m.asked)
	p.lease.RelayedEvidence(m.end, m.asked, m.age)
	p.lease.MergeDigest(m.digest, m.asked)
	p.tracker.Heard(w.clock(p), m.to.ref, m.end)
}

func (w *world) ask(p, to *process) message {
	return message{by: p, to: to, asked: w.clock(p).Mono}
}

// reaches reports whether two processes are on one side of the partition. Group
// 0 is the side of the log.
func reaches(p, q *process) bool { return p.group == q.group }

func (w *world) syncs(p *process) {
	if w.logUp && p.group == 0 {
		m := w.ask(p, nil)
		w.serveRead(&m)
		w.read(p, m)
	}
	for _, q := range w.living() {
		if q != p && !q.left && reaches(p, q) {
			m := w.ask(p, q)
			w.serveQuery(&m)
			w.hear(m)
		}
	}
}

func (w *world) everybodySyncs() {
	for _, p := range w.living() {
		w.syncs(p)
	}
}

// notePassed records from when on no process may act without each record.
func (w *world) notePassed() {
	logOnly := w.outage > 0
	for offset := range w.passed {
		if w.passed[offset] > 0 {
			continue
		}
		confirmed := int64(offset) < w.agreed.ConfirmedOffset()
		if logOnly || confirmed || w.agreed.MajorityApplied(int64(offset), w.hasRead(int64(offset))) {
			w.passed[offset] = w.now + modelLease + 1
		}
	}
}

func (w *world) hasRead(offset int64) func(node.Ref) bool {
	return func(ref node.Ref) bool {
		for _, p := range w.processes {
			if p.ref == ref {
				return p.dead || p.state.Next() > offset
			}
		}
		return true
	}
}

// mayStart reports whether a process would start work now.
func (w *world) mayStart(p *process) bool {
	return p.state.Synced() && p.lease.Valid(w.clock(p).Mono)
}

// check asserts that no process acts, or may act later on the evidence that it
// holds, on a state that others have left behind.
func (w *world) check() {
	w.notePassed()
	for _, p := range w.living() {
		if !p.state.Synced() || !w.mayStart(p) {
			continue
		}
		until := w.realTime(p, p.lease.Until())
		for offset := p.state.Next(); offset < int64(len(w.passed)); offset++ {
			if at := w.passed[offset]; at > 0 && until > at+rounding {
				w.t.Fatalf("%v may start work until %v without record %d, in force since %v", p.ref, until, offset, at)
			}
		}
		w.checkTakeOvers(p, until)
	}
}

// checkTakeOvers asserts that no take-over past the offset of p is usable
// before until, on the monotonic scale and on that of any wall clock.
func (w *world) checkTakeOvers(p *process, until time.Duration) {
	for _, q := range w.living() {
		for _, o := range q.tracker.TakeOvers() {
			if q == p || o.Offset < p.state.Next() {
				continue
			}
			usable := w.realTime(q, o.Usable)
			if until > usable+rounding {
				w.t.Fatalf("%v may start work until %v, and %v took over by record %d at %v", p.ref, until, q.ref, o.Offset, usable)
			}
			latest := wallZero + usable.Milliseconds() + maxSkew
			if o.UsableWall+modelBound.Milliseconds() < latest {
				w.t.Fatalf("%v takes jobs created from %d on, and a clock can show %d before it took over", q.ref, o.UsableWall, latest)
			}
		}
	}
}

// admit asks a process whether it may create a job.
func (w *world) admit(p *process, s submission) {
	if !w.mayStart(p) {
		return
	}
	v := p.tracker.Admit(w.clock(p), s.id, s.created)
	if v.Kind != ownership.Own {
		return
	}
	former, ok := w.starters[s.id]
	if ok && former != p.ref {
		w.t.Fatalf("%s created by %v and then by %v at %v", s.id, former, p.ref, w.now)
	}
	if !ok && p.tracker.Follows() {
		w.moved++
	}
	w.starters[s.id] = p.ref
}

// submit makes a job whose creation time is that of a skewed clock.
func (w *world) submit() {
	skew := int64(w.draw("client skew", -maxSkew, maxSkew))
	w.jobs = append(w.jobs, submission{
		id:      job.ID(fmt.Sprintf("job-%d", len(w.jobs))),
		created: wallZero + w.now.Milliseconds() + skew,
	})
}

// effective draws the creation time from which a change that p announces holds:
// at once, too soon for everybody to know of it, or late enough.
func (w *world) effective(p *process) int64 {
	wall := w.clock(p).Wall
	switch w.draw("effective", 0, 3) {
	case 0:
		return 0
	case 1:
		return wall + int64(w.draw("effective_ms", -500, 1500))
	default:
		return wall + (modelLease + 2*modelBound).Milliseconds() + int64(w.draw("margin_ms", 0, 1500))
	}
}
