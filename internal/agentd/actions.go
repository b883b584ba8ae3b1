package agentd

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
)

// do carries out one action of the core.
func (d *Daemon) do(action step.Action) {
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

func (d *Daemon) send(a step.Send) {
	if a.Message.Refused != nil {
		d.metrics.TaskRefusals(string(a.Message.Refused.Reason)).Inc()
	}
	d.spans.sent(a)
	d.sent.Add(1)
	d.transport.Send(a.To, a.Message)
}

// annotate adds to an envelope what the core last said of itself.
func (d *Daemon) annotate(env *message.Envelope) {
	s := d.said.Load()
	if s == nil {
		return
	}
	env.Offset = s.offset
	load := s.load
	env.Load = &load
}

// said is what every envelope carries of the sender.
type said struct {
	offset int64
	synced bool
	load   message.Load
}

// publish makes the core's offset and load known to the transport.
func (d *Daemon) publish() {
	now := said{offset: d.core.Offset(), synced: d.core.Synced(), load: d.core.Load()}
	if last := d.said.Load(); last == nil || *last != now {
		d.said.Store(&now)
	}
}

func (d *Daemon) offset() int64 {
	if s := d.said.Load(); s != nil {
		return s.offset
	}
	return 0
}

// synced is true before the first event: a stream from its start misses nothing.
func (d *Daemon) synced() bool {
	s := d.said.Load()
	return s == nil || s.synced
}
