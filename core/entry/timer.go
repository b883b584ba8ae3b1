package entry

import (
	"fmt"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// timerKind is the type of a timer.
type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerResend
)

// timer is a scheduled check of one request.
type timer struct {
	kind    timerKind
	request uint64
}

// resendAll sends all requests that wait for ref again after the connection
// with it was lost.
func (c *Core) resendAll(ref node.Ref) {
	for _, k := range c.callsOf(ref) {
		c.resendRequest(k)
	}
}

// resendRequest sends the request again in its short form: a cancellation as it
// was, any other request as a fetch. If the home never received a submission,
// it answers the fetch with NoRecord, and the entry sends the submission again.
func (c *Core) resendRequest(k *call) {
	if k.kind == callCancel && !k.askingSuccessors {
		c.send(k.home, message.Message{Cancel: &message.Cancel{Request: k.request, ID: k.id, Attempt: k.attempt}})
		return
	}
	c.sendFetch(k)
}

// timerFired answers the request if its deadline has passed, or else sends it
// again.
func (c *Core) timerFired(t timer) {
	k, ok := c.requests[t.request]
	if !ok {
		return
	}
	if t.kind == timerDeadline {
		c.deadlinePassed(k)
		return
	}
	k.resendInterval = min(2*k.resendInterval, maxResend)
	c.timers.Add(c.now.Mono+k.resendInterval, timer{kind: timerResend, request: k.request})
	c.resendRequest(k)
}

// deadlinePassed answers a call for which the home has sent no answer in time.
func (c *Core) deadlinePassed(k *call) {
	if k.kind == callFetch {
		c.replyPending(k)
		return
	}
	c.replyKind(k, errkind.OutcomeUnknown, fmt.Sprintf("the home %s did not answer in time", k.home), 0)
}
