package agentd

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// handler passes what the transport receives to the core.
type handler struct{ d *Daemon }

// Deliver implements transport.Handler.
func (h handler) Deliver(env message.Envelope) {
	h.d.loop.Post(agent.Received{Envelope: env})
}

// PeerReset implements transport.Handler.
func (h handler) PeerReset(ref node.Ref) {
	h.d.loop.Post(agent.PeerReset{Ref: ref})
}

// PeerDead implements transport.Handler.
func (h handler) PeerDead(ref node.Ref) {
	h.d.loop.Post(agent.PeerDead{Ref: ref})
}

// do carries out one action of the core.
func (d *Daemon) do(action agent.Action) {
	switch a := action.(type) {
	case agent.Send:
		d.send(a)
	case agent.StartTask:
		d.startTask(a)
	case agent.SetTimer:
		d.loop.SetTimer(a.At)
	case agent.AppendControl:
		d.appender.Append(a.Record)
	case agent.SetPeers:
		d.setPeers(a.Peers)
	case agent.Drained:
		d.drained.Give()
	}
}

func (d *Daemon) send(a agent.Send) {
	if a.Message.Refused != nil {
		d.metrics.TaskRefusals(string(a.Message.Refused.Reason)).Inc()
	}
	d.spans.sent(a)
	d.sent.Add(1)
	d.transport.Send(a.To, a.Message)
}

func (d *Daemon) setPeers(peers []agent.Peer) {
	list := make([]transport.Peer, len(peers))
	for i, p := range peers {
		list[i] = transport.Peer(p)
	}
	d.transport.SetPeers(list)
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
	load   message.Load
}

// publish makes the core's offset and load known to the transport.
func (d *Daemon) publish() {
	now := said{offset: d.core.Offset(), load: d.core.Load()}
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
