package agentd

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
)

// execute performs one action of the core.
func (d *Daemon) execute(action step.Action) {
	switch a := action.(type) {
	case step.Send:
		d.send(a)
	case agent.StartTask:
		d.startTask(a)
	case step.SetTimer:
		d.loop.SetTimer(a.At)
	case step.AppendControl:
		d.stream.Append(a.Record)
	case step.SetPeers:
		d.transport.SetPeers(process.Peers(a.Peers))
	case step.Drained:
		d.drained.Set()
	}
}

// send passes a message to the transport and updates the metrics and spans.
func (d *Daemon) send(a step.Send) {
	if a.Message.Refused != nil {
		d.metrics.TaskRefusals(string(a.Message.Refused.Reason)).Inc()
	}
	d.spans.endAnswered(a)
	d.messagesSent.Add(1)
	d.transport.Send(a.To, a.Message)
}

// annotate adds the offset and the load of the core to an envelope, as of the last
// publishCoreState.
func (d *Daemon) annotate(env *message.Envelope) {
	s := d.lastState.Load()
	if s == nil {
		return
	}
	env.Offset = s.offset
	load := s.load
	env.Load = &load
}

// coreState is the part of the core's state that other goroutines read, as it was after
// a batch of events. Every envelope carries offset and load.
type coreState struct {
	offset int64
	synced bool
	load   message.Load
}

// publishCoreState stores the state of the core for the other goroutines, among them
// those of the transport.
func (d *Daemon) publishCoreState() {
	now := coreState{offset: d.core.Offset(), synced: d.core.Synced(), load: d.core.Load()}
	if last := d.lastState.Load(); last == nil || *last != now {
		d.lastState.Store(&now)
	}
}

// offset returns the core's offset as of the last publishCoreState.
func (d *Daemon) offset() int64 {
	if s := d.lastState.Load(); s != nil {
		return s.offset
	}
	return 0
}

// synced reports whether the core holds every record before its offset. It is true
// before the first event because no record precedes offset 0.
func (d *Daemon) synced() bool {
	s := d.lastState.Load()
	return s == nil || s.synced
}
