package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

// testTime bounds a test; only a failing one reaches it.
const testTime = 60 * time.Second

func start(t *testing.T) (*Cluster, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	t.Cleanup(cancel)
	c, err := Start(ctx, Config{
		Entries: 2, Agents: 3, Domains: 3, RackSize: 1, Slots: 4, Connections: 16,
		Seed: 1, PanicOnViolation: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, ctx
}

// post sends a request to an entry and decodes its answer.
func post(ctx context.Context, t *testing.T, url string, body, answer any) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		t.Fatal(err)
	}
}

func submit(ctx context.Context, t *testing.T, entry string, r httpapi.JobRequest) httpapi.JobAnswer {
	t.Helper()
	var answer httpapi.JobAnswer
	post(ctx, t, "http://"+entry+"/v1/jobs", r, &answer)
	return answer
}

func mint(ctx context.Context, t *testing.T, entry string) job.ID {
	t.Helper()
	var answer httpapi.IDsAnswer
	post(ctx, t, "http://"+entry+"/v1/ids", httpapi.IDsRequest{Count: 1}, &answer)
	return answer.IDs[0]
}

func TestJobThroughBothEntries(t *testing.T) {
	c, ctx := start(t)
	payload := []byte(`{"ms":5}`)
	request := httpapi.JobRequest{
		ID: mint(ctx, t, c.Entries[0].HTTPAddr()), Team: "desk", Class: job.Urgent,
		Tasks: []httpapi.TaskRequest{{Payload: payload}, {Payload: payload}},
	}
	for _, entry := range c.EntryAddrs() {
		answer := submit(ctx, t, entry, request)
		if answer.Status != httpapi.Complete || !bytes.Equal(answer.Results[1], upstream.ExpectedAnswer(request.ID, 1, payload)) {
			t.Errorf("answer: %+v, %+v", answer, answer.Error)
		}
	}
	if got := c.Ledger.Counts(); got.Starts != 2 || got.DuplicateStarts != 0 {
		t.Errorf("counts: %+v", got)
	}
}

func TestDomainOutAndIn(t *testing.T) {
	c, ctx := start(t)
	out, err := c.DomainOut(ctx, "domain-1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.AwaitInForce(ctx, out); err != nil {
		t.Fatal(err)
	}
	before := c.Ledger.LastStart("domain-1")
	tasks := make([]httpapi.TaskRequest, 20)
	answer := submit(ctx, t, c.Entries[0].HTTPAddr(), httpapi.JobRequest{Team: "desk", Tasks: tasks})
	if answer.Status != httpapi.Complete || !c.Ledger.LastStart("domain-1").Equal(before) {
		t.Errorf("answer: %+v; last start %v, before %v", answer.Error, c.Ledger.LastStart("domain-1"), before)
	}
	in, err := c.DomainIn(ctx, "domain-1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.AwaitInForce(ctx, in); err != nil {
		t.Fatal(err)
	}
}

func TestRestartAtTheSameAddress(t *testing.T) {
	c, ctx := start(t)
	addr := c.Agents[0].daemon().Addr()
	c.Agents[0].Kill()
	if err := c.Agents[0].Start(); err != nil {
		t.Fatal(err)
	}
	if got := c.Agents[0].daemon().Addr(); got != addr {
		t.Errorf("address %s, was %s", got, addr)
	}
	if err := c.awaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	if err := c.Agents[1].Stop(); err != nil {
		t.Errorf("planned stop: %v", err)
	}
}

func TestPausedAgentAnswersNothing(t *testing.T) {
	c, ctx := start(t)
	victim := c.Agents[0]
	c.Pause(victim.ID)
	answers := func() bool {
		for _, o := range c.Observe(ctx) {
			if o.Ref.ID == victim.ID {
				return true
			}
		}
		return false
	}
	for answers() {
		if !sleep(ctx, pollInterval) {
			t.Fatal("the agent goes on")
		}
	}
	c.Resume(victim.ID)
	for !answers() {
		if !sleep(ctx, pollInterval) {
			t.Fatal("the agent does not come back")
		}
	}
}

func TestIsolatedAgentLosesItsLease(t *testing.T) {
	c, ctx := start(t)
	victim := c.Agents[0]
	c.Isolate(victim.Domain)
	for victim.daemon().Ready() == nil {
		if !sleep(ctx, pollInterval) {
			t.Fatal("the lease does not lapse")
		}
	}
	c.Heal()
	if err := c.awaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestDeadEntryIsEvicted kills an entry and waits until it shares no quota.
func TestDeadEntryIsEvicted(t *testing.T) {
	c, ctx := start(t)
	c.Entries[0].Kill()
	for {
		s, err := c.Entries[1].daemon().Snapshot(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Entries) == 1 {
			return
		}
		if !sleep(ctx, pollInterval) {
			t.Fatalf("%d entries share the quotas", len(s.Entries))
		}
	}
}
