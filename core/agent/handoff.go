package agent

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// maxHandoffBytes bounds the results and the states of tasks held on behalf of homes that have left.
const maxHandoffBytes = 8 << 20

// handedOver holds the final answers of homes that have left.
type handedOver struct {
	answers map[job.ID]job.Answer
	parts   []handoffPart
	bytes   int
}

// handoffPart is one part that this agent accepted. It is kept until its
// answers expire.
type handoffPart struct {
	home    node.Ref
	part    int
	ids     []job.ID
	bytes   int
	expires time.Duration
}

// acceptHandoff stores and acknowledges the answers of a leaving home, if they
// fit in maxHandoffBytes.
func (c *Core) acceptHandoff(from node.Ref, m *message.Handoff) {
	h := &c.handedOver
	h.expire(c.now.Mono)
	part := handoffPart{home: m.Home, part: m.Part, expires: c.now.Mono + c.cfg.Retention}
	for i := range m.Answers {
		a := &m.Answers[i]
		for _, b := range a.Results {
			part.bytes += len(b)
		}
		var size int
		a.States, size = job.ShareStates(a.States)
		part.bytes += size
		part.ids = append(part.ids, a.ID)
	}
	if !h.has(part) {
		if h.bytes+part.bytes > maxHandoffBytes {
			return
		}
		h.add(part, m.Answers)
	}
	c.send(from, message.Message{HandoffAck: &message.HandoffAck{Home: m.Home, Part: m.Part}})
}

func (h *handedOver) has(p handoffPart) bool {
	for _, q := range h.parts {
		if q.home == p.home && q.part == p.part {
			return true
		}
	}
	return false
}

func (h *handedOver) add(p handoffPart, answers []job.Answer) {
	if h.answers == nil {
		h.answers = make(map[job.ID]job.Answer)
	}
	for _, a := range answers {
		h.answers[a.ID] = a
	}
	h.parts = append(h.parts, p)
	h.bytes += p.bytes
}

func (h *handedOver) expire(now time.Duration) {
	for len(h.parts) > 0 && h.parts[0].expires <= now {
		for _, id := range h.parts[0].ids {
			delete(h.answers, id)
		}
		h.bytes -= h.parts[0].bytes
		h.parts = h.parts[1:]
	}
}

// answerHandedOver answers a request about a job whose home has left and has
// handed over the answer. It reports whether m was such a request.
func (c *Core) answerHandedOver(from node.Ref, m *message.Message) bool {
	var request uint64
	var id job.ID
	switch {
	case len(c.handedOver.answers) == 0:
		return false
	case m.Submit != nil:
		request, id = m.Submit.Request, m.Submit.Job.ID
	case m.Fetch != nil:
		request, id = m.Fetch.Request, m.Fetch.ID
	case m.Cancel != nil:
		request, id = m.Cancel.Request, m.Cancel.ID
	default:
		return false
	}
	a, ok := c.handedOver.answers[id]
	if !ok {
		return false
	}
	c.send(from, message.Message{Answer: &message.Answer{Request: request, Answer: a}})
	return true
}
