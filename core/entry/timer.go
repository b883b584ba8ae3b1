package entry

import (
	"fmt"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// timerKind says what is due.
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

// repeat asks the home again after the connection with it was lost.
func (c *Core) repeat(ref node.Ref) {
	for _, k := range c.callsOf(ref) {
		c.ask(k)
	}
}

// ask repeats the request in its short form.
func (c *Core) ask(k *call) {
	if k.kind == callCancel && !k.asking {
		c.send(k.home, message.Message{Cancel: &message.Cancel{Request: k.request, ID: k.id, Attempt: k.attempt}})
		return
	}
	c.sendFetch(k)
}

func (c *Core) fire(t timer) {
	k, ok := c.requests[t.request]
	if !ok {
		return
	}
	if t.kind == timerDeadline {
		c.expire(k)
		return
	}
	k.resend = min(2*k.resend, maxResend)
	c.timers.Add(c.now.Mono+k.resend, timer{kind: timerResend, request: k.request})
	c.ask(k)
}

// expire answers a call without word from the home.
func (c *Core) expire(k *call) {
	if k.kind == callFetch {
		c.replyPending(k)
		return
	}
	c.replyKind(k, errkind.OutcomeUnknown, fmt.Sprintf("the home %s did not answer in time", k.home), 0)
}
