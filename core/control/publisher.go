package control

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/config"
)

// maxAppends is how often a publisher appends its record. The copies carry one
// ID, so at most one of them takes effect.
const maxAppends = 3

// Step is what the caller of a Publisher does next.
type Step string

// The steps of a Publisher.
const (
	// StepRead: read the stream from State().Next() and call Read.
	StepRead Step = "read"
	// StepAppend: append Record and call Appended or AppendFailed.
	StepAppend Step = "append"
	// StepDone: take the Result.
	StepDone Step = "done"
)

// Status is how a publication ended.
type Status string

// The ends of a publication.
const (
	// Accepted: the change is part of the configuration.
	Accepted Status = "accepted"
	// Rejected: the change has no effect and never will; the outcome says why.
	Rejected Status = "rejected"
	// Unchanged: the configuration already is as wanted.
	Unchanged Status = "unchanged"
	// Undecided: the change is not in the stream, but a copy may still arrive
	// there. It then takes effect unless one of its objects has changed.
	Undecided Status = "undecided"
)

// Result is the end of a publication. Outcome is set when the change was read
// from the stream.
type Result struct {
	Status  Status
	Outcome Outcome
}

// EditFunc returns the edits that a publication makes to the current
// configuration, or none when there is nothing to do.
type EditFunc func(*config.Config) []config.Edit

// Publisher carries one change to the stream: it reads to the end, appends, and
// reads the outcome. A lost reply is resolved by reading, and the record is
// appended again only after a later read to the end has not shown it. The
// caller does the input and output. It is not safe for concurrent use.
type Publisher struct {
	state    *State
	change   Change
	edit     EditFunc
	step     Step
	record   []byte
	appends  int
	awaiting bool
	result   Result
}

// NewPublisher returns a publisher of the change that edit makes. The id must
// be new and unique.
func NewPublisher(id, author string, edit EditFunc) *Publisher {
	return &Publisher{
		state:  NewState(),
		change: Change{ID: id, Author: author},
		edit:   edit,
		step:   StepRead,
	}
}

// State returns the state that the publisher has read.
func (p *Publisher) State() *State { return p.state }

// Step returns what the caller does next.
func (p *Publisher) Step() Step { return p.step }

// Record returns the record to append, for StepAppend.
func (p *Publisher) Record() []byte { return p.record }

// Result returns the end of the publication, for StepDone. Before, it is
// Undecided once the record may have been appended.
func (p *Publisher) Result() Result {
	if p.step != StepDone && p.appends > 0 {
		return Result{Status: Undecided}
	}
	return p.result
}

// Read takes the answer of a read: records are consecutive from offset from,
// and end was the end of the stream. A read that fails is tried again.
func (p *Publisher) Read(from int64, records [][]byte, end int64) {
	for i, r := range records {
		p.state.Apply(from+int64(i), r)
	}
	if p.step != StepRead {
		return
	}
	if p.appends > 0 && p.finish() {
		return
	}
	if !p.state.Synced() || p.state.Next() < end {
		return
	}
	switch {
	case p.appends == 0:
		p.prepare()
	case p.awaiting:
		// The append was acknowledged, so the record is yet to be read.
	case p.appends < maxAppends:
		p.step = StepAppend
	default:
		p.done(Result{Status: Undecided})
	}
}

// prepare makes the record from the configuration at the end of the stream.
func (p *Publisher) prepare() {
	p.change.From = p.state.Config().Revision()
	p.change.Edits = p.edit(p.state.Config())
	if len(p.change.Edits) == 0 {
		p.done(Result{Status: Unchanged})
		return
	}
	if _, err := p.state.Config().Fold(p.state.Next(), p.change.Edits); err != nil {
		p.done(Result{Status: Rejected, Outcome: Outcome{
			ID: p.change.ID, Author: p.change.Author, Offset: noOffset, Reason: ReasonInvalid, Detail: err.Error(),
		}})
		return
	}
	p.record = EncodeChange(p.change)
	p.step = StepAppend
}

// Appended says that the log service acknowledged the append.
func (p *Publisher) Appended() {
	p.appends++
	p.awaiting = true
	p.step = StepRead
}

// AppendFailed says that the append was not acknowledged. It may have taken
// effect, or take effect later.
func (p *Publisher) AppendFailed() {
	p.appends++
	p.step = StepRead
}

// finish ends the publication when the outcome has been read.
func (p *Publisher) finish() bool {
	o, ok := p.state.Outcome(p.change.ID)
	if !ok {
		return false
	}
	status := Rejected
	if o.Accepted {
		status = Accepted
	}
	p.done(Result{Status: status, Outcome: o})
	return true
}

func (p *Publisher) done(r Result) {
	p.step = StepDone
	p.result = r
}

// TakeOut returns the edit that takes failure domains out.
func TakeOut(out config.Out) EditFunc {
	return func(c *config.Config) []config.Edit {
		if _, ok := c.Object(out.Key()); ok {
			return nil
		}
		return []config.Edit{{Put: &config.Object{Out: &out}}}
	}
}

// BringIn returns the edit that undoes the TakeOut of the same out.
func BringIn(out config.Out) EditFunc {
	return func(c *config.Config) []config.Edit {
		key := out.Key()
		if _, ok := c.Object(key); !ok {
			return nil
		}
		return []config.Edit{{Delete: &key}}
	}
}
