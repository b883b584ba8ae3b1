package control

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/config"
)

// maxAppends is how often a publisher appends its record at most. All copies have
// the same ID, so at most one of them takes effect.
const maxAppends = 3

// Step is the next action that a Publisher needs from its caller.
type Step string

// The steps of a Publisher.
const (
	// StepRead: read the stream from State().Next() on and call RecordsRead.
	StepRead Step = "read"
	// StepAppend: append Record and call Appended or AppendFailed.
	StepAppend Step = "append"
	// StepDone: the publication is complete; call Result.
	StepDone Step = "done"
)

// Status is the status of a completed publication.
type Status string

// The statuses of a completed publication.
const (
	// Accepted: the change is part of the configuration.
	Accepted Status = "accepted"
	// Rejected: the change has no effect and never will; Result.Outcome holds the
	// reason.
	Rejected Status = "rejected"
	// Unchanged: there was nothing to edit, and nothing was appended.
	Unchanged Status = "unchanged"
	// Undecided: the change was not read from the stream, but a delayed append
	// may still add it. It then takes effect unless one of its objects has been
	// modified by then.
	Undecided Status = "undecided"
)

// Result is the result of a publication. Outcome is set when the change was read
// from the stream, or was rejected before it was appended.
type Result struct {
	Status  Status
	Outcome Outcome
}

// EditFunc returns the edits that a publication makes to the current
// configuration, or none when there is nothing to do.
type EditFunc func(*config.Config) []config.Edit

// Publisher appends one change to the control stream: it reads the stream to its
// end, appends the record, and reads on until it finds the outcome. When an
// append is not acknowledged, reading shows whether it took effect; the record is
// appended again only if a later read to the end did not contain it. The caller
// does all input and output. A Publisher is not safe for concurrent use.
type Publisher struct {
	state        *State
	change       Change
	edit         EditFunc
	step         Step
	record       []byte
	appends      int
	acknowledged bool
	result       Result
}

// NewPublisher returns a publisher of the change that edit makes. The ID must not
// be used for any other change.
func NewPublisher(id, author string, edit EditFunc) *Publisher {
	return &Publisher{
		state:  NewState(),
		change: Change{ID: id, Author: author},
		edit:   edit,
		step:   StepRead,
	}
}

// State returns the state that the publisher has folded from the records read so
// far.
func (p *Publisher) State() *State { return p.state }

// Step returns what the caller must do next.
func (p *Publisher) Step() Step { return p.step }

// Record returns the record to append, for StepAppend.
func (p *Publisher) Record() []byte { return p.record }

// Result returns the result of the publication for StepDone. In earlier steps,
// the status is Undecided once an append was tried, and empty before.
func (p *Publisher) Result() Result {
	if p.step != StepDone && p.appends > 0 {
		return Result{Status: Undecided}
	}
	return p.result
}

// RecordsRead applies the result of a successful read: consecutive records that
// begin at the offset from, and the end of the stream at the time of the read. The
// caller retries a failed read.
func (p *Publisher) RecordsRead(from int64, records [][]byte, end int64) {
	for i, r := range records {
		p.state.Apply(from+int64(i), r)
	}
	if p.step != StepRead {
		return
	}
	if p.appends > 0 && p.completeWithOutcome() {
		return
	}
	if !p.state.Synced() || p.state.Next() < end {
		return
	}
	switch {
	case p.appends == 0:
		p.prepareRecord()
	case p.acknowledged:
		// The record is in the stream, so a later read will contain it.
	case p.appends < maxAppends:
		p.step = StepAppend
	default:
		p.complete(Result{Status: Undecided})
	}
}

// prepareRecord encodes the edits to the configuration at the end of the stream.
// It completes the publication when there are none or when they are invalid.
func (p *Publisher) prepareRecord() {
	p.change.From = p.state.Config().Revision()
	p.change.Edits = p.edit(p.state.Config())
	if len(p.change.Edits) == 0 {
		p.complete(Result{Status: Unchanged})
		return
	}
	if _, err := p.state.Config().Fold(p.state.Next(), p.change.Edits); err != nil {
		p.complete(Result{Status: Rejected, Outcome: Outcome{
			ID: p.change.ID, Author: p.change.Author, Offset: noOffset, Reason: ReasonInvalid, Detail: err.Error(),
		}})
		return
	}
	p.record = EncodeChange(p.change)
	p.step = StepAppend
}

// Appended records that the log service acknowledged the append.
func (p *Publisher) Appended() {
	p.appends++
	p.acknowledged = true
	p.step = StepRead
}

// AppendFailed records that the append was not acknowledged. The append may
// have taken effect nevertheless, or may take effect later.
func (p *Publisher) AppendFailed() {
	p.appends++
	p.step = StepRead
}

// completeWithOutcome completes the publication if the outcome of the change has
// been read, and reports whether it has.
func (p *Publisher) completeWithOutcome() bool {
	o, ok := p.state.Outcome(p.change.ID)
	if !ok {
		return false
	}
	status := Rejected
	if o.Accepted {
		status = Accepted
	}
	p.complete(Result{Status: status, Outcome: o})
	return true
}

func (p *Publisher) complete(r Result) {
	p.step = StepDone
	p.result = r
}

// TakeOut returns the edit that takes out the failure domains of out. It makes no
// edit when the same object already exists.
func TakeOut(out config.TakeOut) EditFunc {
	return func(c *config.Config) []config.Edit {
		if _, ok := c.Object(out.Key()); ok {
			return nil
		}
		return []config.Edit{{Put: &config.Object{TakeOut: &out}}}
	}
}

// BringIn returns the edit that undoes a TakeOut with the same domain or
// selector. It makes no edit when there is nothing to undo.
func BringIn(out config.TakeOut) EditFunc {
	return func(c *config.Config) []config.Edit {
		key := out.Key()
		if _, ok := c.Object(key); !ok {
			return nil
		}
		return []config.Edit{{Delete: &key}}
	}
}
