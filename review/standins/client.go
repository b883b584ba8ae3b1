package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resendAfter is retransmitMs, after which a client sends a job again that got no response, a
// broken connection, 502 or 504.
const resendAfter = 1300 * time.Millisecond

// jobKind is one kind of request: jobs of one step, or of several steps one after the other.
type jobKind struct {
	name   string
	steps  int
	count  int
	workMs int
	cpu    int
	// requires is a label that the runner must have, or empty.
	requires string
	deadline time.Duration
}

// request returns the body of a job.
func (k jobKind) request() string {
	spec, _ := json.Marshal(workSpec{WorkMs: k.workMs, CPU: k.cpu})
	var steps []answer
	for i := range max(k.steps, 1) {
		step := answer{"count": k.count, "cpu": k.cpu, "memMb": 64, "estimateMs": k.workMs}
		if k.requires != "" {
			step["requires"] = k.requires
		}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	raw, _ := json.Marshal(answer{"taskSpec": string(spec), "steps": steps, "bestEffort": true})
	return string(raw)
}

// newID returns a new job ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// clients sends requests to the dispatchers, each client over a connection of its own.
type clients struct {
	world *world
	addrs []string
	wg    sync.WaitGroup

	mu      sync.Mutex
	answers map[string]int
	jobs    []outcome
}

// outcome is when a job was first sent, and whether it was served.
type outcome struct {
	sentAt time.Time
	served bool
}

func newClients(w *world, addrs []string) *clients {
	return &clients{world: w, addrs: addrs, answers: map[string]int{}}
}

// client returns a client with one connection.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
}

// call sends one request and returns the status and the body, or zero without an answer.
func (c *clients) call(h *http.Client, method, addr, id, body string, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+routePrefix+id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	c.world.record("client: %s %s to %s", method, id, addr)
	result := "no answer"
	status, text := 0, ""
	if resp, err := h.Do(req); err == nil {
		var b strings.Builder
		buf := make([]byte, 4096)
		for {
			n, err := resp.Body.Read(buf)
			b.Write(buf[:n])
			if err != nil {
				break
			}
		}
		_ = resp.Body.Close()
		status, text = resp.StatusCode, strings.TrimSpace(b.String())
		result = fmt.Sprint(status)
	}
	c.world.record("client: %s %s is answered: %s %s", method, id, result, text)
	c.mu.Lock()
	c.answers[method+" "+result]++
	c.mu.Unlock()
	return status, text
}

// submit submits a job, and sends it again to the next dispatcher as the protocol asks, tries
// times at most. It returns the last status.
func (c *clients) submit(h *http.Client, k jobKind, id string, first, tries int) int {
	status, sentAt := 0, time.Now()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.jobs = append(c.jobs, outcome{sentAt, status == http.StatusOK})
	}()
	for n := range tries {
		status, _ = c.call(h, http.MethodPost, c.addrs[(first+n)%len(c.addrs)], id, k.request(), k.deadline)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		if n+1 < tries {
			time.Sleep(resendAfter)
		}
	}
	return status
}

// press submits jobs of a kind at a rate, from this number of clients, until the end.
func (c *clients) press(k jobKind, perSecond float64, end time.Time) {
	c.wg.Go(func() {
		pool := make(chan *http.Client, 256)
		for i := 0; time.Now().Before(end); i++ {
			time.Sleep(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second)))
			c.wg.Go(func() {
				var h *http.Client
				select {
				case h = <-pool:
				default:
					h = client()
				}
				c.submit(h, k, newID(), i, 3)
				select {
				case pool <- h:
				default:
				}
			})
		}
	})
}

// served returns how many of the jobs that were first sent in this span were served, and how many
// were sent.
func (c *clients) served(from, to time.Time) (served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if j.sentAt.Before(from) || j.sentAt.After(to) {
			continue
		}
		sent++
		if j.served {
			served++
		}
	}
	return served, sent
}

// summary returns the number of answers of each kind.
func (c *clients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	raw, _ := json.Marshal(c.answers)
	return string(raw)
}
