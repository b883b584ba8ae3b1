package entryd

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// handler passes what the transport receives to the core.
type handler struct{ d *Daemon }

// Deliver implements transport.Handler.
func (h handler) Deliver(env message.Envelope) {
	h.d.loop.Post(entry.Received{Envelope: env})
}

// PeerReset implements transport.Handler.
func (h handler) PeerReset(ref node.Ref) {
	h.d.loop.Post(entry.PeerReset{Ref: ref})
}

// PeerDead implements transport.Handler.
func (h handler) PeerDead(ref node.Ref) {
	h.d.loop.Post(entry.PeerDead{Ref: ref})
}

// do carries out one action of the core.
func (d *Daemon) do(action entry.Action) {
	switch a := action.(type) {
	case entry.Send:
		d.transport.Send(a.To, a.Message)
	case entry.Reply:
		d.calls.answer(a.Call, result{reply: a})
	case entry.MintReply:
		d.calls.answer(a.Call, result{mint: a})
	case entry.Inspected:
		d.calls.answer(a.Call, result{})
	case entry.SetTimer:
		d.loop.SetTimer(a.At)
	case entry.SetPeers:
		d.setPeers(a.Peers)
	case entry.AppendControl:
		d.appender.Append(a.Record)
	case entry.Drained:
		d.drained.Give()
	}
}

func (d *Daemon) setPeers(peers []entry.Peer) {
	d.reached.keep(peers)
	list := make([]transport.Peer, len(peers))
	for i, p := range peers {
		list[i] = transport.Peer(p)
	}
	d.transport.SetPeers(list)
}
