// Package ownership decides whether this process may create the record of a
// job. A job whose ID was minted belongs to the run that the ID names. Any
// other job is placed by hashing, and its home changes with the membership: the
// new home may create only jobs that are provably younger than its take-over.
// docs/design/freshness.md has the proof.
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
	// ClockBound bounds the difference of any two wall clocks, the drift of
	// each over one lease included.
	ClockBound time.Duration
	// Window is the admission window: a job older than this is never created.
	// Final records must be retained for longer than Window and ClockBound.
	Window time.Duration
}

// Kind is the kind of a Verdict.
type Kind string

// The kinds of verdicts.
const (
	// Own: this process may create the job, if its freshness lease is valid.
	Own Kind = "own"
	// Elsewhere: another process is the home.
	Elsewhere Kind = "elsewhere"
	// TooEarly: this process is the home, but a former home may have started
	// the job.
	TooEarly Kind = "too_early"
	// TooOld: the job is older than the admission window.
	TooOld Kind = "too_old"
	// FromFuture: the creation time is later than any clock can show.
	FromFuture Kind = "from_future"
)

// Verdict is the answer of Admit.
type Verdict struct {
	Kind Kind
	// Home is the home of the job when one is known.
	Home node.Ref
}

// Tracker follows the membership to tell when this process took over each
// range of IDs. It is not safe for concurrent use.
type Tracker struct {
	config Config
	state  *control.State
	// homes places IDs on the agents in force when a job was created, as known
	// at seen.
	homes *rendezvous.Timeline
	// seen is the offset up to which the membership has been followed.
	seen int64
	// joined is true while this run is an agent.
	joined bool
	// whole is the take-over of every range: by this run's join, or after a
	// part of the stream was missed.
	whole *takeOver
	// removed holds the last take-over from each node that left.
	removed map[node.ID]*takeOver
	// reached is the highest next offset that each agent has stated.
	reached map[node.Ref]int64

	confirm confirmation
}

// takeOver is the moment at which the rights of others ended by the record at
// offset.
type takeOver struct {
	offset int64
	// majority is true once a majority has read the record; usable and
	// usableWall are set then.
	majority   bool
	usable     time.Duration
	usableWall int64
}

// NewTracker returns a tracker for a process that is not yet a member.
func NewTracker(c Config) *Tracker {
	return &Tracker{
		config:  c,
		removed: make(map[node.ID]*takeOver),
		reached: make(map[node.Ref]int64),
	}
}

// Observe reads the state after it has changed: after each Apply or batch of
// Apply calls and after ResetTo. The tracker keeps s and reads it in its other
// methods; s must be the same state on each call.
func (t *Tracker) Observe(now clock.Now, s *control.State) {
	t.state = s
	if !s.Synced() || s.Next() == t.seen {
		return
	}
	t.followSelf(s)
	t.followRemovals(s)
	t.seen = s.Next()
	t.homes = rendezvous.NewTimeline(s)
	t.forgetFormer(s)
	t.reached[t.config.Self] = s.Next()
	t.settle(now)
	t.prune(now)
}

func (t *Tracker) followSelf(s *control.State) {
	self, ok := s.Member(t.config.Self)
	ok = ok && self.Role == control.RoleAgent
	if ok && !t.joined {
		t.whole = &takeOver{offset: self.JoinOffset}
	}
	t.joined = ok
}

// followRemovals notes the agents that were removed since the last call. When
// some of them are no longer remembered, it starts anew.
func (t *Tracker) followRemovals(s *control.State) {
	ended, complete := s.RemovedSince(t.seen)
	if !complete && t.joined {
		t.whole = &takeOver{offset: s.Next() - 1}
	}
	for _, e := range ended {
		if e.Role == control.RoleAgent {
			t.removed[e.Ref.ID] = &takeOver{offset: e.Offset}
		}
	}
}

// forgetFormer drops the statements of runs that are no agents any more.
func (t *Tracker) forgetFormer(s *control.State) {
	for ref := range t.reached {
		if _, ok := s.Member(ref); !ok {
			delete(t.reached, ref)
		}
	}
}

// Heard records that the run from has applied every record before next, as
// each envelope states.
func (t *Tracker) Heard(now clock.Now, from node.Ref, next int64) {
	before := t.reached[from]
	if next <= before {
		return
	}
	t.reached[from] = next
	if t.waitsFor(before, next) {
		t.settle(now)
	}
}

// waitsFor reports whether a take-over waits for word that a record at an
// offset from before to next, next excluded, has been read.
func (t *Tracker) waitsFor(before, next int64) bool {
	if t.whole != nil && t.whole.waitsFor(before, next) {
		return true
	}
	for _, o := range t.removed {
		if o.waitsFor(before, next) {
			return true
		}
	}
	return false
}

func (o *takeOver) waitsFor(before, next int64) bool {
	return !o.majority && before <= o.offset && o.offset < next
}

// settle checks for each take-over whether a majority has read its record.
func (t *Tracker) settle(now clock.Now) {
	if t.whole != nil {
		t.settleOne(now, t.whole)
	}
	for _, o := range t.removed {
		t.settleOne(now, o)
	}
}

func (t *Tracker) settleOne(now clock.Now, o *takeOver) {
	if o.majority || !t.majorityRead(o.offset) {
		return
	}
	usable := now.After(t.config.Lease)
	o.majority = true
	o.usable = usable.Mono
	o.usableWall = usable.Wall
}

// majorityRead reports whether a majority of every set of agents that can still
// be counted is known to have applied the record at offset.
func (t *Tracker) majorityRead(offset int64) bool {
	if t.state == nil {
		return false
	}
	if t.state.ConfirmedOffset() > offset {
		return true
	}
	return t.state.MajorityApplied(offset, func(ref node.Ref) bool {
		return t.reached[ref] > offset
	})
}

// prune drops the take-overs that no job inside the admission window precedes.
func (t *Tracker) prune(now clock.Now) {
	oldest := now.Wall - t.config.Window.Milliseconds()
	for id, o := range t.removed {
		if o.majority && o.usableWall+t.bound() < oldest {
			delete(t.removed, id)
		}
	}
}

func (t *Tracker) bound() int64 { return t.config.ClockBound.Milliseconds() }

// Admit decides on the job id. Created is its creation time in milliseconds
// since the Unix epoch; a creation time that the ID itself carries goes first.
// The caller must hold a valid freshness lease when it acts on Own.
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
	case created > now.Wall+t.bound():
		return FromFuture
	case created < now.Wall-t.config.Window.Milliseconds():
		return TooOld
	default:
		return Own
	}
}

// mayCreate reports whether the job is provably younger than every take-over
// that concerns its ID.
func (t *Tracker) mayCreate(now clock.Now, id job.ID, created int64) bool {
	if !t.state.Synced() || t.seen != t.state.Next() || t.whole == nil {
		return false
	}
	if !t.after(t.whole, now, created) {
		return false
	}
	for former, o := range t.removed {
		if !t.after(o, now, created) && rendezvous.RanksAbove(string(id), former, t.config.Self.ID) {
			return false
		}
	}
	return true
}

// after reports whether the take-over is usable and the job is younger.
func (t *Tracker) after(o *takeOver, now clock.Now, created int64) bool {
	return o.majority && now.Mono >= o.usable && created > o.usableWall+t.bound()
}
