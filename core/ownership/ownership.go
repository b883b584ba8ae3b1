// Package ownership decides whether this process may create the record of a
// job. A job with a minted ID belongs to the process incarnation that the ID
// names. Any other job is assigned to an agent by rendezvous hashing, so its
// home changes with the membership: a new home may create only jobs that were
// provably created after it took over. docs/design/freshness.md has the proof.
package ownership

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

// Config holds the parameters of a Tracker.
type Config struct {
	Self node.Ref
	// Lease is the duration of the freshness lease of every process.
	Lease time.Duration
	// ClockBound is the largest difference between any two wall clocks, including
	// the drift of each over one lease.
	ClockBound time.Duration
	// Window is the admission window: a job older than this is never created.
	// Final records must be retained for longer than Window plus ClockBound.
	Window time.Duration
}

// Kind says whether a process may create a job and, if not, why.
type Kind string

// The kinds of verdicts.
const (
	// Own: this process may create the job, if its freshness lease is valid.
	Own Kind = "own"
	// Elsewhere: another process is the home.
	Elsewhere Kind = "elsewhere"
	// TooEarly: this process is the home, but a former home may already have
	// started the job.
	TooEarly Kind = "too_early"
	// TooOld: the job is older than the admission window.
	TooOld Kind = "too_old"
	// FromFuture: the creation time is later than any wall clock within ClockBound
	// can show.
	FromFuture Kind = "from_future"
)

// Verdict is the result of Admit.
type Verdict struct {
	Kind Kind
	// Home is the home of the job, or zero when none is known.
	Home node.Ref
}

// Tracker follows the membership to determine when this process took over each
// range of job IDs. It is not safe for concurrent use.
type Tracker struct {
	config Config
	state  *control.State
	// homes maps a job ID to its home among the agents that were in force when the
	// job was created, as known at observedOffset.
	homes *rendezvous.Timeline
	// observedOffset is the next offset of the state at the last Observe.
	observedOffset int64
	// joined is true while this incarnation is a member with the agent role.
	joined bool
	// fullTakeOver is the take-over of every range of IDs: when this incarnation
	// joined, or when it missed removals of agents in the stream.
	fullTakeOver *takeOver
	// removalTakeOvers holds the last take-over from each removed agent.
	removalTakeOvers map[node.ID]*takeOver
	// appliedOffsets is the highest next offset that each agent has reported.
	appliedOffsets map[node.Ref]int64

	nextConfirmation confirmation
}

// takeOver is the moment at which the record at offset ended the right of other
// processes to create jobs in a range of IDs.
type takeOver struct {
	offset int64
	// majorityApplied is true once a majority of agents has applied the record.
	// usableAt (monotonic) and usableAtWall (milliseconds since the Unix epoch)
	// are set then, to one lease later: from that time on no process without
	// the record can create a job.
	majorityApplied bool
	usableAt        time.Duration
	usableAtWall    int64
}

// NewTracker returns a tracker for a process that is not yet a member.
func NewTracker(c Config) *Tracker {
	return &Tracker{
		config:           c,
		removalTakeOvers: make(map[node.ID]*takeOver),
		appliedOffsets:   make(map[node.Ref]int64),
	}
}

// Observe updates the tracker from s. Call it after each change of s: after an
// Apply call or a batch of them, and after ResetTo. The tracker keeps s and
// reads it in its other methods; s must be the same state on each call.
func (t *Tracker) Observe(now clock.Now, s *control.State) {
	t.state = s
	if !s.Synced() || s.Next() == t.observedOffset {
		return
	}
	t.updateSelf(s)
	t.recordRemovals(s)
	t.observedOffset = s.Next()
	t.homes = rendezvous.NewTimeline(s)
	t.dropFormerAgents(s)
	t.appliedOffsets[t.config.Self] = s.Next()
	t.checkMajorities(now)
	t.prune(now)
}

// updateSelf starts a take-over of every range when this process has joined.
func (t *Tracker) updateSelf(s *control.State) {
	self, ok := s.Member(t.config.Self)
	ok = ok && self.Role == control.RoleAgent
	if ok && !t.joined {
		t.fullTakeOver = &takeOver{offset: self.JoinOffset}
	}
	t.joined = ok
}

// recordRemovals starts a take-over from each agent that was removed since the
// last Observe. When the state no longer holds all of these removals, any range
// of IDs may have moved, so this process takes over every range anew.
func (t *Tracker) recordRemovals(s *control.State) {
	ended, complete := s.RemovedSince(t.observedOffset)
	if !complete && t.joined {
		t.fullTakeOver = &takeOver{offset: s.Next() - 1}
	}
	for _, e := range ended {
		if e.Role == control.RoleAgent {
			t.removalTakeOvers[e.Ref.ID] = &takeOver{offset: e.Offset}
		}
	}
}

// dropFormerAgents drops the offsets reported by processes that are no longer
// members.
func (t *Tracker) dropFormerAgents(s *control.State) {
	for ref := range t.appliedOffsets {
		if _, ok := s.Member(ref); !ok {
			delete(t.appliedOffsets, ref)
		}
	}
}

// ObserveOffset records that the process from has applied every record before
// next. Each envelope carries this offset.
func (t *Tracker) ObserveOffset(now clock.Now, from node.Ref, next int64) {
	before := t.appliedOffsets[from]
	if next <= before {
		return
	}
	t.appliedOffsets[from] = next
	if t.awaitsOffset(before, next) {
		t.checkMajorities(now)
	}
}

// awaitsOffset reports whether a take-over waits for a majority to apply a
// record at an offset from before on and below next.
func (t *Tracker) awaitsOffset(before, next int64) bool {
	if t.fullTakeOver != nil && t.fullTakeOver.awaitsOffset(before, next) {
		return true
	}
	for _, o := range t.removalTakeOvers {
		if o.awaitsOffset(before, next) {
			return true
		}
	}
	return false
}

func (o *takeOver) awaitsOffset(before, next int64) bool {
	return !o.majorityApplied && before <= o.offset && o.offset < next
}

// checkMajorities checks for each take-over whether a majority of agents has
// applied its record.
func (t *Tracker) checkMajorities(now clock.Now) {
	if t.fullTakeOver != nil {
		t.checkMajority(now, t.fullTakeOver)
	}
	for _, o := range t.removalTakeOvers {
		t.checkMajority(now, o)
	}
}

// checkMajority sets when the take-over becomes usable once a majority of
// agents has applied its record.
func (t *Tracker) checkMajority(now clock.Now, o *takeOver) {
	if o.majorityApplied || !t.majorityApplied(o.offset) {
		return
	}
	usable := now.After(t.config.Lease)
	o.majorityApplied = true
	o.usableAt = usable.Mono
	o.usableAtWall = usable.Wall
}

// majorityApplied reports whether a majority is known to have applied the
// record at offset. It requires a majority of every set of agents that was in
// force since the last confirmation up to offset.
func (t *Tracker) majorityApplied(offset int64) bool {
	if t.state == nil {
		return false
	}
	if t.state.ConfirmedOffset() > offset {
		return true
	}
	return t.state.MajorityApplied(offset, func(ref node.Ref) bool {
		return t.appliedOffsets[ref] > offset
	})
}

// prune drops the take-overs that are older than every job in the admission
// window.
func (t *Tracker) prune(now clock.Now) {
	oldest := now.Wall - t.config.Window.Milliseconds()
	for id, o := range t.removalTakeOvers {
		if o.majorityApplied && o.usableAtWall+t.clockBoundMillis() < oldest {
			delete(t.removalTakeOvers, id)
		}
	}
}

func (t *Tracker) clockBoundMillis() int64 { return t.config.ClockBound.Milliseconds() }

// Admit decides whether this process may create the job id. Created is the
// job's creation time in milliseconds since the Unix epoch; a creation time in
// the ID itself takes precedence. The caller must hold a valid freshness lease
// when it acts on Own.
func (t *Tracker) Admit(now clock.Now, id job.ID, created int64) Verdict {
	if m, ok := id.Minted(); ok {
		return t.admitMinted(now, m)
	}
	if c, ok := id.UUIDv7Created(); ok {
		created = c
	}
	return t.admitHashed(now, id, created)
}

func (t *Tracker) admitMinted(now clock.Now, m job.Minted) Verdict {
	if m.Home != t.config.Self {
		return Verdict{Kind: Elsewhere, Home: m.Home}
	}
	return Verdict{Kind: t.checkAge(now, m.Created), Home: m.Home}
}

func (t *Tracker) admitHashed(now clock.Now, id job.ID, created int64) Verdict {
	if t.homes == nil {
		return Verdict{Kind: Elsewhere}
	}
	home, ok := t.homes.Home(id, created)
	if !ok || home.Ref != t.config.Self {
		return Verdict{Kind: Elsewhere, Home: home.Ref}
	}
	kind := t.checkAge(now, created)
	if kind == Own && !t.mayCreate(now, id, created) {
		kind = TooEarly
	}
	return Verdict{Kind: kind, Home: home.Ref}
}

func (t *Tracker) checkAge(now clock.Now, created int64) Kind {
	switch {
	case created > now.Wall+t.clockBoundMillis():
		return FromFuture
	case created < now.Wall-t.config.Window.Milliseconds():
		return TooOld
	default:
		return Own
	}
}

// mayCreate reports whether the job was provably created after every take-over
// that concerns its ID.
func (t *Tracker) mayCreate(now clock.Now, id job.ID, created int64) bool {
	if !t.state.Synced() || t.observedOffset != t.state.Next() || t.fullTakeOver == nil {
		return false
	}
	if !t.jobIsAfter(t.fullTakeOver, now, created) {
		return false
	}
	for former, o := range t.removalTakeOvers {
		if !t.jobIsAfter(o, now, created) && rendezvous.RanksAbove(string(id), former, t.config.Self.ID) {
			return false
		}
	}
	return true
}

// jobIsAfter reports whether the take-over is usable and the job was provably
// created after that time.
func (t *Tracker) jobIsAfter(o *takeOver, now clock.Now, created int64) bool {
	return o.majorityApplied && now.Mono >= o.usableAt && created > o.usableAtWall+t.clockBoundMillis()
}
