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

// The answers of a submission.
const (
	answerCompleted   = "completed"
	answerFailed      = "failed"
	answerRefused     = "refused"
	answerInterrupted = "interrupted"
	answerBroken      = "broken"
	answerNoRoute     = "no_route"
)

const (
	// callerWait is how long a caller waits for an answer.
	callerWait = 1500 * time.Millisecond
	// resubmitAfter is the least pause before a job is sent again.
	resubmitAfter = 1300 * time.Millisecond
	// maxSubmissions bounds how often a job is sent.
	maxSubmissions = 3
	// thinkTime is the longest pause of a caller between two jobs. Connections are used
	// often enough to learn of a planned stop before they are closed as idle.
	thinkTime = 250 * time.Millisecond
	// longShare is the share of jobs with long tasks: long enough to be found running twice
	// when a lease ends too late.
	longShare = 0.2
	// failingShare is the share of jobs one of whose tasks always fails.
	failingShare = 0.02
)

// caller sends jobs over one connection, to one dispatcher after another.
type caller struct {
	s    *Soak
	rnd  *rand.Rand
	http *http.Client
	at   int
}

func newCaller(s *Soak, i int) *caller {
	return &caller{
		s: s, rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(i+1))), at: i % len(s.dispatchers),
		http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DialContext: dialer.DialContext}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.job(ctx)
		lifecycle.Wait(rand.N(thinkTime), ctx.Done())
	}
}

// job sends one job until it has an answer that is no reason to send it again.
func (c *caller) job(ctx context.Context) {
	id := fmt.Sprintf("%016x", c.rnd.Uint64())
	tasks := 1 + c.rnd.IntN(4)
	task := platform.StandinTask{Work: time.Duration(20+c.rnd.IntN(180)) * time.Millisecond}
	switch p := c.rnd.Float64(); {
	case p < longShare:
		task.Work += time.Duration(c.rnd.IntN(900)) * time.Millisecond
	case p < longShare+failingShare:
		// Short, so that all attempts fit into the time that the caller waits.
		task.Failing = []int{0}
	}
	for range maxSubmissions {
		c.s.checks.submitted(id, tasks, len(task.Failing) > 0)
		sent := time.Now()
		answer := c.send(id, tasks, task)
		c.s.checks.answered(id, answer)
		c.s.noteAnswer(sent, answer)
		if answer == answerCompleted || answer == answerFailed {
			return
		}
		c.at = (c.at + 1) % len(c.s.dispatchers)
		if !lifecycle.Wait(resubmitAfter, ctx.Done()) {
			return
		}
	}
}

// send makes one submission and says how it was answered.
func (c *caller) send(id string, tasks int, task platform.StandinTask) string {
	d := c.s.dispatchers[c.at]
	need := message.Resources{MilliCPU: taskCPU, MemoryMB: taskMemory}
	r, err := platform.StandinSubmission(d.callers, routeHost, routePrefix, id, tasks, need, task, callerWait)
	if err != nil {
		panic("a submission can't be made: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerWait+resubmitAfter)
	defer cancel()
	life, _, _ := d.state()
	sent := time.Now()
	resp, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		c.brokenOff(d, life, sent, err)
		return answerBroken
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.brokenOff(d, life, sent, err)
		return answerBroken
	}
	if sound, ok := d.soundSince(); ok && sound.Add(calmTime).Before(sent) && time.Since(sent) > callerWait+c.s.checks.bound(answerSlack) {
		c.s.checks.violate("answer_held", "job %s was answered by %s after %v, its caller waits %v", id, d.name, time.Since(sent), callerWait)
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

// brokenOff checks a request that got no whole answer: only an unplanned fault of the
// dispatcher, or its being gone, explains one.
func (c *caller) brokenOff(d *dispatcher, life int, sent time.Time, err error) {
	if isRefusedConnection(err) {
		return
	}
	sound, ok := d.soundSince()
	now, _, _ := d.state()
	if !ok || !sound.Add(calmTime).Before(sent) {
		return
	}
	c.s.checks.violate("cut_off", "a request to %s (life %d, now %d) was cut off after %v: %v", d.name, life, now, time.Since(sent), err)
}

// probeConfig asks each dispatcher for the routes that were added, newest first, and
// checks that none goes missing within one life.
func (s *Soak) probeConfig(ctx context.Context) {
	client := &http.Client{Timeout: callerWait, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	seen := map[string]int{}
	for ctx.Err() == nil {
		for _, d := range s.dispatchers {
			s.probe(client, d, seen)
		}
		lifecycle.Wait(thinkTime, ctx.Done())
	}
}

func (s *Soak) probe(client *http.Client, d *dispatcher, seen map[string]int) {
	life, _, _ := d.state()
	key := fmt.Sprintf("%s/%d", d.name, life)
	version, since := s.version()
	answered := false // A process that leaves answers no new connections.
	for v := version; v > max(seen[key], version-3); v-- {
		status := d.status(client, versionPrefix(v))
		answered = answered || status != 0
		if status == http.StatusOK {
			seen[key] = v
			break
		}
	}
	informed, ok := d.informedSince()
	late := time.Now().Add(-s.checks.bound(configBound))
	if ok && answered && seen[key] < version && since.Before(late) && informed.Add(calmTime).Before(late) {
		s.checks.violate("config_late", "%s has version %d, %d was published %v ago", d.name, seen[key], version, time.Since(since))
	}
	if v := seen[key]; v > 0 && d.status(client, versionPrefix(v)) == http.StatusNotFound {
		if now, _, _ := d.state(); now == life {
			s.checks.violate("config_reverted", "%s knew version %d in life %d and does not any more", d.name, v, life)
		}
	}
}
