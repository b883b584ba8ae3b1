package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// firstResend is the delay after which a request without word is repeated.
	// A lost connection is reported by the transport and repeats at once.
	firstResend = 2 * time.Second
	maxResend   = 8 * time.Second
	// answerGrace is how long after the deadline a home's answer is awaited.
	answerGrace = 400 * time.Millisecond
	// fetchTimeout bounds a request that names no timeout.
	fetchTimeout = 2 * time.Second
	// maxRedirects bounds the homes that one call is sent to.
	maxRedirects = 3
	// formerHomes is the number of processes that may have been the home of an
	// ID of the caller's own and are asked for its answer.
	formerHomes = 3
	// unknownAgentsRetry is the pause told to a caller when no agent is known.
	unknownAgentsRetry = time.Second
)

// callKind is what a caller asked for.
type callKind uint8

const (
	callSubmit callKind = iota
	callFetch
	callCancel
)

// call is one request of a caller that has not been answered.
type call struct {
	call      uint64
	request   uint64
	kind      callKind
	job       *job.Job
	id        job.ID
	attempt   int
	wait      bool
	trace     string
	refuse    errkind.Kind
	retry     time.Duration
	home      node.Ref
	redirects int
	// successors are the processes still to ask for the answer of a job whose home
	// has ended or changed. Once they are asked the job is never submitted.
	successors []node.Ref
	asking     bool
	// found is true once the home has said that it holds no record.
	found    bool
	deadline time.Duration
	resend   time.Duration
}

// submit takes a job from a caller.
func (c *Core) submit(e SubmitCall) {
	j := e.Job
	k := &call{
		call: e.Call, kind: callSubmit, job: &j, id: j.ID, attempt: j.Attempt, wait: e.Wait,
		trace: e.Trace, deadline: c.now.Mono + j.Timeout + answerGrace,
	}
	ok, retryAfter := c.withinQuota(&j)
	if j.ID == "" {
		c.submitFresh(k, ok, retryAfter)
		return
	}
	if !ok {
		k.refuse = errkind.OverQuota
		k.retry = retryAfter
	}
	c.route(k)
}

// submitFresh gives the job an ID that nobody else knows, so that a refusal
// needs no word from a home.
func (c *Core) submitFresh(k *call, withinQuota bool, retryAfter time.Duration) {
	if !withinQuota {
		c.replyKind(k, errkind.OverQuota, "the team is over its quota", retryAfter)
		return
	}
	if c.cutOff {
		c.replyKind(k, errkind.NotRun, "most agents do not answer this entry", silentRetry)
		return
	}
	a := c.chooseHome(k.job)
	if a == nil {
		c.replyKind(k, errkind.NotRun, "no agent is known that takes work", unknownAgentsRetry)
		return
	}
	k.id = c.mintFor(a.member.Ref)
	k.job.ID = k.id
	k.job.Created = c.now.Wall
	a.sent += len(k.job.Tasks)
	c.begin(k, a.member.Ref)
}

func (c *Core) fetch(e FetchCall) {
	timeout := e.Timeout
	if timeout <= 0 {
		timeout = fetchTimeout
	}
	c.route(&call{
		call: e.Call, kind: callFetch, id: e.ID, attempt: e.Attempt, wait: e.Wait,
		deadline: c.now.Mono + timeout,
	})
}

func (c *Core) cancel(e CancelCall) {
	c.route(&call{
		call: e.Call, kind: callCancel, id: e.ID, attempt: e.Attempt, wait: true,
		deadline: c.now.Mono + fetchTimeout,
	})
}

// begin registers the call and sends it to the home.
func (c *Core) begin(k *call, home node.Ref) {
	k.home = home
	c.register(k)
	c.transmit(k)
}

// register gives the call a request number.
func (c *Core) register(k *call) {
	c.lastReq++
	k.request = c.lastReq
	k.resend = firstResend
	c.calls[k.call] = k
	c.requests[k.request] = k
	c.timers.Add(k.deadline, timer{kind: timerDeadline, request: k.request})
	c.timers.Add(c.now.Mono+k.resend, timer{kind: timerResend, request: k.request})
}

// transmit sends the request for the first time.
func (c *Core) transmit(k *call) {
	switch k.kind {
	case callSubmit:
		c.sendSubmit(k)
		if !k.wait {
			c.sendFetch(k)
		}
	case callFetch:
		c.sendFetch(k)
	case callCancel:
		c.send(k.home, message.Message{Cancel: &message.Cancel{Request: k.request, ID: k.id, Attempt: k.attempt}})
	}
}

func (c *Core) sendSubmit(k *call) {
	j := *k.job
	j.Timeout = k.deadline - answerGrace - c.now.Mono
	c.send(k.home, message.Message{Submit: &message.Submit{
		Request: k.request, Job: j, SentAt: c.now.Wall, Refuse: k.refuse, RetryAfter: k.retry, Trace: k.trace,
	}})
}

func (c *Core) sendFetch(k *call) {
	c.send(k.home, message.Message{Fetch: &message.Fetch{Request: k.request, ID: k.id, Attempt: k.attempt}})
}

// answer passes a final answer to its caller.
func (c *Core) answer(m *message.Answer) {
	k, ok := c.requests[m.Request]
	if !ok {
		return
	}
	match := m.Answer.ID == k.id
	c.invariants.Check(match, invariant.MisdeliveredAnswer,
		"request %d for job %s got the answer of job %s", m.Request, k.id, m.Answer.ID)
	if !match {
		return
	}
	c.reply(k, Reply{Call: k.call, Answer: m.Answer})
}

// pending notes that the home has the job.
func (c *Core) pending(m *message.Pending) {
	k, ok := c.requests[m.Request]
	if ok && !k.wait {
		c.replyPending(k)
	}
}

func (c *Core) replyPending(k *call) {
	c.reply(k, Reply{Call: k.call, Pending: true, Answer: job.Answer{ID: k.id, Attempt: k.attempt}})
}

// noRecord handles word that the home does not hold the job.
func (c *Core) noRecord(m *message.NoRecord) {
	k, ok := c.requests[m.Request]
	if !ok {
		return
	}
	if k.asking {
		c.askSuccessor(k)
		return
	}
	if k.kind == callSubmit {
		c.sendSubmit(k)
		if !k.wait {
			c.sendFetch(k)
		}
		return
	}
	if _, minted := k.id.Minted(); minted {
		c.replyKind(k, errkind.NotFound, "no record of the job is held", 0)
		return
	}
	k.found = true
	c.homeLost(k)
}

// notHome follows a redirect.
func (c *Core) notHome(m *message.NotHome) {
	k, ok := c.requests[m.Request]
	if !ok {
		return
	}
	k.redirects++
	if m.Home.IsZero() || m.Home == k.home || c.dead[m.Home] || k.redirects > maxRedirects {
		c.homeLost(k)
		return
	}
	k.home = m.Home
	c.transmit(k)
}

// peerDead answers every call that waits for the ended home.
func (c *Core) peerDead(ref node.Ref) {
	c.dead[ref] = true
	if a, ok := c.agents[ref]; ok {
		a.dead = true
		delete(c.inspection.waiting, ref)
	}
	for _, k := range c.callsOf(ref) {
		c.homeLost(k)
	}
}

// callsOf returns the calls that wait for ref, in the order of their requests.
func (c *Core) callsOf(ref node.Ref) []*call {
	var list []*call
	for _, k := range c.requests {
		if k.home == ref {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Compare(a.request, b.request) })
	return list
}

func (c *Core) replyKind(k *call, kind errkind.Kind, detail string, retryAfter time.Duration) {
	c.reply(k, Reply{Call: k.call, Answer: job.Answer{
		ID: k.id, Attempt: k.attempt, Kind: kind, Detail: detail, RetryAfter: retryAfter,
	}})
}

func (c *Core) reply(k *call, r Reply) {
	delete(c.calls, k.call)
	delete(c.requests, k.request)
	c.actions = append(c.actions, r)
}

func (c *Core) forget(id uint64) {
	if k, ok := c.calls[id]; ok {
		delete(c.calls, id)
		delete(c.requests, k.request)
	}
}
