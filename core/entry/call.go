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
	// firstResend is the delay after which a request without an answer is sent
	// again. When the transport reports a lost connection, the request is sent
	// again at once.
	firstResend = 2 * time.Second
	// maxResend bounds the delay, which doubles with each resend.
	maxResend = 8 * time.Second
	// answerGrace is how long after the job's deadline the entry waits for the
	// home's answer.
	answerGrace = 400 * time.Millisecond
	// fetchTimeout is the timeout of a request that states none.
	fetchTimeout = 2 * time.Second
	// maxRedirects bounds the number of redirects that one call follows.
	maxRedirects = 3
	// formerHomes is the number of agents that are asked for the answer of a
	// job whose ID its caller chose, because they may have been its home.
	formerHomes = 3
	// unknownAgentsRetry is the retry delay sent to a caller when no usable
	// agent is known.
	unknownAgentsRetry = time.Second
)

// callKind is the type of a caller's request.
type callKind uint8

const (
	callSubmit callKind = iota
	callFetch
	callCancel
)

// call is a caller's request that has not been answered.
type call struct {
	handle           uint64
	request          uint64
	kind             callKind
	job              *job.Job
	id               job.ID
	attempt          int
	wait             bool
	trace            string
	refuseKind       errkind.Kind
	refuseRetryAfter time.Duration
	home             node.Ref
	redirects        int
	// successors are the agents that are still to be asked for the answer of a
	// job whose home has ended or changed. Once askingSuccessors is true, the
	// job is never submitted again.
	successors       []node.Ref
	askingSuccessors bool
	// recordMissing is true once the home has reported that it holds no record.
	recordMissing  bool
	deadline       time.Duration
	resendInterval time.Duration
}

// submit processes a job that a caller submits.
func (c *Core) submit(e SubmitCall) {
	j := e.Job
	k := &call{
		handle: e.Call, kind: callSubmit, job: &j, id: j.ID, attempt: j.Attempt, wait: e.Wait,
		trace: e.Trace, deadline: c.now.Mono + j.Timeout + answerGrace,
	}
	ok, retryAfter := c.withinQuota(&j)
	if j.ID == "" {
		c.submitFresh(k, ok, retryAfter)
		return
	}
	if !ok {
		k.refuseKind = errkind.OverQuota
		k.refuseRetryAfter = retryAfter
	}
	c.route(k)
}

// submitFresh submits a job with a newly minted ID. No other process knows the
// ID, so the entry may refuse the job without asking a home.
func (c *Core) submitFresh(k *call, withinQuota bool, retryAfter time.Duration) {
	if !withinQuota {
		c.replyKind(k, errkind.OverQuota, "the team is over its quota", retryAfter)
		return
	}
	if c.isolated {
		c.replyKind(k, errkind.NotRun, "most agents do not answer this entry", unresponsiveRetry)
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
	a.tasksSinceLoad += len(k.job.Tasks)
	c.sendToHome(k, a.member.Ref)
}

func (c *Core) fetch(e FetchCall) {
	timeout := e.Timeout
	if timeout <= 0 {
		timeout = fetchTimeout
	}
	c.route(&call{
		handle: e.Call, kind: callFetch, id: e.ID, attempt: e.Attempt, wait: e.Wait,
		deadline: c.now.Mono + timeout,
	})
}

func (c *Core) cancel(e CancelCall) {
	c.route(&call{
		handle: e.Call, kind: callCancel, id: e.ID, attempt: e.Attempt, wait: true,
		deadline: c.now.Mono + fetchTimeout,
	})
}

// sendToHome registers the call and sends it to the home.
func (c *Core) sendToHome(k *call, home node.Ref) {
	k.home = home
	c.register(k)
	c.transmit(k)
}

// register gives the call a request number and sets its timers.
func (c *Core) register(k *call) {
	c.lastRequest++
	k.request = c.lastRequest
	k.resendInterval = firstResend
	c.calls[k.handle] = k
	c.requests[k.request] = k
	c.timers.Add(k.deadline, timer{kind: timerDeadline, request: k.request})
	c.timers.Add(c.now.Mono+k.resendInterval, timer{kind: timerResend, request: k.request})
}

// transmit sends the request for the first time to a home.
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
		Request: k.request, Job: j, SentAt: c.now.Wall, Refuse: k.refuseKind, RetryAfter: k.refuseRetryAfter, Trace: k.trace,
	}})
}

func (c *Core) sendFetch(k *call) {
	c.send(k.home, message.Message{Fetch: &message.Fetch{Request: k.request, ID: k.id, Attempt: k.attempt}})
}

// handleAnswer passes a final answer to the caller.
func (c *Core) handleAnswer(m *message.Answer) {
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
	c.reply(k, Reply{Call: k.handle, Answer: m.Answer})
}

// handlePending answers a call that does not wait for the job's completion once
// the home has the job.
func (c *Core) handlePending(m *message.Pending) {
	k, ok := c.requests[m.Request]
	if ok && !k.wait {
		c.replyPending(k)
	}
}

func (c *Core) replyPending(k *call) {
	c.reply(k, Reply{Call: k.handle, Pending: true, Answer: job.Answer{ID: k.id, Attempt: k.attempt}})
}

// handleNoRecord handles the report of an agent that it holds no record of the
// job.
func (c *Core) handleNoRecord(m *message.NoRecord) {
	k, ok := c.requests[m.Request]
	if !ok {
		return
	}
	if k.askingSuccessors {
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
	k.recordMissing = true
	c.homeLost(k)
}

// handleNotHome follows a redirect to another home.
func (c *Core) handleNotHome(m *message.NotHome) {
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

// peerDead processes the proof that a process has ended. For each call that
// waits for an answer of that process, it asks an agent that may hold the
// answer.
func (c *Core) peerDead(ref node.Ref) {
	c.dead[ref] = true
	if a, ok := c.agents[ref]; ok {
		a.dead = true
		delete(c.inspection.unanswered, ref)
	}
	for _, k := range c.callsOf(ref) {
		c.homeLost(k)
	}
}

// callsOf returns the calls that wait for an answer of ref, in the order of
// their requests.
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
	c.reply(k, Reply{Call: k.handle, Answer: job.Answer{
		ID: k.id, Attempt: k.attempt, Kind: kind, Detail: detail, RetryAfter: retryAfter,
	}})
}

func (c *Core) reply(k *call, r Reply) {
	delete(c.calls, k.handle)
	delete(c.requests, k.request)
	c.actions = append(c.actions, r)
}

func (c *Core) dropCall(id uint64) {
	if k, ok := c.calls[id]; ok {
		delete(c.calls, id)
		delete(c.requests, k.request)
	}
}
