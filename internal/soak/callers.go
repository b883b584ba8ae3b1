package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

// The outcomes of a submission, as the caller sees them.
const (
	answerCompleted = "completed"
	answerFailed    = "failed"
	// answerRefused means that no task has run: status 503 or 429.
	answerRefused = "refused"
	// answerInterrupted stands for every status without an outcome of its own.
	answerInterrupted = "interrupted"
	// answerBroken means that no complete answer arrived.
	answerBroken  = "broken"
	answerNoRoute = "no_route"
)

const (
	// callerWait is the time that a submission gives the dispatcher for its answer.
	callerWait = 1500 * time.Millisecond
	// resubmitAfter is the delay before a job is sent again.
	resubmitAfter = 1300 * time.Millisecond
	// maxSubmissions bounds how many times a job is sent.
	maxSubmissions = 3
	// maxThinkTime is the longest time between two jobs of a caller. It is short enough
	// that the caller uses its connection, and learns there of a planned stop, before the
	// dispatcher closes the connection as idle.
	maxThinkTime = 250 * time.Millisecond
	// longTaskShare is the share of jobs with long tasks. A long task is still running when
	// a lease that ends too late lets the same task start a second time.
	longTaskShare = 0.2
	// failingJobShare is the share of jobs with one task that always fails.
	failingJobShare = 0.02
)

// caller sends one job at a time, over at most one connection to each dispatcher. If a
// submission ends without a result, the caller sends the job to the next dispatcher.
type caller struct {
	soak *Soak
	rnd  *rand.Rand
	http *http.Client
	// nextDispatcher is the index of the dispatcher that gets the next submission.
	nextDispatcher int
}

func newCaller(s *Soak, i int) *caller {
	return &caller{
		soak: s, rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(i+1))), nextDispatcher: i % len(s.dispatchers),
		http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DialContext: dialer.DialContext}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sendJob(ctx)
		lifecycle.Wait(rand.N(maxThinkTime), ctx.Done())
	}
}

// sendJob sends one job until it has completed or failed, at most maxSubmissions times.
func (c *caller) sendJob(ctx context.Context) {
	id := fmt.Sprintf("%016x", c.rnd.Uint64())
	tasks := 1 + c.rnd.IntN(4)
	task := platform.StandinTask{Duration: time.Duration(20+c.rnd.IntN(180)) * time.Millisecond}
	switch p := c.rnd.Float64(); {
	case p < longTaskShare:
		task.Duration += time.Duration(c.rnd.IntN(900)) * time.Millisecond
	case p < longTaskShare+failingJobShare:
		// The task stays short, so that all its attempts fit into the caller's wait.
		task.FailingIndexes = []int{0}
	}
	task.Crashes = c.rnd.Float64() < c.soak.crashingShareNow()
	for range maxSubmissions {
		c.soak.checks.recordSubmission(id, tasks, task)
		sent := time.Now()
		answer := c.send(id, tasks, task)
		c.soak.checks.checkAnswer(id, answer)
		c.soak.recordAnswer(sent, answer)
		if answer == answerCompleted || answer == answerFailed {
			return
		}
		c.nextDispatcher = (c.nextDispatcher + 1) % len(c.soak.dispatchers)
		if !lifecycle.Wait(resubmitAfter, ctx.Done()) {
			return
		}
	}
}

// send makes one submission and returns its outcome.
func (c *caller) send(id string, tasks int, task platform.StandinTask) string {
	d := c.soak.dispatchers[c.nextDispatcher]
	need := message.Resources{MilliCPU: taskCPU, MemoryMB: taskMemory}
	r, err := platform.StandinSubmission(d.callersAddr, routeHost, routePrefix, id, tasks, need, task, callerWait)
	if err != nil {
		panic("cannot build a submission: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerWait+resubmitAfter)
	defer cancel()
	incarnation, _, _ := d.state()
	sent := time.Now()
	resp, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		c.checkCutOff(d, incarnation, sent, err)
		return answerBroken
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.checkCutOff(d, incarnation, sent, err)
		return answerBroken
	}
	if undisturbedFrom, ok := d.undisturbedSince(); ok && undisturbedFrom.Add(settleTime).Before(sent) && time.Since(sent) > callerWait+c.soak.checks.withSlack(maxAnswerDelay) {
		c.soak.checks.addViolation("answer_held", "job %s was answered by %s after %v, but its caller waits %v", id, d.name, time.Since(sent), callerWait)
	}
	return answerOf(resp.StatusCode, body)
}

func answerOf(status int, body []byte) string {
	var state struct {
		State string `json:"state"`
	}
	switch status {
	case http.StatusOK:
		if json.Unmarshal(body, &state) == nil && state.State == answerCompleted {
			return answerCompleted
		}
		return answerFailed
	case http.StatusNotFound:
		return answerNoRoute
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return answerRefused
	default:
		return answerInterrupted
	}
}

// checkCutOff checks a request without a complete answer. This is a violation with two
// exceptions: the dispatcher was not running and refused the connection, or an unplanned
// fault of the dispatcher is in progress or ended less than settleTime before the request.
func (c *caller) checkCutOff(d *dispatcher, incarnation int, sent time.Time, err error) {
	if isConnectionRefused(err) {
		return
	}
	undisturbedFrom, ok := d.undisturbedSince()
	current, _, _ := d.state()
	if !ok || !undisturbedFrom.Add(settleTime).Before(sent) {
		return
	}
	c.soak.checks.addViolation("cut_off", "a request to %s (incarnation %d, now %d) was cut off after %v: %v", d.name, incarnation, current, time.Since(sent), err)
}

// probeConfig requests the added routes from each dispatcher, newest first. It checks that
// a new version takes effect in time and that no incarnation of a dispatcher falls back to
// an older version.
func (s *Soak) probeConfig(ctx context.Context) {
	client := &http.Client{Timeout: callerWait, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	seen := map[string]int{}
	for ctx.Err() == nil {
		for _, d := range s.dispatchers {
			s.probe(client, d, seen)
		}
		lifecycle.Wait(maxThinkTime, ctx.Done())
	}
}

// probe checks the configuration of one dispatcher. seen holds the newest version that
// each incarnation of a dispatcher has served.
func (s *Soak) probe(client *http.Client, d *dispatcher, seen map[string]int) {
	incarnation, _, _ := d.state()
	key := fmt.Sprintf("%s/%d", d.name, incarnation)
	version, publishedAt := s.publishedVersion()
	answered := false // Stays false while the process is stopping: it accepts no new connections.
	for v := version; v > max(seen[key], version-3); v-- {
		status := d.status(client, versionPrefix(v))
		answered = answered || status != 0
		if status == http.StatusOK {
			seen[key] = v
			break
		}
	}
	reachableSince, ok := d.storeReachableSince()
	dueBefore := time.Now().Add(-s.checks.withSlack(configBound))
	if ok && answered && seen[key] < version && publishedAt.Before(dueBefore) && reachableSince.Add(settleTime).Before(dueBefore) {
		s.checks.addViolation("config_late", "%s has configuration version %d, but version %d was published %v ago", d.name, seen[key], version, time.Since(publishedAt))
	}
	if v := seen[key]; v > 0 && d.status(client, versionPrefix(v)) == http.StatusNotFound {
		if current, _, _ := d.state(); current == incarnation {
			s.checks.addViolation("config_reverted", "%s had configuration version %d in incarnation %d and no longer has it", d.name, v, incarnation)
		}
	}
}
