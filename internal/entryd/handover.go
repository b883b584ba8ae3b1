package entryd

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/handover"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
)

// PublishedPath is the path at which operators hand over control records that the log
// has accepted. It is part of the HTTP interface for operators, which has an address
// that callers cannot reach.
const PublishedPath = "/v1/published"

// maxPublishedBytes bounds the body of a handover.
const maxPublishedBytes = 4 << 20

// Published is the body of a handover: consecutive records that were read from the
// control stream, starting at offset From.
type Published struct {
	From    int64    `json:"from"`
	Records [][]byte `json:"records"`
}

// Publish passes records of the control stream on to the agents, so that they come
// into force even if the log fails before any process has read them.
func (d *Daemon) Publish(p Published) {
	d.loop.PostWait(entry.Published{From: p.From, Records: p.Records})
}

// handleHandover handles POST on PublishedPath.
func (d *Daemon) handleHandover(c echo.Context) error {
	var p Published
	err := httpserver.ReadBody(c, maxPublishedBytes, func(body []byte) error {
		if err := d.authorizeHandover(body, c.Request().Header.Get(handover.SignatureHeader)); err != nil {
			d.metrics.HandoversRefused().Inc()
			d.logs.Info("refused a handover of records", "from", c.RealIP(), "reason", err)
			return err
		}
		return httpserver.Decode(c, body, func(body []byte) error { return httpserver.DecodeJSON(body, &p) })
	})
	if err != nil {
		return err
	}
	if p.From < 0 || len(p.Records) == 0 {
		return httpserver.BadRequest("from is %d with %d records; at least one record is expected", p.From, len(p.Records))
	}
	d.Publish(p)
	return c.NoContent(http.StatusNoContent)
}

// authorizeHandover checks that a handover was signed with the key in the entry's key
// file. It reads the file each time, so that the key can be replaced without a restart
// of the entry.
func (d *Daemon) authorizeHandover(body []byte, signature string) error {
	path := string(d.cfg.Settings.Access.KeyFile)
	if path == "" {
		return &httpserver.Error{Kind: errkind.Forbidden, Detail: "this entry takes no handovers: its settings name no key_file"}
	}
	key, err := handover.ReadKey(path)
	if err != nil {
		return &httpserver.Error{Kind: errkind.Forbidden, Detail: "this entry takes no handovers: its key can't be read"}
	}
	if !key.Verify(d.cfg.Settings.Log.Stream, body, signature) {
		return &httpserver.Error{Kind: errkind.Forbidden, Detail: "the signature does not match the records"}
	}
	return nil
}

// ReadOffset states how far one incarnation of a process has read the control stream.
type ReadOffset struct {
	Ref node.Ref `json:"ref"`
	// Next is the offset of the next record to read.
	Next int64 `json:"next"`
}

// readOffsets holds the highest offset that each incarnation of a process has
// reported in its envelopes.
type readOffsets map[node.Ref]int64

// record stores the offset that an incarnation has reported, if it is higher than
// before.
func (r readOffsets) record(ref node.Ref, next int64) { r[ref] = max(r[ref], next) }

// retain removes the incarnations that are not among the known peers.
func (r readOffsets) retain(peers []entry.Peer) {
	known := make(map[node.Ref]bool, len(peers))
	for _, p := range peers {
		known[p.Ref] = true
	}
	for ref := range r {
		if !known[ref] {
			delete(r, ref)
		}
	}
}

// list returns the offsets ordered by ID and incarnation.
func (r readOffsets) list() []ReadOffset {
	list := make([]ReadOffset, 0, len(r))
	for ref, next := range r {
		list = append(list, ReadOffset{Ref: ref, Next: next})
	}
	slices.SortFunc(list, func(a, b ReadOffset) int {
		return cmp.Or(cmp.Compare(a.Ref.ID, b.Ref.ID), cmp.Compare(a.Ref.Incarnation, b.Ref.Incarnation))
	})
	return list
}
