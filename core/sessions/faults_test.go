package sessions

import (
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// kill ends a process without notice. The other processes of its group see their
// connections to it reset.
func (w *world) kill(p *process) {
	w.trace("%s is killed", p.ref.ID)
	p.alive = false
	p.held = nil
	refs := make([]node.Ref, 0, len(w.byRef))
	for ref, q := range w.byRef {
		if q.alive && q.group == p.group {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, func(a, b node.Ref) int { return int(a.Incarnation) - int(b.Incarnation) })
	for _, ref := range refs {
		q := w.byRef[ref]
		w.after(w.latency(), func() {
			w.deliver(q, func() { w.step(q, step.PeerReset{Ref: p.ref}) })
		})
	}
}

// restart kills a process and starts its next incarnation.
func (w *world) restart(p *process) *process {
	w.kill(p)
	if p.entry != nil {
		return w.addEntry(p.ref.ID)
	}
	return w.addAgent(p.ref.ID, p.domain, p.slots)
}

// pause stops a process, as SIGSTOP does. Its events wait until resume.
func (w *world) pause(p *process) {
	w.trace("%s is paused", p.ref.ID)
	p.paused = true
}

// resume continues a paused process with the events that arrived meanwhile.
func (w *world) resume(p *process) {
	w.trace("%s goes on", p.ref.ID)
	p.paused = false
	held := p.held
	p.held = nil
	for _, f := range held {
		w.deliver(p, f)
	}
}

// drain requests a planned stop of a process.
func (w *world) drain(p *process) {
	w.trace("%s is asked to leave", p.ref.ID)
	w.deliver(p, func() { w.step(p, step.Drain{}) })
}
