package entryd

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
)

// execute performs one action of the core.
func (d *Daemon) execute(action step.Action) {
	switch a := action.(type) {
	case step.Send:
		d.transport.Send(a.To, a.Message)
	case entry.Reply:
		d.calls.Answer(a.Call, result{reply: a})
	case entry.MintReply:
		d.calls.Answer(a.Call, result{mint: a})
	case entry.Inspected:
		d.calls.Answer(a.Call, result{})
	case step.SetTimer:
		d.loop.SetTimer(a.At)
	case step.SetPeers:
		d.setPeers(a.Peers)
	case step.AppendControl:
		d.stream.Append(a.Record)
	case step.Drained:
		d.drained.Set()
	}
}

// setPeers passes the known peers to the transport and drops the read offsets of all
// other processes.
func (d *Daemon) setPeers(peers []step.Peer) {
	d.readOffsets.retain(peers)
	d.transport.SetPeers(process.Peers(peers))
}
