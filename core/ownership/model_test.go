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
	// modelNodeIDs is the number of node IDs.
	modelNodeIDs = 9
	// rounding is the largest error of converting between clocks.
	rounding = time.Microsecond
	// maxRate is the rate deviation of a monotonic clock in tenths of a per mille.
	maxRate = 49
	// maxSkew is the largest deviation of a wall clock in milliseconds. The rest of
	// modelBound allows for the drift over one lease.
	maxSkew  = 40
	wallZero = 1_700_000_000_000
)

// world is a set of processes, a log and the messages between them. The order
// of events is drawn at random: a process is paused, or a message delayed, when
// its events are not drawn for a while.
type world struct {
	t       *rapid.T
	now     time.Duration
	records [][]byte
	oldest  int64
	// logUp is false while no process can reach the log.
	logUp     bool
	processes []*process
	inflight  []message
	// fullState is a state that has applied the whole log. supersededAt is, for
	// each offset, the time from which no process may act on a state without
	// that record.
	fullState            *control.State
	supersededAt         []time.Duration
	jobs                 []submission
	creators             map[job.ID]node.Ref
	outageLimit          time.Duration
	createdAfterTakeOver int
}

type submission struct {
	id      job.ID
	created int64
}

// process is one incarnation with its clocks.
type process struct {
	ref       node.Ref
	nodeIndex int
	clockRate int64
	wallSkew  int64
	group     int
	dead      bool
	// announcedLeave is true once the process has announced that it leaves. It
	// continues to work but answers no query.
	announcedLeave bool
	state          *control.State
	lease          *freshness.Lease
	tracker        *ownership.Tracker
}

// message is a query to the log (to is nil) or to a peer. It is first served,
// which fills in the answer, and then delivered.
type message struct {
	by, to      *process
	sentAt      time.Duration
	served      bool
	firstOffset int64
	records     [][]byte
	nextOffset  int64
	logAge      time.Duration
	digest      freshness.Digest
}

func newWorld(t *rapid.T, outage time.Duration) *world {
	w := &world{t: t, logUp: true, fullState: control.NewState(), creators: make(map[job.ID]node.Ref), outageLimit: outage}
	for i := range modelNodes {
		w.start(i, "")
	}
	for range modelNodes {
		w.syncAll()
	}
	return w
}

func (w *world) draw(name string, low, high int) int {
	return rapid.IntRange(low, high).Draw(w.t, name)
}

// start starts a new incarnation of the node n<nodeIndex> at an address.
func (w *world) start(nodeIndex int, addr string) {
	ref := node.Ref{ID: node.ID(fmt.Sprintf("n%d", nodeIndex)), Incarnation: node.Incarnation(len(w.processes) + 1)}
	p := &process{
		ref:       ref,
		nodeIndex: nodeIndex,
		clockRate: int64(w.draw("rate", 0, 1)*2*maxRate - maxRate),
		wallSkew:  int64(w.draw("skew", -maxSkew, maxSkew)),
		state:     control.NewState(),
		lease:     freshness.NewLease(freshness.Config{Self: ref, Duration: modelLease, DriftPerMille: modelDrift, OutageLimit: w.outageLimit}),
		tracker:   ownership.NewTracker(ownership.Config{Self: ref, Lease: modelLease, ClockBound: modelBound, Window: modelWindow}),
	}
	w.processes = append(w.processes, p)
	w.append(control.EncodeJoin(control.Member{Ref: ref, Role: control.RoleAgent, Addr: addr, OwnsFrom: w.effective(p)}))
}

func (w *world) clock(p *process) clock.Now {
	drift := w.now * time.Duration(p.clockRate) / 10000
	return clock.Now{Mono: time.Hour + w.now + drift, Wall: wallZero + w.now.Milliseconds() + p.wallSkew}
}

// realTime returns the world's time at which the monotonic clock of p shows mono.
func (w *world) realTime(p *process, mono time.Duration) time.Duration {
	if mono >= freshness.Forever {
		return freshness.Forever
	}
	return (mono - time.Hour) * 10000 / time.Duration(10000+p.clockRate)
}

func (w *world) append(record []byte) {
	w.records = append(w.records, record)
	w.fullState.Apply(int64(len(w.records)-1), record)
	w.supersededAt = append(w.supersededAt, 0)
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

// applyLogRead delivers the answer to the log read m to p.
func (w *world) applyLogRead(p *process, m message) {
	for i, r := range m.records {
		p.state.Apply(m.firstOffset+int64(i), r)
	}
	w.stateChanged(p)
	p.lease.AddLogEvidence(m.nextOffset, m.sentAt)
}

func (w *world) stateChanged(p *process) {
	p.lease.Advance(p.state.Next())
	p.lease.SetMembers(p.state.Members())
	p.tracker.Observe(w.clock(p), p.state)
}

func (w *world) serveRead(m *message) {
	m.firstOffset = max(m.by.state.Next(), w.oldest)
	m.nextOffset = int64(len(w.records))
	if m.firstOffset < m.nextOffset {
		m.records = w.records[m.firstOffset:]
	}
}

func (w *world) serveQuery(m *message) {
	m.nextOffset = m.to.state.Next()
	m.digest = m.to.lease.Digest(w.clock(m.to).Mono)
	m.logAge = -1
	if _, since, ok := m.to.lease.LatestLogEvidence(); ok {
		m.logAge = w.clock(m.to).Mono - since
	}
}

func (w *world) applyPeerAnswer(m message) {
	p := m.by
	p.lease.AddPeerEvidence(m.to.ref, m.nextOffset, m.sentAt)
	p.lease.AddRelayedEvidence(m.nextOffset, m.sentAt, m.logAge)
	p.lease.MergeDigest(m.digest, m.sentAt)
	p.tracker.ObserveOffset(w.clock(p), m.to.ref, m.nextOffset)
}

func (w *world) newQuery(p, to *process) message {
	return message{by: p, to: to, sentAt: w.clock(p).Mono}
}

// reaches reports whether two processes are on the same side of the partition.
// Processes of group 0 can reach the log.
func reaches(p, q *process) bool { return p.group == q.group }

// sync lets p read the log and query every peer that it can reach.
func (w *world) sync(p *process) {
	if w.logUp && p.group == 0 {
		m := w.newQuery(p, nil)
		w.serveRead(&m)
		w.applyLogRead(p, m)
	}
	for _, q := range w.living() {
		if q != p && !q.announcedLeave && reaches(p, q) {
			m := w.newQuery(p, q)
			w.serveQuery(&m)
			w.applyPeerAnswer(m)
		}
	}
}

func (w *world) syncAll() {
	for _, p := range w.living() {
		w.sync(p)
	}
}

// recordSuperseded sets supersededAt for each record that a majority has now
// applied, or that has been appended when only log reads count.
func (w *world) recordSuperseded() {
	logOnly := w.outageLimit > 0
	for offset := range w.supersededAt {
		if w.supersededAt[offset] > 0 {
			continue
		}
		confirmed := int64(offset) < w.fullState.ConfirmedOffset()
		if logOnly || confirmed || w.fullState.MajorityApplied(int64(offset), w.hasApplied(int64(offset))) {
			w.supersededAt[offset] = w.now + modelLease + 1
		}
	}
}

func (w *world) hasApplied(offset int64) func(node.Ref) bool {
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

// check asserts that no process holds a lease that lasts past the time at which
// a record that it lacks came into force.
func (w *world) check() {
	w.recordSuperseded()
	for _, p := range w.living() {
		if !p.state.Synced() || !w.mayStart(p) {
			continue
		}
		until := w.realTime(p, p.lease.Until())
		for offset := p.state.Next(); offset < int64(len(w.supersededAt)); offset++ {
			if at := w.supersededAt[offset]; at > 0 && until > at+rounding {
				w.t.Fatalf("%v may start work until %v without record %d, which is in force from %v", p.ref, until, offset, at)
			}
		}
		w.checkTakeOvers(p, until)
	}
}

// checkTakeOvers asserts that no take-over by a record that p lacks is usable
// before until, which is the end of p's lease: neither in monotonic time nor by
// any wall clock.
func (w *world) checkTakeOvers(p *process, until time.Duration) {
	for _, q := range w.living() {
		for _, o := range q.tracker.TakeOvers() {
			if q == p || o.Offset < p.state.Next() {
				continue
			}
			usable := w.realTime(q, o.UsableAt)
			if until > usable+rounding {
				w.t.Fatalf("%v may start work until %v, but %v took over by record %d at %v", p.ref, until, q.ref, o.Offset, usable)
			}
			latest := wallZero + usable.Milliseconds() + maxSkew
			if o.UsableAtWall+modelBound.Milliseconds() < latest {
				w.t.Fatalf("%v creates jobs with creation times after %d plus the clock bound, but a wall clock can show %d before it took over", q.ref, o.UsableAtWall, latest)
			}
		}
	}
}

// admit submits a job to a process and asserts that no other process has created
// it.
func (w *world) admit(p *process, s submission) {
	if !w.mayStart(p) {
		return
	}
	v := p.tracker.Admit(w.clock(p), s.id, s.created)
	if v.Kind != ownership.Own {
		return
	}
	former, ok := w.creators[s.id]
	if ok && former != p.ref {
		w.t.Fatalf("job %s was created by %v and then by %v at %v", s.id, former, p.ref, w.now)
	}
	if !ok && p.tracker.HasRemovalTakeOver() {
		w.createdAfterTakeOver++
	}
	w.creators[s.id] = p.ref
}

// submit adds a job whose creation time comes from a skewed wall clock.
func (w *world) submit() {
	skew := int64(w.draw("client skew", -maxSkew, maxSkew))
	w.jobs = append(w.jobs, submission{
		id:      job.ID(fmt.Sprintf("job-%d", len(w.jobs))),
		created: wallZero + w.now.Milliseconds() + skew,
	})
}

// effective draws the job creation time from which a change that p announces
// takes effect: at once, too soon for every process to know of it, or late
// enough.
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
